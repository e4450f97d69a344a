#include "FleetHarness.h"
#include "Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

namespace {

    // Directives over a planned fleet, as the manager combines them.
    struct DirectedFleet : FleetHarness {
        void runDirected(int steps)
        {
            for (int i = 0; i < steps; ++i) {
                directives.markDrained(planner);
                planner.setLoans(directives.loans());
                planner.setOutOfService(directives.outOfService());
                step();
            }
        }

        OperatorOverrides directives;
    };

} // namespace

class OperatorOverridesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OperatorOverridesTest);
    CPPUNIT_TEST(loansAreCheckedAndReturned);
    CPPUNIT_TEST(wavesRestartEveryInstanceOnce);
    CPPUNIT_TEST(drainsKeepWhatLastingTasksNeed);
    CPPUNIT_TEST(aNewManagerGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against loans of instances that do not exist, and returns that leave a loan behind.
    void loansAreCheckedAndReturned()
    {
        DirectedFleet fleet;
        fleet.required["checks"] = 5;
        fleet.runDirected(5);
        auto code = [&](const char* from, const char* to, uint32_t count) {
            return fleet.directives.lend({ "c-1", from, to, count }, fleet.planner).code;
        };
        CPPUNIT_ASSERT(code("ledgers", "nowhere", 1) == ResultCode::NotFound);
        CPPUNIT_ASSERT(code("checks", "checks", 1) == ResultCode::InvalidCommand);
        CPPUNIT_ASSERT(code("", "office", 1) == ResultCode::InvalidCommand);
        CPPUNIT_ASSERT(code("", "checks", 0) == ResultCode::InvalidCommand);
        CPPUNIT_ASSERT(code("", "checks", 50) == ResultCode::BudgetExceeded);
        CPPUNIT_ASSERT(code("", "checks", 2) == ResultCode::Ok);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, fleet.directives.loans().size());
        CPPUNIT_ASSERT(fleet.directives.returnLent("ledgers").code == ResultCode::NothingToDo);
        CPPUNIT_ASSERT(fleet.directives.returnLent({}).code == ResultCode::Ok);
        CPPUNIT_ASSERT(fleet.directives.loans().empty());
    }

    // Guards against waves that skip an instance, take it twice, or empty more at once than they were told to.
    void wavesRestartEveryInstanceOnce()
    {
        DirectedFleet fleet;
        fleet.required = { { "checks", 20 }, { "ledgers", 20 } };
        fleet.runDirected(20);
        CPPUNIT_ASSERT(fleet.directives.drain("c-2", { {}, "za", {} }, true, 1, fleet.planner).code == ResultCode::Ok);
        const auto& wave = fleet.directives.drains().at("c-2");
        CPPUNIT_ASSERT(wave.instances.size() >= 4);
        fleet.runDirected(1);
        CPPUNIT_ASSERT(fleet.directives.outOfService().size() <= 1);
        CPPUNIT_ASSERT(fleet.directives.changeWave("c-2", OperatorOverrides::WaveChange::Pause).code == ResultCode::Ok);
        auto done = wave.drained.size();
        fleet.runDirected(40);
        CPPUNIT_ASSERT(wave.drained.size() <= done + 1);
        CPPUNIT_ASSERT(
            fleet.directives.changeWave("c-2", OperatorOverrides::WaveChange::Resume).code == ResultCode::Ok);
        fleet.runDirected(400);
        CPPUNIT_ASSERT(wave.completed());
        CPPUNIT_ASSERT(fleet.directives.outOfService().empty());
    }

    // Guards against drains that overlap, and those that leave less than the lasting tasks need.
    void drainsKeepWhatLastingTasksNeed()
    {
        DirectedFleet fleet;
        fleet.required["checks"] = 5;
        fleet.runDirected(5);
        auto code = [&](const char* id, const OperatorOverrides::Selection& selection) {
            return fleet.directives.drain(id, selection, false, 0, fleet.planner).code;
        };
        CPPUNIT_ASSERT(code("d-1", { {}, {}, { "absent" } }) == ResultCode::NotFound);
        CPPUNIT_ASSERT(code("d-1", { "nowhere", {}, {} }) == ResultCode::NothingToDo);
        CPPUNIT_ASSERT(code("d-1", {}) == ResultCode::BudgetExceeded);
        CPPUNIT_ASSERT(code("d-1", { {}, {}, { "c0", "l0" } }) == ResultCode::Ok);
        CPPUNIT_ASSERT(code("d-2", { {}, {}, { "l0" } }) == ResultCode::Conflict);
        fleet.runDirected(60);
        CPPUNIT_ASSERT(fleet.directives.outOfService() == std::set<std::string>({ "c0", "l0" }));
        CPPUNIT_ASSERT(
            fleet.directives.changeWave("d-9", OperatorOverrides::WaveChange::Abort).code == ResultCode::NotFound);
        CPPUNIT_ASSERT(fleet.directives.changeWave("d-1", OperatorOverrides::WaveChange::Abort).code == ResultCode::Ok);
        CPPUNIT_ASSERT(fleet.directives.outOfService().empty());
    }

    // Guards against a change of manager that forgets a loan or drain, or brings back one that has ended.
    void aNewManagerGoesOn()
    {
        DirectedFleet fleet;
        fleet.required["checks"] = 5;
        fleet.runDirected(5);
        fleet.directives.lend({ "c-1", {}, "checks", 2 }, fleet.planner);
        fleet.directives.lend({ "c-2", {}, "ledgers", 1 }, fleet.planner);
        fleet.directives.drain("d-1", { {}, {}, { "c0" } }, false, 0, fleet.planner);
        fleet.runDirected(60);
        fleet.directives.returnLent("ledgers");
        OperatorOverrides next;
        for (const auto& [key, value] : fleet.directives.takeChangedRecords())
            CPPUNIT_ASSERT(value.empty() || next.restore(key, value));
        CPPUNIT_ASSERT(fleet.directives.takeChangedRecords().empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, next.loans().size());
        CPPUNIT_ASSERT_EQUAL(std::string("checks"), next.loans().front().toPool);
        CPPUNIT_ASSERT(next.outOfService() == fleet.directives.outOfService());
        CPPUNIT_ASSERT(next.drains().at("d-1").drained.count("c0") != 0);
        Section broken("a record that cannot be read is told apart");
        CPPUNIT_ASSERT(!next.restore("loan/c-3", "[1]"));
        CPPUNIT_ASSERT(!next.restore("other/c-3", "[]"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorOverridesTest);

} // namespace shallotdrift
