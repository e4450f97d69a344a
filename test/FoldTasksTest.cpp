#include "FoldLog.h"
#include "Story.h"

#include "shallotdrift/Policy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class FoldTasksTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FoldTasksTest);
    CPPUNIT_TEST(tokensFenceFormerOwners);
    CPPUNIT_TEST(taskEndsAfterThreeInstances);
    CPPUNIT_TEST(endedTasksAreBounded);
    CPPUNIT_TEST(plannerPlacesWhereThereIsRoom);
    CPPUNIT_TEST(plannerNamesImpossibleTasks);
    CPPUNIT_TEST(plannerThrottlesBeforeItStops);
    CPPUNIT_TEST_SUITE_END();

    using End = proto::TaskEnded;

    // Instances w0, w1, ... of pool "accounts", which runs the kind "ledger".
    static FoldLog fleet(unsigned instances)
    {
        FoldLog log;
        log.startFleet();
        for (unsigned i = 0; i < instances; ++i)
            ASSERT_OK(log.observe(fmt::format("w{}", i), "accounts"));
        return log;
    }

    static ResultCode accept(
        FoldLog& log, const std::string& id, uint32_t cores = 4, const std::string& kind = "ledger")
    {
        proto::Record record;
        record.mutable_task_accepted()->set_task_id(id);
        auto& spec = *record.mutable_task_accepted()->mutable_spec();
        spec.set_kind(kind);
        spec.set_cores(cores);
        spec.set_memory_mb(1024);
        return log.add(record).verdict.code;
    }

    static ResultCode place(FoldLog& log, const std::string& id, const std::string& instance, uint64_t token)
    {
        proto::Record record;
        auto& body = *record.mutable_task_placed();
        body.set_task_id(id);
        body.set_instance(instance);
        body.set_expected_epoch(log.instance(instance).epoch);
        body.set_expected_token(token);
        body.set_owner("e1");
        return log.add(record).verdict.code;
    }

    static ResultCode takeOver(FoldLog& log, const std::string& id, const std::string& owner, uint64_t token)
    {
        proto::Record record;
        auto& body = *record.mutable_task_owner();
        body.set_task_id(id);
        body.set_expected_token(token);
        body.set_owner(owner);
        return log.add(record).verdict.code;
    }

    static ResultCode end(FoldLog& log, const std::string& id, uint64_t token, End::End how)
    {
        proto::Record record;
        auto& body = *record.mutable_task_ended();
        body.set_task_id(id);
        body.set_expected_token(token);
        body.set_end(how);
        return log.add(record).verdict.code;
    }

    static const Task& task(const FoldLog& log, const std::string& id) { return log.state().tasks.at(id); }

    static void placeAll(FoldLog& log)
    {
        for (const auto& planned : planTasks(log.state(), {}).placements)
            ASSERT_OK(place(log, planned.task, planned.instance, planned.expectedToken));
    }

public:
    // Guards against two owners of one task, and against an end that a former owner reports.
    void tokensFenceFormerOwners()
    {
        auto log = fleet(2);
        ASSERT_CODE(ResultCode::UnknownKind, accept(log, "t1", 4, "check"));
        ASSERT_OK(accept(log, "t1"));
        ASSERT_CODE(ResultCode::DuplicateRecord, accept(log, "t1"));
        ASSERT_CODE(ResultCode::WrongState, end(log, "t1", 0, End::SUCCEEDED));
        ASSERT_OK(place(log, "t1", "w0", 0));
        auto first = task(log, "t1").token;
        ASSERT_CODE(ResultCode::StaleEpoch, place(log, "t1", "w1", 0));
        ASSERT_CODE(ResultCode::WrongState, place(log, "t1", "w1", first));
        ASSERT_CODE(ResultCode::NotFound, takeOver(log, "t1", "e9", first));
        ASSERT_OK(takeOver(log, "t1", "e2", first));
        CPPUNIT_ASSERT(task(log, "t1").token > first);
        ASSERT_CODE(ResultCode::StaleEpoch, takeOver(log, "t1", "e3", first));
        ASSERT_CODE(ResultCode::StaleEpoch, end(log, "t1", first, End::SUCCEEDED));
        ASSERT_OK(end(log, "t1", task(log, "t1").token, End::SUCCEEDED));
        ASSERT_CODE(ResultCode::WrongState, end(log, "t1", task(log, "t1").token, End::CANCELLED));
    }

    // Guards against a job that can never run and is placed for ever.
    void taskEndsAfterThreeInstances()
    {
        auto log = fleet(4);
        ASSERT_OK(accept(log, "t1"));
        ASSERT_OK(place(log, "t1", "w0", 0));
        ASSERT_OK(end(log, "t1", task(log, "t1").token, End::PREEMPTED));
        for (const char* instance : { "w0", "w1", "w2" }) {
            ASSERT_OK(place(log, "t1", instance, task(log, "t1").token));
            ASSERT_OK(end(log, "t1", task(log, "t1").token, End::FAILED_ATTEMPT));
            if (instance == std::string("w0"))
                ASSERT_CODE(ResultCode::Conflict, place(log, "t1", "w0", task(log, "t1").token));
        }
        CPPUNIT_ASSERT(task(log, "t1").status == TaskStatus::Failed);
    }

    // Guards against ended tasks that are kept without bound.
    void endedTasksAreBounded()
    {
        auto log = fleet(0);
        for (int i = 0; i < 1200; ++i) {
            ASSERT_OK(accept(log, fmt::format("t{:04}", i)));
            ASSERT_OK(end(log, fmt::format("t{:04}", i), 0, End::CANCELLED));
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1000 }, log.state().tasks.size());
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, log.state().tasks.count("t0199"));
    }

    // Guards against placements beyond an instance's cores, on closing instances, and on places that urgent work needs.
    void plannerPlacesWhereThereIsRoom()
    {
        auto log = fleet(2);
        for (const char* id : { "t1", "t2", "t3", "t4" })
            ASSERT_OK(accept(log, id, 8));
        ASSERT_OK(log.move("m1", "w1", "reports"));
        placeAll(log);
        CPPUNIT_ASSERT_EQUAL(std::string("w0"), task(log, "t2").instance);
        CPPUNIT_ASSERT(task(log, "t3").status == TaskStatus::Waiting);
        ASSERT_OK(log.abort("m1"));
        std::map<std::string, InstanceUsage> usage;
        usage["w1"].urgentSlots = 8;
        CPPUNIT_ASSERT(planTasks(log.state(), usage).placements.empty());
        usage["w1"].urgentSlots = 4;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, planTasks(log.state(), usage).placements.size());
        placeAll(log);
        Section closing("tasks on a closing instance are checkpointed");
        ASSERT_OK(log.move("m2", "w1", "reports"));
        auto plan = planTasks(log.state(), {});
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, plan.preemptions.size());
        CPPUNIT_ASSERT(plan.preemptions.front().stop);
    }

    // Guards against a task that waits for ever because no instance can hold it.
    void plannerNamesImpossibleTasks()
    {
        auto log = fleet(1);
        ASSERT_OK(accept(log, "t1", 16));
        ASSERT_OK(accept(log, "t2", 17));
        auto plan = planTasks(log.state(), {});
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, plan.placements.size());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, plan.impossible.size());
        CPPUNIT_ASSERT_EQUAL(std::string("t2"), plan.impossible.front().task);
        ASSERT_OK(log.lose("w0"));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, planTasks(log.state(), {}).impossible.size());
    }

    // Guards against tasks that are stopped when throttling is enough, or throttled again without effect.
    void plannerThrottlesBeforeItStops()
    {
        auto log = fleet(1);
        ASSERT_OK(accept(log, "t1", 8));
        ASSERT_OK(accept(log, "t2", 8));
        placeAll(log);
        std::map<std::string, InstanceUsage> usage;
        usage["w0"].cores = 16;
        usage["w0"].urgentSlots = 2; // 4 cores
        auto plan = planTasks(log.state(), usage).preemptions;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, plan.size());
        CPPUNIT_ASSERT_EQUAL(std::string("t2"), plan.front().task);
        CPPUNIT_ASSERT(!plan.front().stop);
        usage["w0"].cores = 8; // both throttled
        CPPUNIT_ASSERT(planTasks(log.state(), usage).preemptions.empty());
        usage["w0"].urgentSlots = 8;
        plan = planTasks(log.state(), usage).preemptions;
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, plan.size());
        CPPUNIT_ASSERT(plan.front().stop);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldTasksTest);

} // namespace shallotdrift
