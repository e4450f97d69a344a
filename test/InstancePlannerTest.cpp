#include "FleetBench.h"
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
        FleetBench bench;
        bench.required = { { "checks", 10 }, { "ledgers", 30 } };
        bench.run(40);
        auto before = bench.count("checks");
        bench.planner.setLoans({ { "c-1", "ledgers", "checks", 3 } });
        bench.run(80);
        CPPUNIT_ASSERT_EQUAL(before + 3, bench.count("checks"));
        CPPUNIT_ASSERT(bench.count("ledgers") >= 1);
        Section over("instances leave when the loan is over");
        bench.planner.setLoans({});
        bench.run(80);
        CPPUNIT_ASSERT_EQUAL(before, bench.count("checks"));
    }

    // Guards against instances that cannot be ordered again although the list shows them at work in their new pool.
    void movedInstancesAreFreeOnArrival()
    {
        FleetBench bench(0);
        bench.required = { { "checks", 5 }, { "ledgers", 30 } };
        bench.run(40);
        auto home = bench.count("office");
        CPPUNIT_ASSERT(home >= 1);
        bench.required["ledgers"] = 0;
        int steps = 0;
        while (bench.count("office") == home && steps++ < 60)
            bench.step();
        bench.required["ledgers"] = 200;
        bench.run(5); // half a second: less than an order counts as under way
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, bench.count("office"));
    }

    // Guards against drained instances that the next rise in demand brings back, or that are ordered away while busy.
    void drainedInstancesStayOut()
    {
        FleetBench bench;
        bench.required["checks"] = 20;
        bench.runs["c1"] = 1;
        bench.planner.setOutOfService({ "c0", "c1" });
        bench.run(10);
        CPPUNIT_ASSERT_EQUAL(std::string("office"), bench.find("c0").pool);
        CPPUNIT_ASSERT_EQUAL(std::string("checks"), bench.find("c1").pool);
        CPPUNIT_ASSERT(bench.planner.cordons().count("c1") != 0);
        bench.runs["c1"] = 0;
        bench.run(60);
        CPPUNIT_ASSERT_EQUAL(std::string("office"), bench.find("c1").pool);
        bench.required["checks"] = 500;
        bench.run(60);
        CPPUNIT_ASSERT_EQUAL(std::string("office"), bench.find("c0").pool);
        Section back("an instance that is released serves again");
        bench.planner.setOutOfService({});
        bench.run(60);
        CPPUNIT_ASSERT_EQUAL(std::string("checks"), bench.find("c0").pool);
    }

    // Guards against pools that keep their size while demand moves.
    void poolsFollowTheDemand()
    {
        FleetBench bench;
        {
            Section section("before the first demand nothing is switched off");
            bench.run(30);
            CPPUNIT_ASSERT_EQUAL(size_t { 3 }, bench.count("checks"));
        }
        {
            Section section("instances join the pool that needs them");
            bench.required["checks"] = 70;
            bench.run(10);
            CPPUNIT_ASSERT(bench.count("checks") >= 6);
        }
        Section section("idle ones are switched off when the demand is over");
        bench.required["checks"] = 0;
        bench.run(80);
        CPPUNIT_ASSERT(bench.count("checks") <= 2);
        CPPUNIT_ASSERT(bench.count("office") >= 6);
    }

    // Guards against a move that ends runs: all runs of an instance were lost with its worker.
    void busyInstancesAreNotOrderedAway()
    {
        FleetBench bench;
        bench.required["ledgers"] = 1;
        for (int i = 0; i < 3; ++i)
            bench.runs["c" + std::to_string(i)] = 2;
        bench.run(60);
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, bench.count("checks"));
    }

    // Guards against an order by a report from before the cordon (quiet-1 of the Chamber: 13 runs lost).
    void oldReportsDecideNothing()
    {
        FleetBench bench(0);
        bench.required["ledgers"] = 200;
        bench.now += Milliseconds { 100 };
        bench.planner.setInstances(bench.fleet);
        bench.report(bench.now);
        auto asked = bench.now;
        for (int i = 0; i < 5; ++i) {
            bench.now += Milliseconds { 100 };
            bench.report(asked);
            CPPUNIT_ASSERT(bench.planner.plan(bench.now).empty());
        }
        bench.now += Milliseconds { 100 };
        bench.report(bench.now);
        CPPUNIT_ASSERT(!bench.planner.plan(bench.now).empty());
    }

    // Guards against a pool that keeps all instances because it rose first.
    void scarceInstancesAreShared()
    {
        FleetBench bench;
        bench.required["ledgers"] = 500;
        bench.run(20);
        CPPUNIT_ASSERT(bench.count("ledgers") >= 8);
        bench.required["checks"] = 500;
        bench.run(60);
        CPPUNIT_ASSERT(bench.count("checks") >= 4);
        CPPUNIT_ASSERT(bench.count("ledgers") >= 4);
    }

    // Guards against more instances away for a wave than it allows.
    void wavesKeepTheirLimit()
    {
        FleetBench bench;
        MaintenanceWave wave;
        wave.number = 1;
        for (const auto& instance : bench.fleet)
            wave.instances.push_back(instance.id);
        wave.maximumAtOnce = 2;
        wave.deadline = bench.now + Milliseconds { 60000 };
        bench.planner.addWave(wave);
        std::map<std::string, Instant> away;
        for (int i = 0; i < 400; ++i) {
            for (const auto& order : bench.step())
                if (order.type == InstanceOrder::Type::Maintain)
                    away[order.instance] = bench.now;
            auto count = std::count_if(away.begin(), away.end(),
                [&](const auto& entry) { return bench.now - entry.second < Milliseconds { 2000 }; });
            CPPUNIT_ASSERT(count <= 2);
        }
        CPPUNIT_ASSERT_EQUAL(bench.fleet.size(), away.size());
        auto changes = bench.planner.takeWaveChanges();
        CPPUNIT_ASSERT(changes == (std::vector<std::pair<uint64_t, bool>> { { 1, false }, { 1, true } }));
    }

    // Guards against a wave that is said to be completed while an instance of it may return unmaintained (Karoo's
    // scale-1: MIXED).
    void wavesWaitForInstancesThatAreDown()
    {
        FleetBench bench;
        bench.find("o0").state = FleetInstance::State::Down;
        MaintenanceWave wave;
        wave.number = 1;
        wave.instances = { "o0", "o1" };
        wave.deadline = bench.now + Milliseconds { 60000 };
        bench.planner.addWave(wave);
        bench.run(60);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, bench.planner.takeWaveChanges().size());
        bench.find("o0").state = FleetInstance::State::Up;
        bench.run(60);
        CPPUNIT_ASSERT(bench.planner.takeWaveChanges().back().second);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstancePlannerTest);

} // namespace shallotdrift
