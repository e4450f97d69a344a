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
class FleetActions {
public:
    std::vector<proto::Record> operator()(const FleetState& state)
    {
        records_.clear();
        state_ = &state;
        addMoves();
        addWave();
        addFaults();
        return records_;
    }

private:
    proto::Record& record(const char* actor)
    {
        auto& added = records_.emplace_back();
        added.set_actor(actor);
        return added;
    }

    void addMove(const char* actor, const char* id, const char* instance, const char* pool, uint64_t epoch)
    {
        auto& body = *record(actor).mutable_move_proposed();
        body.set_move_id(id);
        body.set_instance(instance);
        body.set_to_pool(pool);
        body.set_expected_epoch(epoch);
    }

    void addAcknowledgements(const std::string& operation)
    {
        for (const char* entry : { "e1", "e2" }) {
            auto member = state_->entries.find(entry);
            if (member == state_->entries.end())
                continue;
            auto& added = record("entry");
            auto& body = *added.mutable_close_acknowledged();
            body.set_operation_id(operation);
            body.set_entry(entry);
            body.set_boot(member->second.boot);
            added.mutable_id()->set_writer(entry);
            added.mutable_id()->set_boot(member->second.boot);
        }
    }

    void addMoves()
    {
        addMove("operator:o1", "m1", "w1", "accounts", state_->instances.at("w1").epoch);
        addMove("operator:o2", "m2", "w1", "accounts", 1); // from a view that may be outdated
        addMove("operator:o2", "m3", "w2", "accounts", state_->instances.at("w2").epoch);
        addMove("operator:o1", "m4", "w1", "reports", state_->instances.at("w1").epoch);
        for (const char* id : { "m1", "m2", "m3", "m4" }) {
            auto move = state_->moves.find(id);
            if (move == state_->moves.end() || hasEnded(move->second))
                continue;
            addAcknowledgements(id);
            record("entry").mutable_move_granted()->set_move_id(id);
            record("operator:o1").mutable_move_aborted()->set_move_id(id);
        }
    }

    void addWave()
    {
        record("operator:o2").mutable_wave_started()->set_wave_id("v1");
        auto& abort = *record("operator:o1").mutable_wave_changed();
        abort.set_wave_id("v1");
        abort.set_change(proto::WaveChanged::ABORT);
        for (const char* id : { "w1", "w2", "w3" }) {
            auto& started = *record("entry").mutable_maintenance_started();
            started.set_wave_id("v1");
            started.set_instance(id);
            started.set_expected_epoch(state_->instances.at(id).epoch);
            addAcknowledgements(std::string("v1/") + id);
            auto& done = *record("entry").mutable_maintenance_done();
            done.set_wave_id("v1");
            done.set_instance(id);
            done.set_completed(true);
        }
    }

    void addFaults()
    {
        auto& lost = *record("entry").mutable_instance_lost();
        lost.set_instance("w2");
        lost.set_expected_epoch(state_->instances.at("w2").epoch);
        auto& back = *record("entry").mutable_instance_observed();
        back.set_instance("w2");
        back.set_address("10.0.0.1:80");
        back.set_zone("north");
        back.set_rack("rack-1");
        back.set_pool("reports");
        auto& joined = record("entry");
        joined.mutable_id()->set_writer("e2");
        joined.mutable_id()->set_boot(2);
        joined.mutable_entry_joined()->set_entry("e2");
        joined.mutable_entry_joined()->set_boot(2);
        joined.mutable_entry_joined()->set_zone("north");
        auto& removed = *record("operator:o1").mutable_entry_removed();
        removed.set_entry("e2");
        removed.set_boot(1);
        removed.set_evidence(proto::EntryRemoved::CONFIRMED_BY_OPERATOR);
    }

    std::vector<proto::Record> records_;
    const FleetState* state_ = nullptr;
};

// Both entries, and a second boot of one, want the same key; the configuration changes under them.
class KeyActions {
public:
    std::vector<proto::Record> operator()(const FleetState& state)
    {
        records_.clear();
        for (const char* entry : { "e1", "e2" }) {
            for (uint64_t boot : { 1, 2 })
                addOwner(entry, boot);
        }
        for (const char* author : { "ana", "ben" }) {
            auto& body = *record(author, 7).mutable_configuration_proposed();
            body.set_expected_version(author == std::string("ana") ? state.configurationVersion : 1);
            body.set_ini(TestFleet {}.ini());
            body.set_author(author);
            body.set_reviewer("cid");
        }
        return records_;
    }

private:
    proto::Record& record(const char* writer, uint64_t boot)
    {
        auto& added = records_.emplace_back();
        added.mutable_id()->set_writer(writer);
        added.mutable_id()->set_boot(boot);
        return added;
    }

    void addOwner(const char* entry, uint64_t boot)
    {
        static const std::string key = "1700000000000-k";
        auto& joined = *record(entry, boot).mutable_entry_joined();
        joined.set_entry(entry);
        joined.set_boot(boot);
        joined.set_zone("north");
        auto& intent = *record(entry, boot).mutable_key_intent();
        intent.set_key(key);
        intent.set_digest(5);
        intent.set_kind("issue");
        intent.set_owner(entry);
        intent.set_owner_boot(boot);
        auto& withdrawn = *record(entry, boot).mutable_key_withdrawn();
        withdrawn.set_key(key);
        withdrawn.set_owner_boot(boot);
        auto& outcome = *record(entry, boot).mutable_key_outcome();
        outcome.set_key(key);
        outcome.set_owner_boot(boot);
        outcome.set_outcome(proto::KeyOutcome::RAN);
        auto& left = *record(entry, boot).mutable_entry_left();
        left.set_entry(entry);
        left.set_boot(boot);
    }

    std::vector<proto::Record> records_;
};

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
        Explorer explorer { FleetActions() };
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
        Explorer explorer { KeyActions() };
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
        Explorer budget { FleetActions() };
        budget.extraCheck = [](const FleetState&, const proto::Record& record, const FleetState& after) {
            bool planned = record.has_move_proposed() || record.has_maintenance_started();
            return std::string(planned && availableInPool(after, "reports") < 2 ? "below the raised minimum" : "");
        };
        CPPUNIT_ASSERT(!budget.run(smallFleet(), 3).empty());
        Explorer gate { FleetActions() };
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
