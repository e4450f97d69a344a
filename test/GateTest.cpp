#include "GateWorld.h"
#include "Story.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <rapidcheck.h>

namespace shallotdrift {

static std::ostream& operator<<(std::ostream& stream, const GateStep& step)
{
    return stream << "{" << step.kind % 115 << "," << step.first % 3 << "," << step.second << "}";
}

class GateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GateTest);
    CPPUNIT_TEST(gateWaitsForEachHolder);
    CPPUNIT_TEST(holderFailsOverToAnotherGate);
    CPPUNIT_TEST(noWorkAfterAllAcknowledged);
    CPPUNIT_TEST(randomSchedulesKeepThePromise);
    CPPUNIT_TEST(explorationFindsSeededFaults);
    CPPUNIT_TEST_SUITE_END();

    struct Totals {
        size_t schedules = 0;
        size_t closed = 0;
        size_t sent = 0;
        size_t remoteSent = 0;
    };

    // Runs schedules of 300 steps from consecutive seeds. Returns the first seed that breaks the promise, 0 if none.
    static uint32_t explore(GateMutation mutation, uint32_t schedules, Totals& totals)
    {
        for (uint32_t seed = 1; seed <= schedules; ++seed) {
            std::mt19937 random(seed);
            GateWorld world(mutation);
            ++totals.schedules;
            for (int i = 0; i < 300; ++i) {
                GateStep step;
                step.kind = random();
                step.first = random();
                step.second = random();
                if (!world.apply(step))
                    return seed;
            }
            totals.closed += world.closedTimes();
            totals.sent += world.workSent();
            totals.remoteSent += world.remoteWorkSent();
        }
        return 0;
    }

    // Entries g1 and g2 of zone z and h of zone y; instance w of zone z is closing for wave v since offset 5.
    static FleetState maintenanceState()
    {
        FleetState state;
        state.entries["g1"] = { "g1", 1, "z", "" };
        state.entries["g2"] = { "g2", 1, "z", "" };
        state.entries["h"] = { "h", 1, "y", "" };
        state.instances["w"].id = "w";
        state.instances["w"].zone = "z";
        state.instances["w"].status = InstanceStatus::Closing;
        auto& maintenance = state.waves["v"].active["w"];
        maintenance.instance = "w";
        maintenance.pendingGates = { "g1", "g2" };
        maintenance.startedOffset = 5;
        return state;
    }

    static proto::ViewLeaseRequest leaseRequest(Offset folded, bool busy)
    {
        proto::ViewLeaseRequest request;
        request.set_zone("z");
        request.set_folded_offset(folded);
        request.set_request_number(1);
        if (busy)
            request.add_busy_closing_instances("w");
        return request;
    }

public:
    // Guards against an acknowledgement of maintenance before each holder has reported or fallen silent for long
    // enough, and against one that is handed out again at every call.
    void gateWaitsForEachHolder()
    {
        auto state = maintenanceState();
        GateOptions options { "g1", "z" };
        options.boot = 1;
        Gate gate(options);
        Instant now { std::chrono::hours(1) };
        CPPUNIT_ASSERT(gate.acknowledgements(state, {}, now).empty());
        now += std::chrono::seconds(34);
        CPPUNIT_ASSERT(gate.grant("h", leaseRequest(4, false), state, 4, now));
        CPPUNIT_ASSERT(gate.grant("k", leaseRequest(4, false), state, 4, now));
        std::vector<std::string> acknowledged { "v/w" };
        {
            Section reports("a report before the closing, or with work in flight, does not count");
            gate.grant("h", leaseRequest(4, false), state, 6, now);
            gate.grant("h", leaseRequest(5, true), state, 6, now);
            CPPUNIT_ASSERT(gate.acknowledgements(state, {}, now + std::chrono::seconds(1)).empty());
            gate.grant("h", leaseRequest(5, false), state, 6, now);
        }
        {
            Section silence("the other holder, which is silent, is waited for until its work must be over");
            CPPUNIT_ASSERT(gate.acknowledgements(state, {}, now + std::chrono::seconds(33)).empty());
            now += std::chrono::seconds(34);
            CPPUNIT_ASSERT(gate.acknowledgements(state, { "w" }, now).empty());
            CPPUNIT_ASSERT(gate.acknowledgements(state, {}, now) == acknowledged);
        }
        {
            Section repeated("it is handed out again only after a while");
            CPPUNIT_ASSERT(gate.acknowledgements(state, {}, now + std::chrono::seconds(1)).empty());
            CPPUNIT_ASSERT(gate.acknowledgements(state, {}, now + std::chrono::seconds(6)) == acknowledged);
        }
        {
            Section leaving("an entry that leaves waits for its own leases");
            gate.grant("k", leaseRequest(6, false), state, 6, now);
            gate.stopGranting();
            CPPUNIT_ASSERT(!gate.grant("k", leaseRequest(6, false), state, 6, now));
            CPPUNIT_ASSERT(!gate.released(now + std::chrono::seconds(33)));
            CPPUNIT_ASSERT(gate.released(now + std::chrono::seconds(34)));
        }
    }

    // Guards against a lease that ends because one gate entry does not answer, and against one that counts too long.
    void holderFailsOverToAnotherGate()
    {
        auto state = maintenanceState();
        state.waves.clear();
        state.instances["w"].status = InstanceStatus::Active;
        ViewLeaseHolderOptions options { "h", "y" };
        options.boot = 1;
        ViewLeaseHolder holder(options);
        Instant now { std::chrono::hours(1) };
        auto answer = [&](const proto::PeerMessage& request, Offset offset) {
            proto::ViewLease lease;
            lease.set_zone("z");
            lease.set_gate_offset(offset);
            lease.set_request_number(request.view_lease_request().request_number());
            lease.set_duration_ms(3000);
            holder.granted(request.receiver(), lease, now);
        };
        auto first = holder.requests(state, 7, {}, now);
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, first.size());
        CPPUNIT_ASSERT(!holder.maySend("z", 7, now));
        CPPUNIT_ASSERT(holder.maySend("y", 7, now));
        answer(first.front(), 8);
        CPPUNIT_ASSERT(!holder.maySend("z", 7, now));
        CPPUNIT_ASSERT(holder.maySend("z", 8, now + Milliseconds(2999)));
        CPPUNIT_ASSERT(!holder.maySend("z", 8, now + Milliseconds(3000)));
        auto silent = first.front().receiver();
        {
            Section renewal("the renewal goes to the entry that answered, and then to the other one");
            auto second = holder.requests(state, 8, {}, now + Milliseconds(1000));
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, second.size());
            CPPUNIT_ASSERT_EQUAL(silent, second.front().receiver());
            auto third = holder.requests(state, 8, {}, now + Milliseconds(2000));
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, third.size());
            CPPUNIT_ASSERT(third.front().receiver() != silent);
            answer(third.front(), 8);
            CPPUNIT_ASSERT(holder.maySend("z", 8, now + Milliseconds(4999)));
        }
        {
            Section closing("a new closing is reported at once, to all that may have granted");
            state.instances["w"].status = InstanceStatus::Closing;
            auto reports = holder.requests(state, 9, { "w" }, now + Milliseconds(2100));
            CPPUNIT_ASSERT_EQUAL(size_t { 2 }, reports.size());
            CPPUNIT_ASSERT_EQUAL(1, reports.front().view_lease_request().busy_closing_instances_size());
        }
    }

    // Guards against work that is sent, or still under way, after all gate entries have acknowledged a closing, under
    // loss, delay, duplication, reordering, pauses, restarts, removals and departures.
    void randomSchedulesKeepThePromise()
    {
        Totals totals;
        CPPUNIT_ASSERT_EQUAL(0U, explore(GateMutation::None, 4000, totals));
        Section reach("the schedules reach closings and work under leases");
        std::cout << "  " << totals.schedules << " schedules, " << totals.closed << " closings completed, "
                  << totals.sent << " requests, " << totals.remoteSent << " of them under leases\n";
        CPPUNIT_ASSERT(totals.closed > 1000);
        CPPUNIT_ASSERT(totals.remoteSent > 1000);
    }

    // The same promise as a property, which shrinks a failing schedule to a short one.
    void noWorkAfterAllAcknowledged()
    {
        auto step = rc::gen::construct<GateStep>(
            rc::gen::inRange<uint32_t>(0, 115), rc::gen::inRange<uint32_t>(0, 3), rc::gen::inRange<uint32_t>(0, 1024));
        auto schedule = rc::gen::resize(400, rc::gen::container<std::vector<GateStep>>(step));
        CPPUNIT_ASSERT(rc::check("no work after all gate entries acknowledged", [&] {
            auto steps = *schedule;
            GateWorld world;
            for (const auto& next : steps)
                RC_ASSERT(world.apply(next));
        }));
    }

    // Guards against an exploration that would pass whatever the gate does.
    void explorationFindsSeededFaults()
    {
        static const std::vector<std::pair<GateMutation, std::string>> mutations {
            { GateMutation::IgnoresLeases, "a gate that ignores leases" },
            { GateMutation::NoStartWait, "a gate that does not wait after its start" },
            { GateMutation::IgnoresGateOffset, "a holder that ignores the gate's offset" },
            { GateMutation::GrantsBeforeJoining, "a gate that grants before it is a member" },
            { GateMutation::SharedRequestNumbers, "a holder that does not tell its processes apart" },
            { GateMutation::RemovedAtOnce, "a dead gate entry that is removed at once" },
        };
        for (const auto& [mutation, name] : mutations) {
            Section found(name);
            Totals totals;
            auto seed = explore(mutation, 20000, totals);
            std::cout << "  " << name << ": found by schedule " << seed << "\n";
            CPPUNIT_ASSERT(seed > 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateTest);

} // namespace shallotdrift
