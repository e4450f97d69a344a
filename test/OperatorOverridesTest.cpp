#include "FleetHarness.h"
#include "Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

namespace {

    // Applies the overrides to the planner before each step, as FleetManager does.
    struct OverriddenFleet : FleetHarness {
        void runWithOverrides(int steps)
        {
            for (int i = 0; i < steps; ++i) {
                overrides.markDrained(planner);
                planner.setLoans(overrides.loans());
                planner.setOutOfService(overrides.outOfService());
                step();
            }
        }

        OperatorOverrides overrides;
    };

} // namespace

class OperatorOverridesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OperatorOverridesTest);
    CPPUNIT_TEST(checksAndReturnsLoans);
    CPPUNIT_TEST(wavesRestartEveryInstanceOnce);
    CPPUNIT_TEST(drainsLeaveInstancesForLongRunningTasks);
    CPPUNIT_TEST(restoresOverridesFromRecords);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against loans of unknown pools or of more instances than can be lent, and against returns that leave a
    // loan in place.
    void checksAndReturnsLoans()
    {
        OverriddenFleet fleet;
        fleet.required["checks"] = 5;
        fleet.runWithOverrides(5);
        auto code = [&](const char* from, const char* to, uint32_t count) {
            return fleet.overrides.lend({ "c-1", from, to, count }, fleet.planner).code;
        };
        CPPUNIT_ASSERT(code("ledgers", "nowhere", 1) == ResultCode::NotFound);
        CPPUNIT_ASSERT(code("checks", "checks", 1) == ResultCode::InvalidCommand);
        CPPUNIT_ASSERT(code("", "office", 1) == ResultCode::InvalidCommand);
        CPPUNIT_ASSERT(code("", "checks", 0) == ResultCode::InvalidCommand);
        CPPUNIT_ASSERT(code("", "checks", 50) == ResultCode::BudgetExceeded);
        CPPUNIT_ASSERT(code("", "checks", 2) == ResultCode::Ok);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, fleet.overrides.loans().size());
        CPPUNIT_ASSERT(fleet.overrides.returnLent("ledgers").code == ResultCode::NothingToDo);
        CPPUNIT_ASSERT(fleet.overrides.returnLent({}).code == ResultCode::Ok);
        CPPUNIT_ASSERT(fleet.overrides.loans().empty());
    }

    // Guards against waves that skip an instance, restart it twice, exceed their parallelism, or go on while paused.
    void wavesRestartEveryInstanceOnce()
    {
        OverriddenFleet fleet;
        fleet.required = { { "checks", 20 }, { "ledgers", 20 } };
        fleet.runWithOverrides(20);
        CPPUNIT_ASSERT(fleet.overrides.drain("c-2", { {}, "za", {} }, true, 1, fleet.planner).code == ResultCode::Ok);
        const auto& wave = fleet.overrides.drains().at("c-2");
        CPPUNIT_ASSERT(wave.instances.size() >= 4);
        fleet.runWithOverrides(1);
        CPPUNIT_ASSERT(fleet.overrides.outOfService().size() <= 1);
        CPPUNIT_ASSERT(fleet.overrides.changeWave("c-2", OperatorOverrides::WaveChange::Pause).code == ResultCode::Ok);
        auto done = wave.drained.size();
        fleet.runWithOverrides(40);
        CPPUNIT_ASSERT(wave.drained.size() <= done + 1);
        CPPUNIT_ASSERT(fleet.overrides.changeWave("c-2", OperatorOverrides::WaveChange::Resume).code == ResultCode::Ok);
        fleet.runWithOverrides(400);
        CPPUNIT_ASSERT(wave.completed());
        CPPUNIT_ASSERT(fleet.overrides.outOfService().empty());
    }

    // Guards against drains that overlap, and drains that leave fewer instances than long-running tasks need.
    void drainsLeaveInstancesForLongRunningTasks()
    {
        OverriddenFleet fleet;
        fleet.required["checks"] = 5;
        fleet.runWithOverrides(5);
        auto code = [&](const char* id, const OperatorOverrides::Selection& selection) {
            return fleet.overrides.drain(id, selection, false, 0, fleet.planner).code;
        };
        CPPUNIT_ASSERT(code("d-1", { {}, {}, { "absent" } }) == ResultCode::NotFound);
        CPPUNIT_ASSERT(code("d-1", { "nowhere", {}, {} }) == ResultCode::NothingToDo);
        CPPUNIT_ASSERT(code("d-1", {}) == ResultCode::BudgetExceeded);
        CPPUNIT_ASSERT(code("d-1", { {}, {}, { "c0", "l0" } }) == ResultCode::Ok);
        CPPUNIT_ASSERT(code("d-2", { {}, {}, { "l0" } }) == ResultCode::Conflict);
        fleet.runWithOverrides(60);
        CPPUNIT_ASSERT(fleet.overrides.outOfService() == std::set<std::string>({ "c0", "l0" }));
        CPPUNIT_ASSERT(
            fleet.overrides.changeWave("d-9", OperatorOverrides::WaveChange::Abort).code == ResultCode::NotFound);
        CPPUNIT_ASSERT(fleet.overrides.changeWave("d-1", OperatorOverrides::WaveChange::Abort).code == ResultCode::Ok);
        CPPUNIT_ASSERT(fleet.overrides.outOfService().empty());
    }

    // Guards against a failover of the manager that loses a loan or drain, or restores a loan that has ended.
    void restoresOverridesFromRecords()
    {
        OverriddenFleet fleet;
        fleet.required["checks"] = 5;
        fleet.runWithOverrides(5);
        fleet.overrides.lend({ "c-1", {}, "checks", 2 }, fleet.planner);
        fleet.overrides.lend({ "c-2", {}, "ledgers", 1 }, fleet.planner);
        fleet.overrides.drain("d-1", { {}, {}, { "c0" } }, false, 0, fleet.planner);
        fleet.runWithOverrides(60);
        fleet.overrides.returnLent("ledgers");
        OperatorOverrides next;
        for (const auto& [key, value] : fleet.overrides.takeChangedRecords())
            CPPUNIT_ASSERT(value.empty() || next.restore(key, value));
        CPPUNIT_ASSERT(fleet.overrides.takeChangedRecords().empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, next.loans().size());
        CPPUNIT_ASSERT_EQUAL(std::string("checks"), next.loans().front().toPool);
        CPPUNIT_ASSERT(next.outOfService() == fleet.overrides.outOfService());
        CPPUNIT_ASSERT(next.drains().at("d-1").drained.count("c0") != 0);
        Section invalid("records that are invalid or of another kind are rejected");
        CPPUNIT_ASSERT(!next.restore("loan/c-3", "[1]"));
        CPPUNIT_ASSERT(!next.restore("other/c-3", "[]"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorOverridesTest);

} // namespace shallotdrift
