#include "FleetHarness.h"
#include "Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class InstancePlannerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InstancePlannerTest);
    CPPUNIT_TEST(poolSizesFollowDemand);
    CPPUNIT_TEST(busyInstancesAreNotMoved);
    CPPUNIT_TEST(reportsFromBeforeTheCordonAreIgnored);
    CPPUNIT_TEST(cordonsOutlastOrdersWithoutAResponse);
    CPPUNIT_TEST(nextManagersSettleOrdersWithoutAResponse);
    CPPUNIT_TEST(ordersAreWithheldWithoutAFreshReport);
    CPPUNIT_TEST(scarceInstancesAreShared);
    CPPUNIT_TEST(overdueJobsGetWhatOthersLeave);
    CPPUNIT_TEST(loansComeBeforeOverdueJobs);
    CPPUNIT_TEST(wavesRespectMaximumParallel);
    CPPUNIT_TEST(wavesWaitForInstancesThatAreDown);
    CPPUNIT_TEST(loansAreKept);
    CPPUNIT_TEST(drainedInstancesStayOutOfService);
    CPPUNIT_TEST(instancesCanMoveAgainOnArrival);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a loan that demand takes back, and a loan that empties the lending pool.
    void loansAreKept()
    {
        FleetHarness harness;
        harness.required = { { "checks", 10 }, { "ledgers", 30 } };
        harness.run(40);
        auto before = harness.count("checks");
        harness.planner.setLoans({ { "c-1", "ledgers", "checks", 3 } });
        harness.run(80);
        CPPUNIT_ASSERT_EQUAL(before + 3, harness.count("checks"));
        CPPUNIT_ASSERT(harness.count("ledgers") >= 1);
        Section ended("instances leave the borrowing pool when the loan has ended");
        harness.planner.setLoans({});
        harness.run(80);
        CPPUNIT_ASSERT_EQUAL(before, harness.count("checks"));
    }

    // Guards against instances that cannot be moved again although they are listed as up in their new pool: the planner
    // kept the completed move order until its timeout.
    void instancesCanMoveAgainOnArrival()
    {
        FleetHarness harness(0);
        harness.required = { { "checks", 5 }, { "ledgers", 30 } };
        harness.run(40);
        auto initialCount = harness.count("office");
        CPPUNIT_ASSERT(initialCount >= 1);
        harness.required["ledgers"] = 0;
        int steps = 0;
        while (harness.count("office") == initialCount && steps++ < 60)
            harness.step();
        harness.required["ledgers"] = 200;
        harness.run(5); // half a second, less than PlannerOptions::orderTimeout
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, harness.count("office"));
    }

    // Guards against drained instances that a rise in demand returns to service, or that are switched off while busy.
    void drainedInstancesStayOutOfService()
    {
        FleetHarness harness;
        harness.required["checks"] = 20;
        harness.runs["c1"] = 1;
        harness.planner.setOutOfService({ "c0", "c1" });
        harness.run(10);
        CPPUNIT_ASSERT_EQUAL(std::string("office"), harness.find("c0").pool);
        CPPUNIT_ASSERT_EQUAL(std::string("checks"), harness.find("c1").pool);
        CPPUNIT_ASSERT(harness.planner.cordons().count("c1") != 0);
        harness.runs["c1"] = 0;
        harness.run(60);
        CPPUNIT_ASSERT_EQUAL(std::string("office"), harness.find("c1").pool);
        harness.required["checks"] = 500;
        harness.run(60);
        CPPUNIT_ASSERT_EQUAL(std::string("office"), harness.find("c0").pool);
        Section returned("an instance returns to service when its drain has ended");
        harness.planner.setOutOfService({});
        harness.run(60);
        CPPUNIT_ASSERT_EQUAL(std::string("checks"), harness.find("c0").pool);
    }

    // Guards against pools that do not grow and shrink with demand.
    void poolSizesFollowDemand()
    {
        FleetHarness harness;
        {
            Section section("no instance is switched off before the first demand");
            harness.run(30);
            CPPUNIT_ASSERT_EQUAL(size_t { 3 }, harness.count("checks"));
        }
        {
            Section section("instances move to the pool that needs them");
            harness.required["checks"] = 70;
            harness.run(10);
            CPPUNIT_ASSERT(harness.count("checks") >= 6);
        }
        Section section("idle instances are switched off when there is no more demand");
        harness.required["checks"] = 0;
        harness.run(80);
        CPPUNIT_ASSERT(harness.count("checks") <= 2);
        CPPUNIT_ASSERT(harness.count("office") >= 6);
    }

    // Guards against moving an instance that still has runs: all these runs were lost with its worker.
    void busyInstancesAreNotMoved()
    {
        FleetHarness harness;
        harness.required["ledgers"] = 1;
        for (int i = 0; i < 3; ++i)
            harness.runs["c" + std::to_string(i)] = 2;
        harness.run(60);
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, harness.count("checks"));
    }

    // Guards against moving an instance because a report from before its cordon shows it as empty: 13 runs were lost
    // that had been placed there between the report and the cordon.
    void reportsFromBeforeTheCordonAreIgnored()
    {
        FleetHarness harness(0);
        harness.required["ledgers"] = 200;
        harness.now += Milliseconds { 100 };
        harness.planner.setInstances(harness.fleet);
        harness.report(harness.now);
        auto requestedAt = harness.now;
        for (int i = 0; i < 5; ++i) {
            harness.now += Milliseconds { 100 };
            harness.report(requestedAt);
            CPPUNIT_ASSERT(harness.planner.plan(harness.now).empty());
        }
        harness.now += Milliseconds { 100 };
        harness.report(harness.now);
        CPPUNIT_ASSERT(!harness.planner.plan(harness.now).empty());
    }

    // Guards against a move that ends runs: it got no response and was cancelled, so the instance was used again, and
    // then the move took effect.
    void cordonsOutlastOrdersWithoutAResponse()
    {
        using Outcome = InstancePlanner::Outcome;
        FleetHarness harness(0);
        harness.required["ledgers"] = 200;
        auto orders = harness.stepUntilOrdered();
        auto order = orders.front();
        harness.planner.onOrderResult(order, Outcome::Unknown, harness.now);
        harness.required = { { "checks", 200 }, { "ledgers", 1 } };
        for (int i = 0; i < 120; ++i) {
            for (const auto& repeated : harness.step(false))
                harness.planner.onOrderResult(
                    repeated, repeated.instance == order.instance ? Outcome::Unknown : Outcome::Busy, harness.now);
            CPPUNIT_ASSERT(harness.planner.cordons().count(order.instance) != 0);
        }
        Section section("the order is settled when the instance is seen in its new pool");
        harness.find(order.instance).pool = order.pool;
        harness.run(1);
        for (const auto& open : harness.planner.openOrders())
            CPPUNIT_ASSERT(open.instance != order.instance);
    }

    // Guards against more instances in maintenance than a wave allows: a manager was lost after an order without a
    // response, and the order took effect after the next manager had ordered the maintenance of another instance.
    void nextManagersSettleOrdersWithoutAResponse()
    {
        MaintenanceWave wave { 7, { "c0", "c1" }, 1, {} };
        FleetHarness former;
        wave.deadline = former.now + Milliseconds { 60000 };
        former.planner.addWave(wave);
        auto orders = former.stepUntilOrdered();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, orders.size());
        auto open = former.planner.openOrders();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, open.size());
        FleetHarness next;
        for (const auto& order : open)
            next.planner.restoreOpenOrder(order, next.now);
        next.planner.addWave(wave);
        next.runs[orders.front().instance] = 1; // placed after the cordons of the former manager had ended
        for (int i = 0; i < 30; ++i)
            for (const auto& order : next.step(false)) {
                CPPUNIT_ASSERT_EQUAL(orders.front().instance, order.instance);
                next.planner.onOrderResult(order, InstancePlanner::Outcome::Unknown, next.now);
            }
        Section section("the wave goes on when there is a response");
        next.runs.clear();
        next.run(60);
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, next.planner.maintainedInstances(7).size());
        CPPUNIT_ASSERT(next.planner.openOrders().empty());
    }

    // Guards against a move on the ground of a report that was too old when the order had been stored.
    void ordersAreWithheldWithoutAFreshReport()
    {
        FleetHarness harness(0);
        harness.required["ledgers"] = 200;
        auto orders = harness.stepUntilOrdered();
        auto order = orders.front();
        CPPUNIT_ASSERT(harness.planner.maySend(order, harness.now));
        CPPUNIT_ASSERT(!harness.planner.maySend(order, harness.now + PlannerOptions {}.maximumReportAge));
        harness.planner.onOrderResult(order, InstancePlanner::Outcome::NotSent, harness.now);
        CPPUNIT_ASSERT(harness.planner.openOrders().size() < orders.size());
    }

    // Guards against a pool that keeps all instances because its demand rose first.
    void scarceInstancesAreShared()
    {
        FleetHarness harness;
        harness.required["ledgers"] = 500;
        harness.run(20);
        CPPUNIT_ASSERT(harness.count("ledgers") >= 8);
        harness.required["checks"] = 500;
        harness.run(60);
        CPPUNIT_ASSERT(harness.count("checks") >= 4);
        CPPUNIT_ASSERT(harness.count("ledgers") >= 4);
    }

    // Guards against a backlog of overdue jobs that keeps the instances which another queue needs for jobs that can
    // still be in time: in an incident on the further site a queue had 3 of 49 instances at the start of its swing,
    // while another worked off 1,400 cores of overdue tasks.
    void overdueJobsGetWhatOthersLeave()
    {
        FleetHarness harness;
        harness.required["ledgers"] = 500;
        harness.overdue["ledgers"] = 490;
        harness.run(20);
        CPPUNIT_ASSERT(harness.count("ledgers") >= 8);
        harness.required["checks"] = 80;
        harness.run(60);
        CPPUNIT_ASSERT(harness.count("checks") >= 7);
        CPPUNIT_ASSERT(harness.count("ledgers") >= 2);
        Section section("overdue jobs get the instances back afterwards");
        harness.required["checks"] = 0;
        harness.run(80);
        CPPUNIT_ASSERT(harness.count("ledgers") >= 8);
    }

    // Guards against a loan that has no effect in a shortage, which is when operators lend: lent instances were granted
    // together with those for overdue jobs.
    void loansComeBeforeOverdueJobs()
    {
        FleetHarness harness;
        harness.required["ledgers"] = 500;
        harness.overdue["ledgers"] = 490;
        harness.run(60);
        auto before = harness.count("checks");
        harness.planner.setLoans({ { "c-1", {}, "checks", 3 } });
        harness.run(80);
        CPPUNIT_ASSERT_EQUAL(before + 3, harness.count("checks"));
    }

    // Guards against a wave that has more instances in maintenance at once than its maximumParallel.
    void wavesRespectMaximumParallel()
    {
        FleetHarness harness;
        MaintenanceWave wave;
        wave.number = 1;
        for (const auto& instance : harness.fleet)
            wave.instances.push_back(instance.id);
        wave.maximumParallel = 2;
        wave.deadline = harness.now + Milliseconds { 60000 };
        harness.planner.addWave(wave);
        std::map<std::string, Instant> maintainedSince;
        for (int i = 0; i < 400; ++i) {
            for (const auto& order : harness.step())
                if (order.type == InstanceOrder::Type::Maintain)
                    maintainedSince[order.instance] = harness.now;
            auto count = std::count_if(maintainedSince.begin(), maintainedSince.end(),
                [&](const auto& entry) { return harness.now - entry.second < Milliseconds { 2000 }; });
            CPPUNIT_ASSERT(count <= 2);
        }
        CPPUNIT_ASSERT_EQUAL(harness.fleet.size(), maintainedSince.size());
        auto changes = harness.planner.takeWaveChanges();
        CPPUNIT_ASSERT(changes == (std::vector<std::pair<uint64_t, bool>> { { 1, false }, { 1, true } }));
    }

    // Guards against a wave that is reported as completed while one of its instances is down, although that instance
    // may come up again without maintenance.
    void wavesWaitForInstancesThatAreDown()
    {
        FleetHarness harness;
        harness.find("o0").state = FleetInstance::State::Down;
        MaintenanceWave wave;
        wave.number = 1;
        wave.instances = { "o0", "o1" };
        wave.deadline = harness.now + Milliseconds { 60000 };
        harness.planner.addWave(wave);
        harness.run(60);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.planner.takeWaveChanges().size());
        harness.find("o0").state = FleetInstance::State::Up;
        harness.run(60);
        CPPUNIT_ASSERT(harness.planner.takeWaveChanges().back().second);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstancePlannerTest);

} // namespace shallotdrift
