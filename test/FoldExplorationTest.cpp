#include "FoldInvariants.h"
#include "FoldLog.h"
#include "Story.h"

#include "shallotdrift/Base.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <iostream>
#include <unordered_map>

namespace shallotdrift {

using Actions = std::function<std::vector<proto::Record>(const FleetState&)>;

// Folds every order of the actions up to a depth. States that were reached before with at least as many steps left are
// not explored again.
class Explorer {
public:
    explicit Explorer(Actions actions)
        : actions_(std::move(actions))
    {
    }

    std::function<std::string(const FleetState&, const proto::Record&, const FleetState&)> extraCheck;

    // Returns the first violation with the path that leads to it, or an empty text.
    std::string run(const FoldLog& start, unsigned depth) { return explore(start, {}, depth); }

    size_t states() const { return visited_.size(); }
    size_t transitions() const { return transitions_; }
    bool accepted(proto::Record::BodyCase body) const { return accepted_.count(body) > 0; }

private:
    std::string explore(const FoldLog& log, const FoldWitness& witness, unsigned depth)
    {
        if (depth == 0)
            return {};
        for (const auto& action : actions_(log.state())) {
            auto violation = step(log, witness, action, depth);
            if (!violation.empty())
                return violation + "; after " + std::to_string(action.body_case());
        }
        return {};
    }

    std::string step(const FoldLog& log, const FoldWitness& witness, const proto::Record& action, unsigned depth)
    {
        ++transitions_;
        FoldLog next = log;
        FoldWitness nextWitness = witness;
        auto folded = next.add(action);
        auto violation = findViolation(log.state(), folded.record, folded.verdict, next.state());
        if (violation.empty())
            violation = nextWitness.observe(next.state(), folded.record, folded.verdict);
        if (violation.empty() && extraCheck)
            violation = extraCheck(log.state(), folded.record, next.state());
        if (!violation.empty())
            return violation;
        auto projection = projectionOf(next.fold);
        if (folded.verdict.code != ResultCode::Ok)
            return projection == projectionOf(log.fold) ? "" : "a refused record changed the state";
        accepted_.insert(folded.record.body_case());
        auto digest = digestOf(projection + nextWitness.text());
        auto& explored = visited_[digest];
        if (explored >= depth)
            return {};
        bool first = explored == 0;
        explored = depth;
        if (first)
            violation = checkReplay(next, digest);
        return violation.empty() ? explore(next, nextWitness, depth - 1) : violation;
    }

    // On a part of the states: a snapshot and the same next record, and a replay of the whole log, give equal bytes.
    static std::string checkReplay(const FoldLog& log, uint64_t digest)
    {
        constexpr uint64_t sampledPart = 32;
        if (digest % sampledPart != 0)
            return {};
        auto snapshot = log.fold.snapshot();
        Fold replayed;
        for (size_t i = 0; i < log.payloads.size(); ++i)
            replayed.apply(i + 1, log.payloads[i]).value();
        if (replayed.snapshot() != snapshot)
            return "a replay gives another snapshot";
        auto restored = Fold::fromSnapshot(snapshot).value();
        FoldLog direct = log;
        direct.lose("w1");
        restored.apply(log.payloads.size() + 1, direct.payloads.back()).value();
        return restored.snapshot() == direct.fold.snapshot() ? "" : "snapshot and tail differ from the replay";
    }

    Actions actions_;
    std::unordered_map<uint64_t, unsigned> visited_; // steps left when the state was explored
    std::set<proto::Record::BodyCase> accepted_;
    size_t transitions_ = 0;
};

// Two operators move and maintain three instances while instances are lost and the second entry is replaced.
static void addAcknowledgements(const FleetState& state, const std::string& operation, std::vector<proto::Record>& to)
{
    for (const auto& [id, entry] : state.entries)
        to.push_back(records::acknowledged(operation, id, entry.boot));
}

static std::vector<proto::Record> fleetActions(const FleetState& state)
{
    auto epoch = [&](const char* id) { return state.instances.at(id).epoch; };
    std::vector<proto::Record> actions {
        records::move("m1", "w1", "accounts", epoch("w1")),
        records::move("m2", "w1", "accounts", 1), // from a view that may be outdated
        records::move("m3", "w2", "accounts", epoch("w2")),
        records::move("m4", "w1", "reports", epoch("w1")),
        records::wave("v1"),
        records::waveChange("v1", proto::WaveChanged::ABORT),
        records::lost("w2", epoch("w2")),
        records::observed("w2", "reports"),
        records::joined("e2", 2, "north"),
        records::removed("e2", 1),
    };
    for (const char* id : { "m1", "m2", "m3", "m4" }) {
        auto move = state.moves.find(id);
        if (move == state.moves.end() || hasEnded(move->second))
            continue;
        addAcknowledgements(state, id, actions);
        actions.push_back(records::granted(id));
        actions.push_back(records::aborted(id));
    }
    for (const char* id : { "w1", "w2", "w3" }) {
        actions.push_back(records::maintenance("v1", id, epoch(id)));
        addAcknowledgements(state, std::string("v1/") + id, actions);
        actions.push_back(records::maintenanceDone("v1", id));
    }
    return actions;
}

// Both entries, and a second boot of each, want the same key; the configuration changes under them.
static std::vector<proto::Record> keyActions(const FleetState& state)
{
    static const std::string key = "1700000000000-k";
    auto ini = TestFleet {}.ini();
    std::vector<proto::Record> actions {
        records::configuration(state.configurationVersion, ini, "ana", "cid"),
        records::configuration(1, ini, "ben", "cid"), // from a view that may be outdated
    };
    for (const char* entry : { "e1", "e2" }) {
        for (uint64_t boot : { 1, 2 }) {
            actions.push_back(records::joined(entry, boot, "north"));
            actions.push_back(records::intent(key, entry, boot));
            actions.push_back(records::withdrawal(key, entry, boot));
            actions.push_back(records::outcome(key, entry, boot));
            actions.push_back(records::left(entry, boot));
        }
    }
    return actions;
}

class FoldExplorationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FoldExplorationTest);
    CPPUNIT_TEST(movesWavesAndLossesKeepTheInvariants);
    CPPUNIT_TEST(keysAndVersionsKeepTheInvariants);
    CPPUNIT_TEST(explorationFindsASeededFault);
    CPPUNIT_TEST(checksFindSeededFaults);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned fleetDepth = 7;
    static constexpr unsigned keyDepth = 7;

    static FoldLog smallFleet()
    {
        FoldLog log;
        ASSERT_OK(log.join("e1", 1, "north"));
        ASSERT_OK(log.join("e2", 1, "north"));
        ASSERT_OK(log.configure({}));
        ASSERT_OK(log.observe("w1", "reports"));
        ASSERT_OK(log.observe("w2", "reports"));
        ASSERT_OK(log.observe("w3", "accounts"));
        return log;
    }

public:
    // Guards against any order of two operators' moves, a wave, a loss and a replaced entry that breaks a promise.
    void movesWavesAndLossesKeepTheInvariants()
    {
        Explorer explorer { fleetActions };
        CPPUNIT_ASSERT_EQUAL(std::string(), explorer.run(smallFleet(), fleetDepth));
        std::cout << "fleet: depth " << fleetDepth << ", " << explorer.states() << " states, " << explorer.transitions()
                  << " transitions\n";
        using proto::Record;
        for (auto body :
            { Record::kMoveProposed, Record::kCloseAcknowledged, Record::kMoveGranted, Record::kMoveAborted,
                Record::kWaveStarted, Record::kWaveChanged, Record::kMaintenanceStarted, Record::kMaintenanceDone,
                Record::kInstanceLost, Record::kInstanceObserved, Record::kEntryJoined, Record::kEntryRemoved })
            CPPUNIT_ASSERT(explorer.accepted(body));
    }

    // Guards against a key with two owners and a configuration version that goes back.
    void keysAndVersionsKeepTheInvariants()
    {
        Explorer explorer { keyActions };
        CPPUNIT_ASSERT_EQUAL(std::string(), explorer.run(smallFleet(), keyDepth));
        std::cout << "keys: depth " << keyDepth << ", " << explorer.states() << " states, " << explorer.transitions()
                  << " transitions\n";
        using proto::Record;
        for (auto body : { Record::kKeyIntent, Record::kKeyOutcome, Record::kKeyWithdrawn, Record::kEntryJoined,
                 Record::kEntryLeft, Record::kConfigurationProposed })
            CPPUNIT_ASSERT(explorer.accepted(body));
    }

    // Guards against an exploration that never comes near the limits: against a minimum of one more than the fold
    // knows, and with a gate of one entry more, it has to find a violation.
    void explorationFindsASeededFault()
    {
        Explorer budget { fleetActions };
        budget.extraCheck = [](const FleetState&, const proto::Record& record, const FleetState& after) {
            bool planned = record.has_move_proposed() || record.has_maintenance_started();
            return std::string(planned && availableInPool(after, "reports") < 2 ? "below the raised minimum" : "");
        };
        CPPUNIT_ASSERT(!budget.run(smallFleet(), 3).empty());
        Explorer gate { fleetActions };
        gate.extraCheck = [](const FleetState& before, const proto::Record&, const FleetState& after) {
            const auto& from = before.instances.at("w1").pool;
            return std::string(from != after.instances.at("w1").pool ? "granted" : "");
        };
        CPPUNIT_ASSERT(!gate.run(smallFleet(), 4).empty());
    }

    // Guards against checks that cannot fail: each seeded change of the state has to be found.
    void checksFindSeededFaults()
    {
        using Mutation = std::function<void(FleetState&)>;
        const std::map<std::string, Mutation> mutations {
            { "pool changed without a grant", [](FleetState& s) { s.instances.at("w1").pool = "accounts"; } },
            { "unknown pool", [](FleetState& s) { s.instances.at("w1").pool = "nowhere"; } },
            { "epoch went back", [](FleetState& s) { s.instances.at("w1").epoch = 0; } },
            { "held twice",
                [](FleetState& s) {
                    s.moves["x"].instance = "w1";
                    s.moves["y"].instance = "w1";
                } },
            { "below the minimum",
                [](FleetState& s) {
                    for (const char* id : { "w1", "w2" }) {
                        s.instances.at(id).status = InstanceStatus::Closing;
                        s.instances.at(id).operationId = "m1";
                    }
                } },
            { "second owner", [](FleetState& s) { s.keys.begin()->second.owner = "e2"; } },
            { "version went back", [](FleetState& s) { s.configurationVersion = 0; } },
        };
        auto log = smallFleet();
        auto before = log.state();
        before.keys["1700000000000-k"].owner = "e1";
        proto::Record record;
        record.mutable_move_proposed()->set_move_id("m1");
        CPPUNIT_ASSERT_EQUAL(std::string(), findViolation(before, record, {}, before));
        for (const auto& [name, mutate] : mutations) {
            Section seeded(name);
            auto after = before;
            mutate(after);
            CPPUNIT_ASSERT(!findViolation(before, record, {}, after).empty());
        }
        Section witnessed("a grant without acknowledgements and a second owner are found by the witness");
        FoldWitness witness;
        proto::Record intent;
        intent.mutable_key_intent()->set_key("k");
        CPPUNIT_ASSERT(witness.observe(before, intent, {}).empty());
        CPPUNIT_ASSERT(!witness.observe(before, intent, {}).empty());
        record.mutable_move_proposed()->set_instance("w1");
        CPPUNIT_ASSERT(witness.observe(before, record, {}).empty());
        proto::Record grant;
        grant.mutable_move_granted()->set_move_id("m1");
        CPPUNIT_ASSERT(!witness.observe(before, grant, {}).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldExplorationTest);

} // namespace shallotdrift
