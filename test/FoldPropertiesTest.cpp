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
        writer_ = pick({ "e1", "e2", "e3", "e1", "e2", "\xc3\xa9" });
        boot_ = number() % 16 ? 1 : 2;
        auto record = any(30) < 18 ? fleetRecord() : workRecord();
        record.mutable_id()->set_writer(number() % 16 ? writer_ : "e1");
        record.mutable_id()->set_boot(boot_);
        if (number() % 16 == 0)
            record.mutable_id()->set_sequence(small()); // most often a copy; otherwise FoldLog counts
        record.set_written_ms(number() % 32 ? FoldLog::startMilliseconds + time() : static_cast<int64_t>(number()));
        record.set_reason(std::string(number() % 64 ? 3 : 300, 'r'));
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
    std::string entry() { return number() % 4 ? writer_ : pick({ "e1", "e2" }); }
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

    int any(int limit) { return static_cast<int>(number() % static_cast<uint64_t>(limit)); }
    bool coin() { return number() % 2 > 0; }

    std::string ini()
    {
        TestFleet fleet;
        fleet.pools["reports"] = static_cast<uint32_t>(small());
        if (any(3) == 0)
            fleet.pools.erase("accounts");
        return any(4) ? fleet.ini() : "invalid";
    }

    proto::Record fleetRecord()
    {
        std::string id = instance();
        switch (any(20)) {
        case 0:
            return records::joined(entry(), boot_, zone());
        case 1:
            return records::left(entry(), boot_);
        case 2:
            return records::removed(entry(), boot_, any(4));
        case 3:
            return records::configuration(small(), ini(), "ana", text());
        case 4:
            return records::handbook(pick({ "h1", "h2", "" }), number() % 3, pick({ returnHandbook, "x" }), text());
        case 5:
            return records::review(pick({ "h1", "h2" }), number() % 3, text(), coin());
        case 6:
            return records::invocation(pick({ "h1", "h2" }), number() % 3, pick({ "i1", "i2", "" }));
        case 7:
        case 8:
            return records::observed(id, pool(), zone(), pick({ "r1", "r2" }));
        case 9:
            return records::lost(id, epoch(id), coin());
        case 10:
        case 11:
            return records::move(move(), id, pool(), epoch(id));
        case 12:
        case 13:
            return records::acknowledged(coin() ? move() : wave() + "/" + id, entry(), boot_);
        case 14:
            return records::granted(move());
        case 15:
            return records::aborted(move());
        case 16:
            return records::wave(wave(), "", zone(), coin());
        case 17:
            return records::waveChange(wave(), any(5));
        case 18:
            return records::maintenance(wave(), id, epoch(id));
        default:
            return records::maintenanceDone(wave(), id, coin());
        }
    }

    proto::Record workRecord()
    {
        std::string id = instance();
        std::string task = pick({ "t1", "t2" });
        switch (any(7)) {
        case 0:
            return records::task(task, pick({ "ledger", "check" }));
        case 1:
            return records::placed(task, id, epoch(id), token(task), entry());
        case 2:
            return records::takenOver(task, entry(), token(task));
        case 3:
            return records::taskEnd(task, token(task), any(7));
        case 4:
            return records::intent(key(), writer_, boot_);
        case 5:
            return records::outcome(key(), writer_, boot_, any(5));
        default:
            return records::withdrawal(key(), writer_, boot_);
        }
    }

    std::string writer_;
    uint64_t boot_ = 1;
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
