#include "Story.h"

#include "shallotdrift/Policy.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

namespace {

    // A fleet of three pools of six workers with eight slots each, in racks of three. Moves are granted by hand.
    struct LendingBench {
        LendingBench()
        {
            addPool("checks", 3, false, Urgency::Urgent);
            addPool("ledgers", 3, false, Urgency::Bulk);
            addPool("office", 2, true, Urgency::Normal);
            state.configuration.lending.minimumHold = Milliseconds { 20000 };
        }

        void addPool(const std::string& name, uint32_t minimum, bool spare, Urgency urgency)
        {
            auto& pool = state.configuration.pools[name];
            pool.name = name;
            pool.minimumAvailable = minimum;
            pool.spare = spare;
            auto& kind = state.configuration.kinds[name];
            kind.name = name;
            kind.pool = name;
            kind.urgency = urgency;
            for (int i = 0; i < 6; ++i) {
                auto& instance = state.instances[name + std::to_string(i)];
                instance.id = name + std::to_string(i);
                instance.zone = i < 3 ? "north" : "south";
                instance.rack = name + (i < 3 ? "-a" : "-b");
                instance.pool = name;
                instance.homePool = name;
                instance.shape.slots = 8;
            }
        }

        const std::vector<PlannedMove>& plan(const PoolDemands& demands, double seconds = 1)
        {
            now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
            moves = planner.plan(state, demands, silentZones, now);
            return moves;
        }

        // Plans each second, and carries out the moves at once.
        void run(const PoolDemands& demands, int seconds)
        {
            for (int i = 0; i < seconds; ++i) {
                for (const auto& move : plan(demands)) {
                    auto& instance = state.instances.at(move.instance);
                    CPPUNIT_ASSERT_EQUAL(instance.epoch, move.epoch);
                    instance.pool = move.toPool;
                    ++instance.epoch;
                    ++granted;
                }
            }
        }

        size_t count(const std::string& pool) const
        {
            return static_cast<size_t>(std::count_if(state.instances.begin(), state.instances.end(),
                [&pool](const auto& instance) { return instance.second.pool == pool; }));
        }

        FleetState state;
        std::set<std::string> silentZones;
        LendingPlanner planner;
        std::vector<PlannedMove> moves;
        Instant now { std::chrono::seconds(100) };
        size_t granted = 0;
    };

} // namespace

class LendingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LendingTest);
    CPPUNIT_TEST(lendsFromTheSparePoolWithinItsMinimum);
    CPPUNIT_TEST(keepsWhatLendersNeed);
    CPPUNIT_TEST(boundsMovesUnderWay);
    CPPUNIT_TEST(doesNotFlap);
    CPPUNIT_TEST(returnsAfterTheHold);
    CPPUNIT_TEST(avoidsSilentZonesAndWaves);
    CPPUNIT_TEST(respectsTheSettings);
    CPPUNIT_TEST(preparesTheNextFlood);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lending below an availability budget (P1), and against moves that do not say why.
    void lendsFromTheSparePoolWithinItsMinimum()
    {
        LendingBench bench;
        bench.plan({ { "checks", 60 } });
        CPPUNIT_ASSERT(!bench.moves.empty());
        for (const auto& move : bench.moves) {
            CPPUNIT_ASSERT_EQUAL(std::string("checks"), move.toPool);
            CPPUNIT_ASSERT(move.reason.find("demand 60 slots") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("office"), bench.state.instances.at(bench.moves[0].instance).pool);
        {
            Section large("however large the flood, the lenders keep their minimum");
            bench.run({ { "checks", 1000 } }, 30);
            CPPUNIT_ASSERT_EQUAL(size_t { 2 }, bench.count("office"));
            CPPUNIT_ASSERT_EQUAL(size_t { 3 }, bench.count("ledgers"));
        }
        {
            Section lost("an unplanned loss counts");
            LendingBench other;
            for (const char* id : { "office0", "office1", "office2", "office3" })
                other.state.instances.at(id).lost = true;
            other.run({ { "checks", 1000 } }, 30);
            CPPUNIT_ASSERT_EQUAL(size_t { 6 }, other.count("office"));
        }
    }

    // Guards against a flood that empties a busy pool.
    void keepsWhatLendersNeed()
    {
        LendingBench bench;
        // 32 of 48 slots at a utilization of 0.8 need five instances, and one is kept as headroom.
        bench.run({ { "checks", 200 }, { "office", 32 } }, 30);
        CPPUNIT_ASSERT_EQUAL(size_t { 6 }, bench.count("office"));
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, bench.count("ledgers"));
    }

    // Guards against more instances out of service at once than the settings allow.
    void boundsMovesUnderWay()
    {
        LendingBench bench;
        bench.state.configuration.lending.maximumConcurrentMoves = 2;
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, bench.plan({ { "checks", 200 } }).size());
        for (const auto& planned : bench.moves) {
            auto& move = bench.state.moves["m-" + planned.instance];
            move.instance = planned.instance;
            move.toPool = planned.toPool;
            auto& instance = bench.state.instances.at(planned.instance);
            instance.status = InstanceStatus::Closing;
            instance.operationId = "m-" + planned.instance;
        }
        CPPUNIT_ASSERT(bench.plan({ { "checks", 200 } }).empty());
    }

    // Guards against instances that go back and forth while demand stays near a threshold.
    void doesNotFlap()
    {
        LendingBench bench;
        for (int i = 0; i < 60; ++i)
            bench.run({ { "checks", i % 2 ? 44.0 : 36.0 } }, 1);
        CPPUNIT_ASSERT(bench.granted <= 3);
    }

    // Guards against borrowed instances that never go home, and against returns before the hold.
    void returnsAfterTheHold()
    {
        LendingBench bench;
        bench.run({ { "checks", 60 } }, 5);
        size_t borrowed = bench.count("checks") - 6;
        CPPUNIT_ASSERT(borrowed > 0);
        bench.run({}, 10);
        CPPUNIT_ASSERT_EQUAL(borrowed + 6, bench.count("checks"));
        bench.run({}, 60);
        CPPUNIT_ASSERT_EQUAL(size_t { 6 }, bench.count("checks"));
        CPPUNIT_ASSERT_EQUAL(size_t { 6 }, bench.count("office"));
    }

    // Guards against moves that wait for a frozen gate entry, and against lending what a wave needs.
    void avoidsSilentZonesAndWaves()
    {
        LendingBench bench;
        bench.silentZones.insert("north");
        for (const auto& move : bench.plan({ { "checks", 60 } }))
            CPPUNIT_ASSERT_EQUAL(std::string("south"), bench.state.instances.at(move.instance).zone);
        {
            Section wave("a pool that waits for a wave keeps its budget for it");
            LendingBench other;
            other.state.waves["w"].pending = { "office0", "office5" };
            for (const auto& move : other.plan({ { "checks", 60 } }))
                CPPUNIT_ASSERT_EQUAL(std::string("ledgers"), other.state.instances.at(move.instance).pool);
        }
    }

    // Guards against lending by or to pools that are set not to, and while lending is off.
    void respectsTheSettings()
    {
        LendingBench bench;
        bench.state.configuration.pools.at("office").lends = false;
        bench.run({ { "checks", 200 } }, 20);
        CPPUNIT_ASSERT_EQUAL(size_t { 6 }, bench.count("office"));
        {
            Section borrows("a pool that does not borrow");
            LendingBench other;
            other.state.configuration.pools.at("checks").borrows = false;
            CPPUNIT_ASSERT(other.plan({ { "checks", 200 } }).empty());
        }
        {
            Section off("lending switched off");
            LendingBench other;
            other.state.configuration.lending.enabled = false;
            CPPUNIT_ASSERT(other.plan({ { "checks", 200 } }).empty());
        }
        {
            Section bulk("urgent work does not lend to bulk work");
            LendingBench other;
            other.run({ { "ledgers", 500 } }, 20);
            CPPUNIT_ASSERT_EQUAL(size_t { 6 }, other.count("checks"));
        }
    }

    // Guards against floods that are over before a reactive move has ended.
    void preparesTheNextFlood()
    {
        LendingBench bench;
        for (int cycle = 0; cycle < 3; ++cycle) {
            bench.run({ { "ledgers", 70 } }, 10);
            bench.run({}, 15);
            bench.run({ { "checks", 70 } }, 10);
            bench.run({}, 45);
        }
        bench.run({ { "ledgers", 70 } }, 10);
        bench.run({}, 14);
        CPPUNIT_ASSERT(bench.count("checks") > 6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LendingTest);

} // namespace shallotdrift
