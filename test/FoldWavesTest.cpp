#include "FoldLog.h"
#include "Story.h"

#include "shallotdrift/Policy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class FoldWavesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FoldWavesTest);
    CPPUNIT_TEST(waveMaintainsEachInstanceOnce);
    CPPUNIT_TEST(abortKeepsRebootsAndReopensTheRest);
    CPPUNIT_TEST(drainHoldsInstancesUntilItIsEnded);
    CPPUNIT_TEST(lostInstancesDoNotHoldUpAWave);
    CPPUNIT_TEST(plannerEndsWithinTheBudgetsBestTime);
    CPPUNIT_TEST(plannerSharesBudgetsBetweenWaves);
    CPPUNIT_TEST_SUITE_END();

    static FoldLog fleet(unsigned instances, uint32_t minimum)
    {
        FoldLog log;
        TestFleet settings;
        settings.pools["reports"] = minimum;
        ASSERT_OK(log.configure(settings));
        for (unsigned i = 0; i < instances; ++i)
            ASSERT_OK(log.observe(fmt::format("w{}", i), "reports"));
        return log;
    }

    // Starts what the planner wants; returns how many.
    static size_t startPlanned(FoldLog& log)
    {
        auto plan = planMaintenance(log.state());
        for (const auto& planned : plan) {
            CPPUNIT_ASSERT_EQUAL(log.instance(planned.instance).epoch, planned.epoch);
            ASSERT_OK(log.maintain(planned.wave, planned.instance));
        }
        return plan.size();
    }

    static void finishAll(FoldLog& log, const std::string& wave)
    {
        auto active = log.state().waves.at(wave).active;
        for (const auto& [instance, maintenance] : active)
            ASSERT_OK(log.finish(wave, instance));
    }

public:
    // Guards against a wave that skips or repeats an instance, or goes on while it is paused.
    void waveMaintainsEachInstanceOnce()
    {
        auto log = fleet(2, 1);
        ASSERT_OK(log.join("e1", 1, "north"));
        ASSERT_CODE(ResultCode::NothingToDo, log.startWave("v0", "accounts"));
        ASSERT_CODE(ResultCode::NotFound, log.startWave("v0", "nowhere"));
        ASSERT_OK(log.startWave("v1"));
        ASSERT_CODE(ResultCode::DuplicateRecord, log.startWave("v1"));
        ASSERT_OK(log.maintain("v1", "w0"));
        ASSERT_CODE(ResultCode::BudgetExceeded, log.maintain("v1", "w1"));
        ASSERT_CODE(ResultCode::NotFound, log.maintain("v1", "w0"));
        ASSERT_CODE(ResultCode::WrongState, log.finish("v1", "w0"));
        ASSERT_OK(log.acknowledge("v1/w0", "e1"));
        ASSERT_OK(log.finish("v1", "w0"));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, log.instance("w0").epoch);
        ASSERT_OK(log.changeWave("v1", proto::WaveChanged::PAUSE));
        ASSERT_CODE(ResultCode::WrongState, log.maintain("v1", "w1"));
        CPPUNIT_ASSERT(planMaintenance(log.state()).empty());
        ASSERT_OK(log.changeWave("v1", proto::WaveChanged::RESUME));
        ASSERT_OK(log.maintain("v1", "w1"));
        ASSERT_OK(log.finish("v1", "w1", false));
        CPPUNIT_ASSERT(log.state().waves.at("v1").status == WaveStatus::Done);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, log.state().waves.at("v1").givenUp.count("w1"));
        ASSERT_CODE(ResultCode::WrongState, log.changeWave("v1", proto::WaveChanged::ABORT));
    }

    // Guards against an abort that returns an instance to service while the platform may be rebooting it.
    void abortKeepsRebootsAndReopensTheRest()
    {
        auto log = fleet(4, 1);
        ASSERT_OK(log.join("e1", 1, "north"));
        ASSERT_OK(log.startWave("v1"));
        ASSERT_OK(log.maintain("v1", "w0"));
        ASSERT_OK(log.maintain("v1", "w1"));
        ASSERT_OK(log.acknowledge("v1/w0", "e1"));
        ASSERT_OK(log.changeWave("v1", proto::WaveChanged::ABORT));
        CPPUNIT_ASSERT(log.instance("w0").status == InstanceStatus::Closed);
        CPPUNIT_ASSERT(log.instance("w1").available());
        CPPUNIT_ASSERT(!hasEnded(log.state().waves.at("v1")));
        ASSERT_OK(log.finish("v1", "w0"));
        CPPUNIT_ASSERT(log.instance("w0").available());
        CPPUNIT_ASSERT(hasEnded(log.state().waves.at("v1")));
    }

    // Guards against a drain that returns instances early, never returns them, or stops at the second rack.
    void drainHoldsInstancesUntilItIsEnded()
    {
        auto log = fleet(2, 0);
        ASSERT_OK(log.observe("w2", "reports", "north", "rack-2"));
        ASSERT_OK(log.startWave("v1", "reports", true));
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, startPlanned(log));
        ASSERT_CODE(ResultCode::FailureDomainBusy, log.maintain("v1", "w2"));
        finishAll(log, "v1");
        CPPUNIT_ASSERT_EQUAL(uint32_t { 1 }, availableInPool(log.state(), "reports"));
        ASSERT_CODE(ResultCode::Conflict, log.move("m1", "w0", "accounts"));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, startPlanned(log));
        finishAll(log, "v1");
        CPPUNIT_ASSERT(log.state().waves.at("v1").status == WaveStatus::Running);
        auto restored = Fold::fromSnapshot(log.fold.snapshot()).value();
        CPPUNIT_ASSERT(restored.snapshot() == log.fold.snapshot());
        ASSERT_OK(log.changeWave("v1", proto::WaveChanged::ABORT));
        CPPUNIT_ASSERT_EQUAL(uint32_t { 3 }, availableInPool(log.state(), "reports"));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, log.instance("w0").epoch);
    }

    // Guards against a wave that waits for an instance that is gone, and against one that gives up a rebooting one.
    void lostInstancesDoNotHoldUpAWave()
    {
        auto log = fleet(3, 1);
        ASSERT_OK(log.startWave("v1"));
        ASSERT_OK(log.maintain("v1", "w0"));
        ASSERT_OK(log.lose("w0"));
        ASSERT_OK(log.lose("w1"));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, log.state().waves.at("v1").givenUp.count("w1"));
        ASSERT_CODE(ResultCode::BudgetExceeded, log.maintain("v1", "w2"));
        ASSERT_OK(log.observe("w0", "reports"));
        ASSERT_OK(log.finish("v1", "w0"));
        ASSERT_OK(log.maintain("v1", "w2"));
        ASSERT_OK(log.finish("v1", "w2"));
        CPPUNIT_ASSERT(log.state().waves.at("v1").status == WaveStatus::Done);
    }

    // Guards against a planner that leaves budget unused: two pools in racks of four, with all gates answering at once,
    // need as many rounds as the pool with the least slack.
    void plannerEndsWithinTheBudgetsBestTime()
    {
        FoldLog log;
        TestFleet settings;
        settings.pools = { { "reports", 6 }, { "accounts", 4 } };
        ASSERT_OK(log.configure(settings));
        for (unsigned i = 0; i < 8; ++i) {
            ASSERT_OK(log.observe(fmt::format("r{}", i), "reports", "north", fmt::format("rack-{}", i / 4)));
            ASSERT_OK(log.observe(fmt::format("a{}", i), "accounts", "north", fmt::format("rack-{}", i / 4)));
        }
        ASSERT_OK(log.startWave("v1"));
        unsigned rounds = 0;
        while (startPlanned(log) > 0) {
            finishAll(log, "v1");
            ++rounds;
        }
        CPPUNIT_ASSERT_EQUAL(4u, rounds); // reports: 2 racks of 4 instances, 2 at once
        CPPUNIT_ASSERT(log.state().waves.at("v1").status == WaveStatus::Done);
        Section limited("under a limit the pool that needs more rounds goes first");
        ASSERT_OK(log.startWave("v2", "", false, 2));
        auto plan = planMaintenance(log.state());
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, plan.size());
        CPPUNIT_ASSERT_EQUAL(std::string("reports"), log.instance(plan.front().instance).pool);
    }

    // Guards against two waves that each plan up to the whole budget.
    void plannerSharesBudgetsBetweenWaves()
    {
        auto log = fleet(5, 3);
        ASSERT_OK(log.startWave("v1"));
        ASSERT_OK(log.startWave("v2"));
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, startPlanned(log));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldWavesTest);

} // namespace shallotdrift
