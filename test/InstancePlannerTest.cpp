#include "FleetHarness.h"
#include "Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class InstancePlannerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InstancePlannerTest);
    CPPUNIT_TEST(poolsFollowTheDemand);
    CPPUNIT_TEST(busyInstancesAreNotOrderedAway);
    CPPUNIT_TEST(oldReportsDecideNothing);
    CPPUNIT_TEST(scarceInstancesAreShared);
    CPPUNIT_TEST(wavesKeepTheirLimit);
    CPPUNIT_TEST(wavesWaitForInstancesThatAreDown);
    CPPUNIT_TEST(loansAreKept);
    CPPUNIT_TEST(drainedInstancesStayOut);
    CPPUNIT_TEST(movedInstancesAreFreeOnArrival);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a loan that the demand takes back, and one that empties the pool that lends.
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
        Section over("instances leave when the loan is over");
        harness.planner.setLoans({});
        harness.run(80);
        CPPUNIT_ASSERT_EQUAL(before, harness.count("checks"));
    }

    // Guards against instances that cannot be ordered again although the list shows them at work in their new pool.
    void movedInstancesAreFreeOnArrival()
    {
        FleetHarness harness(0);
        harness.required = { { "checks", 5 }, { "ledgers", 30 } };
        harness.run(40);
        auto home = harness.count("office");
        CPPUNIT_ASSERT(home >= 1);
        harness.required["ledgers"] = 0;
        int steps = 0;
        while (harness.count("office") == home && steps++ < 60)
            harness.step();
        harness.required["ledgers"] = 200;
        harness.run(5); // half a second: less than an order counts as under way
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, harness.count("office"));
    }

    // Guards against drained instances that the next rise in demand brings back, or that are ordered away while busy.
    void drainedInstancesStayOut()
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
        Section back("an instance that is released serves again");
        harness.planner.setOutOfService({});
        harness.run(60);
        CPPUNIT_ASSERT_EQUAL(std::string("checks"), harness.find("c0").pool);
    }

    // Guards against pools that keep their size while demand moves.
    void poolsFollowTheDemand()
    {
        FleetHarness harness;
        {
            Section section("before the first demand nothing is switched off");
            harness.run(30);
            CPPUNIT_ASSERT_EQUAL(size_t { 3 }, harness.count("checks"));
        }
        {
            Section section("instances join the pool that needs them");
            harness.required["checks"] = 70;
            harness.run(10);
            CPPUNIT_ASSERT(harness.count("checks") >= 6);
        }
        Section section("idle ones are switched off when the demand is over");
        harness.required["checks"] = 0;
        harness.run(80);
        CPPUNIT_ASSERT(harness.count("checks") <= 2);
        CPPUNIT_ASSERT(harness.count("office") >= 6);
    }

    // Guards against a move that ends runs: all runs of an instance were lost with its worker.
    void busyInstancesAreNotOrderedAway()
    {
        FleetHarness harness;
        harness.required["ledgers"] = 1;
        for (int i = 0; i < 3; ++i)
            harness.runs["c" + std::to_string(i)] = 2;
        harness.run(60);
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, harness.count("checks"));
    }

    // Guards against an order by a report from before the cordon (quiet-1 of the Chamber: 13 runs lost).
    void oldReportsDecideNothing()
    {
        FleetHarness harness(0);
        harness.required["ledgers"] = 200;
        harness.now += Milliseconds { 100 };
        harness.planner.setInstances(harness.fleet);
        harness.report(harness.now);
        auto asked = harness.now;
        for (int i = 0; i < 5; ++i) {
            harness.now += Milliseconds { 100 };
            harness.report(asked);
            CPPUNIT_ASSERT(harness.planner.plan(harness.now).empty());
        }
        harness.now += Milliseconds { 100 };
        harness.report(harness.now);
        CPPUNIT_ASSERT(!harness.planner.plan(harness.now).empty());
    }

    // Guards against a pool that keeps all instances because it rose first.
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

    // Guards against more instances away for a wave than it allows.
    void wavesKeepTheirLimit()
    {
        FleetHarness harness;
        MaintenanceWave wave;
        wave.number = 1;
        for (const auto& instance : harness.fleet)
            wave.instances.push_back(instance.id);
        wave.maximumParallel = 2;
        wave.deadline = harness.now + Milliseconds { 60000 };
        harness.planner.addWave(wave);
        std::map<std::string, Instant> away;
        for (int i = 0; i < 400; ++i) {
            for (const auto& order : harness.step())
                if (order.type == InstanceOrder::Type::Maintain)
                    away[order.instance] = harness.now;
            auto count = std::count_if(away.begin(), away.end(),
                [&](const auto& entry) { return harness.now - entry.second < Milliseconds { 2000 }; });
            CPPUNIT_ASSERT(count <= 2);
        }
        CPPUNIT_ASSERT_EQUAL(harness.fleet.size(), away.size());
        auto changes = harness.planner.takeWaveChanges();
        CPPUNIT_ASSERT(changes == (std::vector<std::pair<uint64_t, bool>> { { 1, false }, { 1, true } }));
    }

    // Guards against a wave that is said to be completed while an instance of it may return unmaintained (Karoo's
    // scale-1: MIXED).
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
