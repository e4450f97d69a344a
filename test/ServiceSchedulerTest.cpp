#include "Section.h"

#include "shallotdrift/Jobs.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

namespace {

    constexpr char serviceName[] = "reports";
    constexpr char queueName[] = "render";

    StepSpec makeStep(uint32_t count, int64_t milliCores, std::vector<uint32_t> after = {})
    {
        StepSpec step;
        step.count = count;
        step.each = { milliCores, 1000, 0 };
        step.estimate = Milliseconds { 800 };
        step.after = std::move(after);
        return step;
    }

    // One service with workers of 16 cores, and a clock that is moved by hand.
    struct SchedulerBench {
        SchedulerBench() { reset(); }

        void reset()
        {
            scheduler = std::make_unique<ServiceScheduler>(serviceName, ServiceSchedulerOptions {}, now.steady);
            QueueRule queue;
            queue.name = queueName;
            queue.service = serviceName;
            queue.latencyTarget = Milliseconds { 600 };
            scheduler->setQueues({ { queueName, queue } });
        }

        void addWorker(const std::string& id)
        {
            list(id);
            report(id);
        }

        void list(const std::string& id, const std::string& rack = "r1")
        {
            WorkerInfo info;
            info.id = id;
            info.address = "10.0.0.1:80";
            info.service = serviceName;
            info.instance = "m-" + id;
            info.capacity = { 16000, 64000, 0 };
            info.labels = { "a", rack };
            info.rack = rack;
            scheduler->updateWorker(info, now.steady);
        }

        void pass(Milliseconds time)
        {
            now.steady += time;
            now.wall += time;
        }

        // What the worker shows of its runs and of new ends.
        void report(const std::string& worker, std::vector<RunningRow> running = {}, std::vector<EndedRow> ended = {})
        {
            pass(Milliseconds { 1 });
            WorkerReport lists;
            lists.clock = std::chrono::duration_cast<Milliseconds>(now.steady.time_since_epoch());
            lists.running = std::move(running);
            lists.ended = std::move(ended);
            scheduler->onReport(worker, lists, now.steady, now);
        }

        void end(const StartOrder& order, RunEnd how)
        {
            report(order.worker, runningOn(order.worker, order.task),
                { { ++ends[order.worker], order.task, order.run, how, {} } });
        }

        std::vector<RunningRow> runningOn(const std::string& worker, const TaskId& except) const
        {
            std::vector<RunningRow> rows;
            for (const auto& [id, run] : scheduler->workers().at(worker).runs)
                if (id < except || except < id)
                    rows.push_back({ id, run.run, {}, 50, 0 });
            return rows;
        }

        std::vector<StartOrder> plan()
        {
            auto orders = send();
            for (const auto& order : orders)
                scheduler->onStartAnswer(order, StartRefusal::None, now);
            return orders;
        }

        // Stores and sends the planned starts; no answer has come yet.
        std::vector<StartOrder> send()
        {
            auto orders = scheduler->plan(now);
            for (const auto& record : scheduler->collectRecords(now))
                store[record.key] = record.value;
            for (const auto& order : orders)
                CPPUNIT_ASSERT(scheduler->beginStart(order, now));
            return orders;
        }

        void add(const std::string& id, std::vector<StepSpec> steps, uint32_t attempts = 2)
        {
            JobSpec spec;
            spec.payload = "payload of " + id;
            spec.steps = std::move(steps);
            scheduler->add(Job(id, queueName, serviceName, std::move(spec), now.wall, attempts));
        }

        // A new owner reads what the earlier one has stored.
        void takeOver()
        {
            reset();
            for (const auto& [key, value] : store) {
                if (value.empty() || ServiceScheduler::isStateKey(key) || key == scheduler->silentKey())
                    continue;
                auto job = Job::decodeSpec(key, value);
                CPPUNIT_ASSERT(job);
                for (const auto& [stateKey, state] : store)
                    if (ServiceScheduler::isStateKey(stateKey) && ServiceScheduler::jobOfKey(stateKey) == key)
                        CPPUNIT_ASSERT(job->decodeState(state));
                scheduler->restore(std::move(*job));
            }
            for (const auto& [key, value] : store) {
                auto id = ServiceScheduler::jobOfKey(key);
                if (value.empty() || !ServiceScheduler::isStateKey(key) || scheduler->find(id))
                    continue;
                Job ended(id, {}, {}, {}, now.wall, 1);
                CPPUNIT_ASSERT(ended.decodeState(value));
                scheduler->restoreEnded(id, ended.status(), ended.begun(), ended.ended());
            }
            scheduler->finishRestore(now);
            if (auto silent = store.find(scheduler->silentKey()); silent != store.end())
                scheduler->restoreSilent(silent->second, now);
        }

        Now now { Instant { Milliseconds { 1000000 } }, wallTimeFromUnix(Milliseconds { 1796384956000 }) };
        std::unique_ptr<ServiceScheduler> scheduler;
        std::map<std::string, std::string> store;
        std::map<std::string, uint64_t> ends;
    };

} // namespace

class ServiceSchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServiceSchedulerTest);
    CPPUNIT_TEST(stepsRunInOrder);
    CPPUNIT_TEST(failedAttemptsEndTheJob);
    CPPUNIT_TEST(endedJobsSurviveAChangeOfOwner);
    CPPUNIT_TEST(runsSurviveAChangeOfOwner);
    CPPUNIT_TEST(lostWorkersAreWaitedOut);
    CPPUNIT_TEST(unansweredStartsAreStoppedBeforeAnotherRun);
    CPPUNIT_TEST(silentWorkersAreNotWaitedForTwice);
    CPPUNIT_TEST(cancelledJobsStartNothing);
    CPPUNIT_TEST(instancesOnTheirWayHereAreUsed);
    CPPUNIT_TEST(failuresOfCopiesCount);
    CPPUNIT_TEST(newOwnersWaitForEarlierStops);
    CPPUNIT_TEST(copiesSurviveTheAnswerToTheFirstStart);
    CPPUNIT_TEST(lateStartsAreMadeAgain);
    CPPUNIT_TEST(runsThatNobodyWantsAreStopped);
    CPPUNIT_TEST(evacuationsKeepTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starting a task before the steps that it comes after have ended.
    void stepsRunInOrder()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        bench.add("a", { makeStep(2, 1000), makeStep(1, 1000, { 0 }) });
        Section section("two tasks come before a third");
        auto first = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, first.size());
        bench.end(first[0], RunEnd::Done);
        CPPUNIT_ASSERT(bench.plan().empty());
        bench.end(first[1], RunEnd::Done);
        auto last = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, last.size());
        CPPUNIT_ASSERT_EQUAL(1U, last[0].task.step);
        bench.end(last[0], RunEnd::Done);
        CPPUNIT_ASSERT(bench.scheduler->statusOf("a") == JobStatus::Completed);
    }

    // Guards against more runs than the queue allows.
    void failedAttemptsEndTheJob()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        bench.add("a", { makeStep(1, 1000) }, 2);
        for (uint32_t run = 1; run <= 2; ++run) {
            auto orders = bench.plan();
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, orders.size());
            CPPUNIT_ASSERT_EQUAL(run, orders[0].run);
            bench.end(orders[0], RunEnd::Failed);
            bench.pass(Milliseconds { 500 });
        }
        CPPUNIT_ASSERT(bench.plan().empty());
        CPPUNIT_ASSERT(bench.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against a new owner that does not know an ended job: it took a repeated request for a new job and ran it
    // again (journal 20261204T1400, trouble-3: TWICE, BUDGET and LOST).
    void endedJobsSurviveAChangeOfOwner()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        bench.add("a", { makeStep(2, 1000), makeStep(1, 1000, { 0 }) }, 1);
        auto orders = bench.plan();
        bench.end(orders[0], RunEnd::Done);
        bench.end(orders[1], RunEnd::Failed);
        bench.plan();
        bench.takeOver();
        CPPUNIT_ASSERT(bench.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against a second run of a task that the earlier owner has started, and against forgetting its ends.
    void runsSurviveAChangeOfOwner()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        bench.add("a", { makeStep(2, 1000) });
        auto orders = bench.plan();
        bench.takeOver();
        bench.list("w1");
        {
            Section section("the new owner waits for the worker's lists");
            CPPUNIT_ASSERT(bench.plan().empty());
        }
        Section section("a run that is neither listed as running nor as ended is started again with a higher number");
        bench.report("w1", { { orders[0].task, 1, {}, 10, 0 } });
        auto again = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(orders[1].task.index, again[0].task.index);
        CPPUNIT_ASSERT_EQUAL(2U, again[0].run);
    }

    // Guards against two runs at once while a worker that cannot be reached may still be at work.
    void lostWorkersAreWaitedOut()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        bench.add("a", { makeStep(1, 1000) });
        auto orders = bench.plan();
        bench.scheduler->workers().at("w1").lease.endToAskFor(bench.now.steady);
        bench.scheduler->unlistWorker("w1");
        bench.addWorker("w2");
        bench.pass(Milliseconds { 4070 }); // a lease of 4 s on a clock that is 2% slow has not lapsed
        bench.scheduler->expireLeases(bench.now);
        bench.report("w2");
        CPPUNIT_ASSERT(bench.plan().empty());
        bench.pass(Milliseconds { 250 });
        bench.scheduler->expireLeases(bench.now);
        bench.report("w2");
        auto again = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), again[0].worker);
    }

    // Guards against waiting for a silent worker anew with each change of the owner (hunt-8360-19 of the Chamber:
    // LOST).
    void silentWorkersAreNotWaitedForTwice()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        bench.add("a", { makeStep(1, 1000) });
        bench.plan();
        bench.scheduler->workers().at("w1").lease.endToAskFor(bench.now.steady);
        bench.scheduler->markSilent("w1");
        for (int owner = 0; owner < 3; ++owner) {
            bench.plan();
            bench.pass(Milliseconds { 1900 });
            bench.takeOver();
        }
        bench.addWorker("w2");
        bench.scheduler->expireLeases(bench.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, bench.plan().size());
    }

    // Guards against a start that is carried out late beside another run of its task.
    void unansweredStartsAreStoppedBeforeAnotherRun()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        bench.add("a", { makeStep(1, 1000) });
        auto orders = bench.send();
        bench.scheduler->onStartUnanswered(orders[0], bench.now);
        bench.pass(Milliseconds { 500 });
        auto repeated = bench.scheduler->plan(bench.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, repeated.size());
        CPPUNIT_ASSERT(repeated[0].repeated);
        CPPUNIT_ASSERT_EQUAL(orders[0].run, repeated[0].run);
        CPPUNIT_ASSERT(bench.scheduler->beginStart(repeated[0], bench.now));
        bench.scheduler->onStartAnswer(repeated[0], StartRefusal::Unhealthy, bench.now);
        CPPUNIT_ASSERT(bench.scheduler->plan(bench.now).empty());
        auto stops = bench.scheduler->stopsDue(bench.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        bench.scheduler->onStopAnswer(stops[0], bench.now);
        bench.report("w1");
        bench.pass(Milliseconds { 4000 });
        bench.report("w1");
        auto again = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(2U, again[0].run);
    }

    // Guards against a task that stays placed for ever after its start came too late for its lease (mix 604465624989 of
    // the Chamber: LOST 25 after an outage of the store).
    void lateStartsAreMadeAgain()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        bench.add("a", { makeStep(1, 1000) });
        auto orders = bench.send();
        bench.scheduler->onStartAnswer(orders[0], StartRefusal::Late, bench.now);
        auto again = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(2U, again[0].run);
    }

    // Guards against a task that counts as running without a run: it was copied away from a silent worker, whose answer
    // came afterwards (mix 189658212218 of Karoo: LOST).
    void copiesSurviveTheAnswerToTheFirstStart()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        auto step = makeStep(1, 1000);
        step.copiesAllowed = true;
        bench.add("a", { step });
        auto orders = bench.send();
        bench.scheduler->markSilent("w1");
        bench.pass(Milliseconds { 1000 });
        CPPUNIT_ASSERT(bench.scheduler->plan(bench.now).empty());
        bench.scheduler->onStartAnswer(orders[0], StartRefusal::None, bench.now);
        bench.addWorker("w2");
        auto copy = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, copy.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), copy[0].worker);
    }

    // Guards against runs that go on although no job asks for them: started late, of an unknown job, or given up.
    void runsThatNobodyWantsAreStopped()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        {
            Section section("of a job that is not known");
            bench.report("w1", { { { "b", 0, 0, 0 }, 1, {}, 10, 0 } });
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, bench.scheduler->stopsDue(bench.now).size());
            bench.report("w1");
            CPPUNIT_ASSERT(bench.scheduler->workers().at("w1").runs.empty());
        }
        Section section("an older run beside a newer one of the same task");
        bench.add("a", { makeStep(1, 1000) }, 5);
        bench.end(bench.plan().at(0), RunEnd::Failed);
        bench.pass(Milliseconds { 500 });
        auto second = bench.plan().at(0);
        CPPUNIT_ASSERT_EQUAL(2U, second.run);
        bench.report("w1", { { second.task, 1, {}, 10, 0 }, { second.task, 2, {}, 10, 0 } });
        auto stops = bench.scheduler->stopsDue(bench.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        CPPUNIT_ASSERT_EQUAL(1U, stops[0].run);
    }

    // Guards against taking a lasting task away while another of its step is away: stopped before, or on a worker that
    // does not answer (journal 20261204T1412, trouble-2: AVAIL).
    void evacuationsKeepTheBudget()
    {
        SchedulerBench bench;
        for (const char* worker : { "w1", "w2", "w3" })
            bench.addWorker(worker);
        auto step = makeStep(3, 1000);
        step.lasting = true;
        step.mayMiss = 1;
        step.maximumPerWorker = 1;
        bench.add("a", { step });
        auto orders = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, orders.size());
        for (const auto& order : orders)
            bench.report(order.worker, { { order.task, 1, {}, 100, 0 } });
        bench.addWorker("w4");
        bench.addWorker("w5");
        bench.scheduler->setCordons(
            { { "m-w1", {} }, { "m-w2", "elsewhere" } }, {}, bench.now.steady + Milliseconds { 60000 });
        {
            Section section("a silent worker counts as a task that is away");
            bench.scheduler->markSilent("w3");
            bench.plan();
            CPPUNIT_ASSERT(bench.scheduler->stopsDue(bench.now).empty());
            auto onThird = std::find_if(
                orders.begin(), orders.end(), [](const StartOrder& order) { return order.worker == "w3"; });
            bench.report("w3", { { onThird->task, 1, {}, 100, 0 } });
        }
        Section section("one task leaves at a time");
        bench.plan();
        auto stops = bench.scheduler->stopsDue(bench.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        bench.report(stops[0].worker, { { stops[0].task, 1, {}, 100, 0 } });
        bench.plan();
        CPPUNIT_ASSERT(bench.scheduler->stopsDue(bench.now).empty());
    }

    // Guards against a second task of a step that leaves while the stop of the first, ordered by the earlier owner, is
    // under way and does not show yet.
    void newOwnersWaitForEarlierStops()
    {
        SchedulerBench bench;
        for (const char* id : { "w1", "w2", "w3", "w4" })
            bench.addWorker(id);
        auto step = makeStep(2, 1000);
        step.lasting = true;
        step.mayMiss = 1;
        step.maximumPerWorker = 1;
        bench.add("a", { step });
        auto orders = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, orders.size());
        for (const auto& order : orders)
            bench.report(order.worker, { { order.task, 1, {}, 100, 0 } });
        auto cordon = [&](const std::string& worker) {
            bench.scheduler->setCordons({ { "m-" + worker, {} } }, {}, bench.now.steady + Milliseconds { 60000 });
            bench.plan();
            return bench.scheduler->stopsDue(bench.now);
        };
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, cordon(orders[0].worker).size());
        bench.takeOver();
        for (const char* id : { "w1", "w2", "w3", "w4" }) {
            bench.list(id);
            auto placed = std::find_if(
                orders.begin(), orders.end(), [&](const StartOrder& order) { return order.worker == id; });
            if (placed == orders.end())
                bench.report(id);
            else
                bench.report(id, { { placed->task, 1, {}, 100, 0 } }); // also the one that is being stopped
        }
        CPPUNIT_ASSERT(cordon(orders[1].worker).empty());
        Section later("once the earlier stop would show, the task may leave");
        bench.pass(Milliseconds { 1500 });
        for (const auto& order : orders)
            bench.report(order.worker, { { order.task, 1, {}, 100, 0 } });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, cordon(orders[1].worker).size());
    }

    // Guards against starts beyond the attempts, where a run fails on a silent worker after its task has been copied.
    void failuresOfCopiesCount()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        auto step = makeStep(1, 1000);
        step.copiesAllowed = true;
        bench.add("a", { step }, 2);
        auto first = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, first.size());
        bench.scheduler->markSilent("w1");
        bench.pass(Milliseconds { 1000 });
        bench.addWorker("w2");
        auto copy = bench.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, copy.size());
        bench.report("w1", {}, { { 1, first[0].task, first[0].run, RunEnd::Failed, {} } });
        CPPUNIT_ASSERT(bench.scheduler->statusOf("a") == JobStatus::Active);
        bench.end(copy[0], RunEnd::Failed);
        bench.pass(Milliseconds { 5000 });
        CPPUNIT_ASSERT(bench.plan().empty());
        CPPUNIT_ASSERT(bench.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against a new worker that stands idle because the order that brought it here still cordons its instance.
    void instancesOnTheirWayHereAreUsed()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        bench.add("a", { makeStep(1, 1000) });
        auto until = bench.now.steady + Milliseconds { 60000 };
        bench.scheduler->setCordons({ { "m-w1", "elsewhere" } }, {}, until);
        CPPUNIT_ASSERT(bench.plan().empty());
        bench.scheduler->setCordons({ { "m-w1", bench.scheduler->service() } }, {}, until);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, bench.plan().size());
    }

    // Guards against a start whose job was cancelled while its record was being stored.
    void cancelledJobsStartNothing()
    {
        SchedulerBench bench;
        bench.addWorker("w1");
        bench.add("a", { makeStep(1, 1000) });
        auto orders = bench.scheduler->plan(bench.now);
        bench.scheduler->cancel("a", bench.now);
        CPPUNIT_ASSERT(!bench.scheduler->beginStart(orders[0], bench.now));
        CPPUNIT_ASSERT(bench.scheduler->workers().at("w1").runs.empty());
        CPPUNIT_ASSERT(bench.scheduler->statusOf("a") == JobStatus::Cancelled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceSchedulerTest);

} // namespace shallotdrift
