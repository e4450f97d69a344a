#include "FoldInvariants.h"
#include "FoldLog.h"
#include "Story.h"

#include "shallotdrift/Base.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <random>

namespace shallotdrift {

class SnapshotTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SnapshotTest);
    CPPUNIT_TEST(snapshotAndTailEqualTheReplay);
    CPPUNIT_TEST(damagedBytesAreRefused);
    CPPUNIT_TEST(inconsistentStatesAreRefused);
    CPPUNIT_TEST(piecesAssembleInAnyOrder);
    CPPUNIT_TEST(wrongPiecesAreDroppedAndMemoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

    static void addTask(FoldLog& log, const char* id)
    {
        proto::Record record;
        record.mutable_task_accepted()->set_task_id(id);
        record.mutable_task_accepted()->mutable_spec()->set_kind("ledger");
        record.mutable_task_accepted()->mutable_spec()->set_input(std::string("\0\xff", 2));
        ASSERT_OK(log.add(record).verdict.code);
    }

    static void addKey(FoldLog& log, int number)
    {
        proto::Record record;
        auto& body = *record.mutable_key_intent();
        body.set_key(fmt::format("{}-k", FoldLog::startMilliseconds + number));
        body.set_kind("issue");
        body.set_owner("e1");
        body.set_owner_boot(1);
        ASSERT_OK(log.add(record).verdict.code);
    }

    // A fleet with something of every kind in its state.
    static FoldLog busyFleet()
    {
        FoldLog log;
        log.startFleet();
        for (const char* id : { "w1", "w2", "w3", "w4" })
            ASSERT_OK(log.observe(id, "reports"));
        ASSERT_OK(log.observe("w5", "accounts"));
        ASSERT_OK(log.move("m1", "w1", "accounts"));
        ASSERT_OK(log.acknowledge("m1", "e1"));
        ASSERT_OK(log.move("m2", "w2", "accounts"));
        ASSERT_OK(log.abort("m2"));
        ASSERT_OK(log.startWave("v1"));
        ASSERT_OK(log.maintain("v1", "w3"));
        ASSERT_OK(log.lose("w5"));
        ASSERT_OK(log.move("m3", "w4", "accounts"));
        ASSERT_CODE(ResultCode::BudgetExceeded, log.move("m4", "w2", "accounts"));
        addTask(log, "t1");
        addKey(log, 1);
        addKey(log, 2);
        proto::Record handbook;
        handbook.mutable_handbook_proposed()->set_name("flood-lend");
        handbook.mutable_handbook_proposed()->set_ini(returnHandbook);
        handbook.mutable_handbook_proposed()->set_author("ana");
        ASSERT_OK(log.add(handbook).verdict.code);
        return log;
    }

    static ResultCode load(const std::string& bytes)
    {
        return handleError(
            [&]() -> Result<ResultCode> {
                BOOST_LEAF_CHECK(Fold::fromSnapshot(bytes));
                return ResultCode::Ok;
            },
            [](const Error& error) { return error.code; });
    }

public:
    // Guards against state that a snapshot leaves out: every later record must find the same state.
    void snapshotAndTailEqualTheReplay()
    {
        auto log = busyFleet();
        auto full = log.fold.snapshot();
        Fold replayed;
        for (size_t i = 0; i < log.payloads.size(); ++i) {
            replayed = Fold::fromSnapshot(replayed.snapshot()).value();
            replayed.apply(i + 1, log.payloads[i]).value();
        }
        CPPUNIT_ASSERT(replayed.snapshot() == full);
        CPPUNIT_ASSERT_EQUAL(Offset { log.payloads.size() }, replayed.offset());
        ASSERT_OK(load(Fold().snapshot()));
    }

    // Guards against a crash on, or the installation of, a snapshot that was cut or changed on its way.
    void damagedBytesAreRefused()
    {
        auto bytes = busyFleet().fold.snapshot();
        ASSERT_OK(load(bytes));
        for (size_t length = 0; length < bytes.size(); ++length)
            ASSERT_CODE(ResultCode::SnapshotInvalid, load(bytes.substr(0, length)));
        for (size_t i = 0; i < bytes.size(); ++i) {
            auto changed = bytes;
            changed[i] = static_cast<char>(changed[i] ^ 0x10);
            ASSERT_CODE(ResultCode::SnapshotInvalid, load(changed));
        }
        ASSERT_CODE(ResultCode::SnapshotInvalid, load(bytes + bytes));
    }

    // Guards against states with a valid checksum that the fold can't reach and would later fail on.
    void inconsistentStatesAreRefused()
    {
        using Change = std::function<void(proto::SnapshotState&)>;
        const std::map<std::string, Change> changes {
            { "unknown format", [](auto& s) { s.set_format(2); } },
            { "unknown pool", [](auto& s) { s.mutable_instances(0)->set_pool("nowhere"); } },
            { "status out of range", [](auto& s) { s.mutable_instances(0)->set_state(9); } },
            { "move without its instance", [](auto& s) { s.mutable_instances()->DeleteSubrange(0, 1); } },
            { "instance without its move", [](auto& s) { s.mutable_moves()->DeleteSubrange(0, 1); } },
            { "acknowledgement of a stranger", [](auto& s) { s.mutable_moves(0)->add_pending_gates("e9"); } },
            { "closed with a missing acknowledgement", [](auto& s) { s.mutable_moves(0)->set_status(1); } },
            { "wave without its instance", [](auto& s) { s.mutable_waves(0)->mutable_active(0)->set_instance("w9"); } },
            { "instances in another order", [](auto& s) { s.mutable_instances()->SwapElements(0, 1); } },
            { "instance twice", [](auto& s) { *s.add_instances() = s.instances(0); } },
            { "expired key", [](auto& s) { s.set_key_horizon_ms(s.fold_time_ms() + 1); } },
            { "malformed key", [](auto& s) { s.mutable_keys(0)->set_key("x"); } },
            { "entry without a writer", [](auto& s) { s.clear_writers(); } },
            { "invalid configuration", [](auto& s) { s.set_configuration_ini("invalid"); } },
            { "time out of range", [](auto& s) { s.set_fold_time_ms(-1); } },
            { "unknown result code", [](auto& s) { s.mutable_audit(0)->set_result_code(999); } },
        };
        auto message = messageOf(busyFleet().fold.snapshot());
        ASSERT_OK(load(sealed(message)));
        for (const auto& [name, change] : changes) {
            Section changed(name);
            auto copy = message;
            change(copy);
            ASSERT_CODE(ResultCode::SnapshotInvalid, load(sealed(copy)));
        }
    }

    // Guards against a snapshot that is lost because its pieces come mixed, twice, or from the log and a peer.
    void piecesAssembleInAnyOrder()
    {
        std::mt19937_64 random(7);
        std::string older(150000, 'a');
        std::string newer(100000, 'b');
        SnapshotWriter first(10, older);
        SnapshotWriter second(20, newer);
        CPPUNIT_ASSERT_EQUAL(uint32_t { 4 }, first.count());
        for (int round = 0; round < 50; ++round) {
            std::vector<std::function<std::optional<AssembledSnapshot>(SnapshotAssembler&)>> pieces;
            for (const auto& record : first.records())
                pieces.emplace_back([chunk = record.snapshot_chunk()](auto& to) { return to.add(chunk); });
            for (int copy = 0; copy < 2; ++copy) {
                for (const auto& part : second.parts())
                    pieces.emplace_back([part](auto& to) { return to.add(part); });
            }
            std::shuffle(pieces.begin(), pieces.end(), random);
            SnapshotAssembler assembler;
            std::optional<AssembledSnapshot> last;
            for (const auto& add : pieces) {
                if (auto snapshot = add(assembler)) {
                    CPPUNIT_ASSERT(!last || snapshot->offset > last->offset);
                    last = snapshot;
                }
            }
            CPPUNIT_ASSERT(last && last->offset == 20 && last->bytes == newer);
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, assembler.heldBytes());
        }
    }

    // Guards against wrong pieces that block a snapshot for ever, and against memory that hostile pieces take.
    void wrongPiecesAreDroppedAndMemoryIsBounded()
    {
        SnapshotWriter writer(10, std::string(100000, 'a'));
        auto parts = writer.parts();
        SnapshotAssembler assembler({ 1 << 20, 3 });
        auto wrong = parts[0];
        wrong.mutable_data()->front() = 'x';
        CPPUNIT_ASSERT(!assembler.add(wrong));
        CPPUNIT_ASSERT(!assembler.add(parts[1]));
        CPPUNIT_ASSERT(!assembler.add(parts[2]));
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, assembler.incompleteSnapshots());
        for (uint64_t i = 0; i < 1000; ++i) {
            auto hostile = parts[0];
            hostile.set_count(i % 2 ? UINT32_MAX : 21);
            hostile.set_index(static_cast<uint32_t>(i % 20));
            hostile.set_snapshot_offset(11 + i / 100);
            assembler.add(hostile);
            CPPUNIT_ASSERT(assembler.heldBytes() <= (1 << 20));
            CPPUNIT_ASSERT(assembler.incompleteSnapshots() <= 3);
        }
        CPPUNIT_ASSERT(assembler.heldBytes() > 0);
        for (auto& part : parts)
            part.set_snapshot_offset(100);
        CPPUNIT_ASSERT(!assembler.add(parts[0]));
        CPPUNIT_ASSERT(!assembler.add(parts[1]));
        CPPUNIT_ASSERT(assembler.add(parts[2]).has_value());
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, assembler.heldBytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);

} // namespace shallotdrift
