#include "FoldLog.h"
#include "Story.h"

#include "shallotdrift/src/Fold/FoldLimits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

class FoldRecordsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FoldRecordsTest);
    CPPUNIT_TEST(copiesAreFoldedOnce);
    CPPUNIT_TEST(gapsAndMalformedPayloadsAreHandledEqually);
    CPPUNIT_TEST(auditTrailIsBoundedAndTellsFigures);
    CPPUNIT_TEST(lostInstancesAreForgottenWithoutReusingEpochs);
    CPPUNIT_TEST(configurationNeedsAReviewerAndKeepsUsedPools);
    CPPUNIT_TEST(handbookEntriesAreReviewedBeforeUse);
    CPPUNIT_TEST(rankDependsOnTheSaltAndTheMembers);
    CPPUNIT_TEST_SUITE_END();

    static proto::Record timeOf(uint64_t boot, uint64_t sequence)
    {
        auto record = records::writerTime("e1", boot, FoldLog::startMilliseconds);
        record.mutable_id()->set_sequence(sequence);
        return record;
    }

public:
    // Guards against an append that was repeated after its answer was lost and takes effect twice.
    void copiesAreFoldedOnce()
    {
        FoldLog log;
        ASSERT_OK(log.code(timeOf(1, 2)));
        ASSERT_CODE(ResultCode::DuplicateRecord, log.code(timeOf(1, 2)));
        ASSERT_OK(log.code(timeOf(1, 1)));
        ASSERT_CODE(ResultCode::DuplicateRecord, log.code(timeOf(1, 1)));
        auto unnamed = timeOf(1, 3);
        unnamed.mutable_id()->set_writer("two words");
        ASSERT_CODE(ResultCode::InvalidRecord, log.code(unnamed));
        {
            Section boots("the windows of former boots are kept for late copies");
            ASSERT_OK(log.code(timeOf(2, 1)));
            ASSERT_CODE(ResultCode::DuplicateRecord, log.code(timeOf(1, 2)));
        }
        {
            Section jump("a jump keeps a bounded number of missing sequences");
            ASSERT_OK(log.code(timeOf(1, UINT64_MAX)));
            ASSERT_OK(log.code(timeOf(1, UINT64_MAX - internal::maximumMissingSequences)));
            ASSERT_CODE(
                ResultCode::DuplicateRecord, log.code(timeOf(1, UINT64_MAX - internal::maximumMissingSequences - 1)));
        }
        Section many("the window of a member outlives those of many other boots");
        ASSERT_OK(log.join("e2", 1, "north"));
        for (uint64_t boot = 100; boot < 100 + 2 * internal::maximumWriterWindows; ++boot)
            ASSERT_OK(log.code(timeOf(boot, 1)));
        proto::Record copy = timeOf(1, 1);
        copy.mutable_id()->set_writer("e2");
        ASSERT_CODE(ResultCode::DuplicateRecord, log.code(copy));
    }

    // Guards against entries that diverge or stop on a payload that is no batch.
    void gapsAndMalformedPayloadsAreHandledEqually()
    {
        Fold fold;
        auto codeOf = [&](Offset offset) {
            return handleError(
                [&]() -> Result<ResultCode> {
                    BOOST_LEAF_AUTO(folded, fold.apply(offset, "\x0a\xff garbage"));
                    return folded.at(0).verdict.code;
                },
                [](const Error& error) { return error.code; });
        };
        ASSERT_CODE(ResultCode::LogGap, codeOf(2));
        CPPUNIT_ASSERT_EQUAL(Offset { 0 }, fold.offset());
        ASSERT_CODE(ResultCode::InvalidRecord, codeOf(1));
        ASSERT_CODE(ResultCode::LogGap, codeOf(1));
        CPPUNIT_ASSERT_EQUAL(Offset { 1 }, fold.offset());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, fold.apply(2, std::string(2 << 20, 'x')).value().size());
        CPPUNIT_ASSERT(fold.apply(3, "").value().empty());
    }

    // Guards against an audit trail that grows without bound or does not tell what a refusal rested on.
    void auditTrailIsBoundedAndTellsFigures()
    {
        FoldLog log;
        log.startFleet();
        ASSERT_OK(log.observe("w1", "reports"));
        for (size_t i = 0; i < internal::maximumAuditEvents + 10; ++i)
            ASSERT_CODE(ResultCode::BudgetExceeded, log.move("m1", "w1", "accounts"));
        CPPUNIT_ASSERT_EQUAL(internal::maximumAuditEvents, log.state().audit.size());
        const auto& event = log.state().audit.back();
        CPPUNIT_ASSERT_EQUAL(std::string("instance w1"), event.subject);
        CPPUNIT_ASSERT(event.figures.find("1 available, minimum 1") != std::string::npos);
    }

    // Guards against instances that stay for ever after their replacement, and against epochs that start again.
    void lostInstancesAreForgottenWithoutReusingEpochs()
    {
        FoldLog log;
        log.startFleet();
        for (size_t i = 0; i <= internal::maximumLostInstances; ++i) {
            ASSERT_OK(log.observe(fmt::format("w{}", i), "reports"));
            ASSERT_OK(log.lose(fmt::format("w{}", i)));
        }
        CPPUNIT_ASSERT_EQUAL(internal::maximumLostInstances, log.state().instances.size());
        ASSERT_OK(log.observe("w0", "reports"));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, log.instance("w0").epoch);
    }

    // Guards against unreviewed or outdated configurations and against instances without a pool.
    void configurationNeedsAReviewerAndKeepsUsedPools()
    {
        FoldLog log;
        ASSERT_OK(log.configure({}, "ana", "ana"));
        ASSERT_CODE(ResultCode::SameAuthorAndReviewer, log.configure({}, "ana", "ana"));
        ASSERT_CODE(ResultCode::NotReviewed, log.configure({}, "ana", ""));
        ASSERT_OK(log.configure({}));
        ASSERT_CODE(ResultCode::StaleEpoch, log.code(records::configuration(1, TestFleet {}.ini(), "ana", "ben")));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, log.state().configurationVersion);
        TestFleet invalid;
        invalid.pools = {};
        invalid.pools["reports"] = 0;
        Section removal("a pool goes only when no instance is left in it, but lost ones do not hold it");
        ASSERT_OK(log.observe("w1", "accounts"));
        ASSERT_CODE(ResultCode::Conflict, log.configure(invalid));
        ASSERT_OK(log.lose("w1"));
        ASSERT_OK(log.configure(invalid));
        CPPUNIT_ASSERT(log.state().instances.empty());
        Section target("nor while a move leads to it");
        ASSERT_OK(log.configure({}));
        ASSERT_OK(log.observe("w2", "reports"));
        ASSERT_OK(log.observe("w3", "reports"));
        ASSERT_OK(log.move("m1", "w2", "accounts"));
        ASSERT_CODE(ResultCode::Conflict, log.configure(invalid));
    }

    // Guards against handbook entries that are invoked without a second person's approval, or twice.
    void handbookEntriesAreReviewedBeforeUse()
    {
        FoldLog log;
        const std::string name = "flood-lend";
        auto propose
            = [&](uint64_t version) { return log.code(records::handbook(name, version, returnHandbook, "ana")); };
        auto review = [&](uint64_t version, const char* reviewer, bool approved) {
            return log.code(records::review(name, version, reviewer, approved));
        };
        auto invoke
            = [&](uint64_t version, const char* id) { return log.code(records::invocation(name, version, id)); };
        ASSERT_CODE(ResultCode::InvalidHandbook, log.code(records::handbook(name, 0, "[nothing]", "ana")));
        ASSERT_OK(propose(0));
        ASSERT_CODE(ResultCode::StaleEpoch, propose(0));
        ASSERT_CODE(ResultCode::NotReviewed, invoke(1, "i1"));
        ASSERT_CODE(ResultCode::SameAuthorAndReviewer, review(1, "ana", true));
        ASSERT_OK(review(1, "ben", true));
        ASSERT_CODE(ResultCode::WrongState, review(1, "cid", false));
        ASSERT_OK(invoke(1, "i1"));
        ASSERT_CODE(ResultCode::DuplicateRecord, invoke(1, "i1"));
        Section next("the approved version stays in force until the next one is approved");
        ASSERT_OK(propose(1));
        ASSERT_CODE(ResultCode::NotReviewed, invoke(2, "i2"));
        ASSERT_OK(invoke(1, "i2"));
        ASSERT_OK(review(2, "ben", false));
        ASSERT_CODE(ResultCode::NotReviewed, invoke(2, "i3"));
        ASSERT_OK(invoke(1, "i3"));
    }

    // Guards against one entry that takes on every duty, and against ranks that differ between entries.
    void rankDependsOnTheSaltAndTheMembers()
    {
        FoldLog log;
        for (int i = 0; i < 8; ++i)
            ASSERT_OK(log.join(fmt::format("e{}", i), 1, "north"));
        std::map<std::string, int> firsts;
        for (int i = 0; i < 800; ++i) {
            auto ranks = rankEntries(log.state(), fmt::format("duty {}", i));
            CPPUNIT_ASSERT_EQUAL(size_t { 8 }, ranks.size());
            ++firsts[ranks.front()];
        }
        for (const auto& [entry, count] : firsts)
            CPPUNIT_ASSERT(count > 50);
        CPPUNIT_ASSERT_EQUAL(size_t { 8 }, firsts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldRecordsTest);

} // namespace shallotdrift
