#include "FoldLog.h"
#include "Story.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class FoldKeysTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FoldKeysTest);
    CPPUNIT_TEST(firstIntentOwnsTheKey);
    CPPUNIT_TEST(endedOwnersLeaveUnknownKeys);
    CPPUNIT_TEST(keysExpireByFoldTime);
    CPPUNIT_TEST(grownWindowRevivesNoExpiredKey);
    CPPUNIT_TEST_SUITE_END();

    static std::string keyAt(int64_t milliseconds) { return fmt::format("{}-k", milliseconds); }

    static ResultCode intend(FoldLog& log, const std::string& key, const std::string& entry = "e1", uint64_t digest = 5)
    {
        proto::Record record;
        record.mutable_id()->set_writer(entry);
        record.mutable_id()->set_boot(1);
        auto& body = *record.mutable_key_intent();
        body.set_key(key);
        body.set_digest(digest);
        body.set_kind("issue");
        body.set_owner(entry);
        body.set_owner_boot(1);
        return log.add(record).verdict.code;
    }

    static ResultCode finish(FoldLog& log, const std::string& key, const std::string& entry = "e1")
    {
        proto::Record record;
        record.mutable_id()->set_writer(entry);
        record.mutable_id()->set_boot(1);
        auto& body = *record.mutable_key_outcome();
        body.set_key(key);
        body.set_owner_boot(1);
        body.set_outcome(proto::KeyOutcome::RAN);
        body.set_receipt("report 17");
        return log.add(record).verdict.code;
    }

    static ResultCode withdraw(FoldLog& log, const std::string& key, const std::string& entry = "e1")
    {
        proto::Record record;
        record.mutable_id()->set_writer(entry);
        record.mutable_id()->set_boot(1);
        record.mutable_key_withdrawn()->set_key(key);
        record.mutable_key_withdrawn()->set_owner_boot(1);
        return log.add(record).verdict.code;
    }

    static void stamp(FoldLog& log, const std::string& entry, int64_t milliseconds)
    {
        proto::Record record;
        record.mutable_id()->set_writer(entry);
        record.mutable_id()->set_boot(1);
        record.set_written_ms(milliseconds);
        record.mutable_writer_time();
        ASSERT_OK(log.add(record).verdict.code);
    }

    static FoldLog fleet(const TestFleet& settings = {})
    {
        FoldLog log;
        log.startFleet(settings);
        return log;
    }

public:
    // Guards against work that runs twice because two entries, or one entry twice, own its key.
    void firstIntentOwnsTheKey()
    {
        auto log = fleet();
        auto key = keyAt(FoldLog::startMilliseconds);
        ASSERT_OK(intend(log, key));
        ASSERT_CODE(ResultCode::StillRunning, intend(log, key, "e2"));
        ASSERT_CODE(ResultCode::StillRunning, intend(log, key));
        ASSERT_CODE(ResultCode::KeyMismatch, intend(log, key, "e2", 6));
        ASSERT_CODE(ResultCode::Conflict, finish(log, key, "e2"));
        {
            Section withdrawn("a withdrawn key can be used again, by its owner's word alone");
            ASSERT_CODE(ResultCode::Conflict, withdraw(log, key, "e2"));
            ASSERT_OK(withdraw(log, key));
            ASSERT_OK(intend(log, key, "e2"));
            ASSERT_CODE(ResultCode::Conflict, finish(log, key));
        }
        {
            Section finished("the outcome stays");
            ASSERT_OK(finish(log, key, "e2"));
            ASSERT_CODE(ResultCode::RanResultNotKept, intend(log, key));
            ASSERT_CODE(ResultCode::WrongState, withdraw(log, key, "e2"));
            ASSERT_CODE(ResultCode::WrongState, finish(log, key, "e2"));
            CPPUNIT_ASSERT_EQUAL(std::string("report 17"), log.state().keys.at(key).receipt);
        }
        Section malformed("keys that do not carry their time of issue are refused as not run");
        for (const char* text :
            { "", "17-k", "1700000000000", "1700000000000-", "17000000000000-k", "+700000000000-k" })
            ASSERT_CODE(ResultCode::BadRequest, intend(log, text));
    }

    // Guards against keys that read as running for ever, and against a lost late outcome.
    void endedOwnersLeaveUnknownKeys()
    {
        auto log = fleet();
        auto key = keyAt(FoldLog::startMilliseconds);
        ASSERT_OK(intend(log, key, "e2"));
        proto::Record removed;
        removed.mutable_entry_removed()->set_entry("e2");
        removed.mutable_entry_removed()->set_boot(1);
        removed.mutable_entry_removed()->set_evidence(proto::EntryRemoved::GONE_FROM_LIST);
        ASSERT_OK(log.add(removed).verdict.code);
        CPPUNIT_ASSERT(log.state().keys.at(key).status == KeyStatus::Unknown);
        ASSERT_CODE(ResultCode::OutcomeUnknown, intend(log, key));
        ASSERT_CODE(ResultCode::StaleEpoch, intend(log, keyAt(FoldLog::startMilliseconds + 1), "e2"));
        ASSERT_CODE(ResultCode::WrongState, withdraw(log, key, "e2"));
        ASSERT_OK(finish(log, key, "e2"));
        CPPUNIT_ASSERT(log.state().keys.at(key).status == KeyStatus::Ran);
        Section replaced("a new boot of the owner ends the former one's keys too");
        auto second = keyAt(FoldLog::startMilliseconds + 2);
        ASSERT_OK(intend(log, second, "e3"));
        ASSERT_OK(log.join("e3", 2, "south"));
        CPPUNIT_ASSERT(log.state().keys.at(second).status == KeyStatus::Unknown);
    }

    // Guards against keys that are kept without bound, and against one wrong clock that expires them.
    void keysExpireByFoldTime()
    {
        auto log = fleet();
        auto key = keyAt(FoldLog::startMilliseconds);
        constexpr int64_t hour = 3600000;
        ASSERT_OK(intend(log, key));
        stamp(log, "e1", FoldLog::startMilliseconds + hour);
        CPPUNIT_ASSERT_EQUAL(FoldLog::startMilliseconds, unixMilliseconds(log.state().foldTime));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, log.state().keys.size());
        stamp(log, "e2", FoldLog::startMilliseconds + 900000);
        CPPUNIT_ASSERT(log.state().keys.empty());
        ASSERT_CODE(ResultCode::KeyTooOld, intend(log, key));
        {
            Section backward("a clock that is set back does not take the fold time back");
            stamp(log, "e1", FoldLog::startMilliseconds);
            stamp(log, "e2", FoldLog::startMilliseconds);
            CPPUNIT_ASSERT_EQUAL(FoldLog::startMilliseconds + 900000, unixMilliseconds(log.state().foldTime));
        }
        Section future("a key from the future would outlive the window");
        ASSERT_CODE(ResultCode::BadRequest, intend(log, keyAt(FoldLog::startMilliseconds + hour)));
    }

    // Guards against a longer window that makes an expired key look new, so that its work runs a second time.
    void grownWindowRevivesNoExpiredKey()
    {
        auto log = fleet();
        auto key = keyAt(FoldLog::startMilliseconds);
        ASSERT_OK(intend(log, key));
        stamp(log, "e1", FoldLog::startMilliseconds + 900000);
        stamp(log, "e2", FoldLog::startMilliseconds + 900000);
        log.nowMilliseconds += 900000;
        TestFleet longer;
        longer.keyWindowMilliseconds = 1800000;
        ASSERT_OK(log.configure(longer));
        ASSERT_CODE(ResultCode::KeyTooOld, intend(log, key, "e2"));
        auto restored = Fold::fromSnapshot(log.fold.snapshot()).value();
        log.fold = restored;
        ASSERT_CODE(ResultCode::KeyTooOld, intend(log, key, "e2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldKeysTest);

} // namespace shallotdrift
