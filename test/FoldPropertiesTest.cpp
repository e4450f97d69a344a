#include "FoldInvariants.h"
#include "FoldLog.h"

#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/stubs/logging.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <random>

namespace shallotdrift {

// Records whose fields come from small sets of good and bad values, so that many of them refer to each other.
class HostileRecords {
public:
    explicit HostileRecords(uint64_t seed)
        : random_(seed)
    {
    }

    // Takes most epochs and tokens from the state, as few guesses would match.
    proto::Record next(const FleetState& state)
    {
        state_ = &state;
        proto::Record record;
        record.mutable_id()->set_writer(pick({ "e1", "e2", "e3", "e1", "e2", "\xc3\xa9" }));
        record.mutable_id()->set_boot(number() % 16 ? 1 : 2);
        if (number() % 16 == 0)
            record.mutable_id()->set_sequence(small()); // most often a copy; otherwise FoldLog counts
        record.set_written_ms(number() % 32 ? FoldLog::startMilliseconds + time() : static_cast<int64_t>(number()));
        record.set_reason(std::string(number() % 64 ? 3 : 300, 'r'));
        fill(record);
        return record;
    }

private:
    uint64_t number() { return random_(); }
    int64_t time() { return static_cast<int64_t>(number() % 2000000); }
    uint64_t small() { return number() % 5; }
    std::string pick(std::initializer_list<const char*> values) { return values.begin()[number() % values.size()]; }
    std::string instance() { return pick({ "w1", "w2", "w3", "w4", "w5", "", "a/b" }); }
    std::string pool() { return pick({ "reports", "accounts", "reports", "nowhere" }); }
    std::string zone() { return pick({ "north", "south", "north", "" }); }
    std::string entry(const proto::Record& record)
    {
        return number() % 4 ? record.id().writer() : pick({ "e1", "e2" });
    }
    std::string wave() { return pick({ "v1", "v2", "v1", "" }); }
    std::string move() { return pick({ "m1", "m2", "m3", "v1/w1", "" }); }
    std::string key()
    {
        return fmt::format("{}-k", FoldLog::startMilliseconds + static_cast<int64_t>(number() % 4) * 500000);
    }
    uint64_t epoch(const std::string& id)
    {
        auto known = state_->instances.find(id);
        return known == state_->instances.end() || number() % 4 == 0 ? small() : known->second.epoch;
    }
    uint64_t token(const std::string& task)
    {
        auto known = state_->tasks.find(task);
        return known == state_->tasks.end() || number() % 4 == 0 ? small() : known->second.token;
    }
    std::string text() { return pick({ "ana", "ben", "", "\xc3\xa9" }); }

    template <typename Body> void fillEntry(const proto::Record& record, Body& body)
    {
        body.set_entry(entry(record));
        body.set_boot(record.id().boot());
    }

    void fill(proto::Record& record)
    {
        switch (number() % 30) {
        case 0:
            fillEntry(record, *record.mutable_entry_joined());
            return record.mutable_entry_joined()->set_zone(zone());
        case 1:
            return fillEntry(record, *record.mutable_entry_left());
        case 2:
            fillEntry(record, *record.mutable_entry_removed());
            return record.mutable_entry_removed()->set_evidence(
                static_cast<proto::EntryRemoved::Evidence>(number() % 4));
        case 3:
            return fillConfiguration(*record.mutable_configuration_proposed());
        case 4:
            record.mutable_handbook_proposed()->set_name(pick({ "h1", "h2", "" }));
            record.mutable_handbook_proposed()->set_expected_version(number() % 3);
            record.mutable_handbook_proposed()->set_author(text());
            return record.mutable_handbook_proposed()->set_ini(pick({ returnHandbook, "x" }));
        case 5:
            record.mutable_handbook_reviewed()->set_name(pick({ "h1", "h2" }));
            record.mutable_handbook_reviewed()->set_version(number() % 3);
            record.mutable_handbook_reviewed()->set_reviewer(text());
            return record.mutable_handbook_reviewed()->set_approved(number() % 2);
        case 6:
            record.mutable_handbook_invoked()->set_name(pick({ "h1", "h2" }));
            record.mutable_handbook_invoked()->set_version(number() % 3);
            return record.mutable_handbook_invoked()->set_invocation_id(pick({ "i1", "i2", "" }));
        case 7:
        case 8:
            return fillInstance(*record.mutable_instance_observed());
        case 9:
            record.mutable_instance_lost()->set_instance(instance());
            record.mutable_instance_lost()->set_leaving(number() % 2);
            return record.mutable_instance_lost()->set_expected_epoch(epoch(record.instance_lost().instance()));
        case 10:
        case 11:
            record.mutable_move_proposed()->set_move_id(move());
            record.mutable_move_proposed()->set_instance(instance());
            record.mutable_move_proposed()->set_to_pool(pool());
            return record.mutable_move_proposed()->set_expected_epoch(epoch(record.move_proposed().instance()));
        case 12:
        case 13:
            fillEntry(record, *record.mutable_close_acknowledged());
            return record.mutable_close_acknowledged()->set_operation_id(
                number() % 2 ? move() : wave() + "/" + instance());
        case 14:
            return record.mutable_move_granted()->set_move_id(move());
        case 15:
            return record.mutable_move_aborted()->set_move_id(move());
        case 16:
            record.mutable_wave_started()->set_wave_id(wave());
            record.mutable_wave_started()->set_zone(zone());
            return record.mutable_wave_started()->set_keep_drained(number() % 2);
        case 17:
            record.mutable_wave_changed()->set_wave_id(wave());
            return record.mutable_wave_changed()->set_change(static_cast<proto::WaveChanged::Change>(number() % 5));
        case 18:
            record.mutable_maintenance_started()->set_wave_id(wave());
            record.mutable_maintenance_started()->set_instance(instance());
            return record.mutable_maintenance_started()->set_expected_epoch(
                epoch(record.maintenance_started().instance()));
        case 19:
            record.mutable_maintenance_done()->set_wave_id(wave());
            record.mutable_maintenance_done()->set_instance(instance());
            return record.mutable_maintenance_done()->set_completed(number() % 2);
        default:
            return fillWork(record);
        }
    }

    void fillConfiguration(proto::ConfigurationProposed& body)
    {
        TestFleet fleet;
        fleet.pools["reports"] = static_cast<uint32_t>(small());
        if (number() % 3 == 0)
            fleet.pools.erase("accounts");
        body.set_ini(number() % 4 ? fleet.ini() : "invalid");
        body.set_expected_version(small());
        body.set_author("ana");
        body.set_reviewer(text());
    }

    void fillInstance(proto::InstanceObserved& body)
    {
        body.set_instance(instance());
        body.set_zone(zone());
        body.set_rack(pick({ "r1", "r2" }));
        body.set_pool(pool());
    }

    void fillWork(proto::Record& record)
    {
        std::string task = pick({ "t1", "t2" });
        switch (number() % 7) {
        case 0:
            record.mutable_task_accepted()->set_task_id(task);
            return record.mutable_task_accepted()->mutable_spec()->set_kind(pick({ "ledger", "check" }));
        case 1:
            record.mutable_task_placed()->set_task_id(task);
            record.mutable_task_placed()->set_expected_token(token(task));
            record.mutable_task_placed()->set_instance(instance());
            record.mutable_task_placed()->set_expected_epoch(epoch(record.task_placed().instance()));
            return record.mutable_task_placed()->set_owner(entry(record));
        case 2:
            record.mutable_task_owner()->set_task_id(task);
            record.mutable_task_owner()->set_expected_token(token(task));
            return record.mutable_task_owner()->set_owner(entry(record));
        case 3:
            record.mutable_task_ended()->set_task_id(task);
            record.mutable_task_ended()->set_expected_token(token(task));
            return record.mutable_task_ended()->set_end(static_cast<proto::TaskEnded::End>(number() % 7));
        case 4:
            record.mutable_key_intent()->set_key(key());
            record.mutable_key_intent()->set_kind("issue");
            record.mutable_key_intent()->set_owner(record.id().writer());
            return record.mutable_key_intent()->set_owner_boot(record.id().boot());
        case 5:
            record.mutable_key_outcome()->set_key(key());
            record.mutable_key_outcome()->set_owner_boot(record.id().boot());
            return record.mutable_key_outcome()->set_outcome(static_cast<proto::KeyOutcome::Outcome>(number() % 5));
        default:
            record.mutable_key_withdrawn()->set_key(key());
            return record.mutable_key_withdrawn()->set_owner_boot(record.id().boot());
        }
    }

    std::mt19937_64 random_;
    const FleetState* state_ = nullptr;
};

class FoldPropertiesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FoldPropertiesTest);
    CPPUNIT_TEST(hostileRecordsKeepTheInvariants);
    CPPUNIT_TEST(randomBytesNeverStopTheFold);
    CPPUNIT_TEST(changedSnapshotsAreRefusedOrSafe);
    CPPUNIT_TEST_SUITE_END();

    using Accepted = std::set<proto::Record::BodyCase>;

    static FoldLog hostileLog(uint64_t seed, size_t records, Accepted* accepted = nullptr)
    {
        FoldLog log;
        log.startFleet();
        for (const char* id : { "w1", "w2", "w3" })
            log.observe(id, "reports");
        HostileRecords hostile(seed);
        for (size_t i = 0; i < records; ++i) {
            auto before = log.state();
            auto folded = log.add(hostile.next(log.state()));
            RC_ASSERT(findViolation(before, folded.record, folded.verdict, log.state()).empty());
            if (accepted && folded.verdict.code == ResultCode::Ok)
                accepted->insert(folded.record.body_case());
        }
        return log;
    }

public:
    void setUp() override { setenv("RC_PARAMS", "seed=20 max_success=200", 0); }

    // Guards against records in any order and with any fields that crash the fold, break a promise, or reach a state
    // that its own snapshot does not accept.
    void hostileRecordsKeepTheInvariants()
    {
        Accepted accepted;
        CPPUNIT_ASSERT(rc::check("hostile records", [&](uint64_t seed) {
            auto log = hostileLog(seed, 400, &accepted);
            auto snapshot = log.fold.snapshot();
            RC_ASSERT(Fold::fromSnapshot(snapshot).value().snapshot() == snapshot);
        }));
        for (int body = proto::Record::kEntryJoined; body <= proto::Record::kKeyWithdrawn; ++body)
            CPPUNIT_ASSERT_MESSAGE(
                fmt::format("body {}", body), accepted.count(static_cast<proto::Record::BodyCase>(body)) > 0);
    }

    // Guards against payloads that crash the fold or make it grow.
    void randomBytesNeverStopTheFold()
    {
        google::protobuf::LogSilencer silencer; // refused text that is not UTF-8 would be logged each time
        CPPUNIT_ASSERT(rc::check("random payloads", [](const std::vector<std::string>& payloads, uint64_t seed) {
            auto log = hostileLog(seed, 5);
            std::mt19937_64 random(seed);
            Offset offset = log.fold.offset();
            auto size = log.fold.snapshot().size();
            for (const auto& payload : payloads)
                RC_ASSERT(log.fold.apply(++offset, payload).has_value());
            for (auto payload : log.payloads) {
                payload[random() % payload.size()] = static_cast<char>(random());
                RC_ASSERT(log.fold.apply(++offset, payload).has_value());
            }
            RC_ASSERT(log.fold.snapshot().size() < size + 100000);
        }));
    }

    // Guards against snapshots with a valid checksum that are accepted and later crash the fold.
    void changedSnapshotsAreRefusedOrSafe()
    {
        google::protobuf::LogSilencer silencer;
        size_t accepted = 0;
        CPPUNIT_ASSERT(rc::check("changed snapshots", [&](uint64_t seed) {
            auto body = messageOf(hostileLog(seed, 100).fold.snapshot()).SerializeAsString();
            std::mt19937_64 random(seed);
            body[random() % body.size()] = static_cast<char>(random());
            proto::SnapshotState message;
            if (!message.ParseFromString(body))
                return;
            auto loaded = Fold::fromSnapshot(sealed(message));
            if (!loaded)
                return;
            ++accepted;
            FoldLog log;
            Offset offset = loaded.value().offset();
            HostileRecords hostile(seed + 1);
            for (int i = 0; i < 200; ++i) {
                proto::RecordBatch batch;
                *batch.add_records() = hostile.next(loaded.value().state());
                if (offset < UINT64_MAX)
                    RC_ASSERT(loaded.value().apply(++offset, batch.SerializeAsString()).has_value());
            }
        }));
        CPPUNIT_ASSERT(accepted > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldPropertiesTest);

} // namespace shallotdrift
