#include "Records.h"
#include "Story.h"
#include "TestFleet.h"

#include "shallotdrift/src/Entry/KeyedRequests.h"
#include "shallotdrift/src/Entry/Metrics.h"
#include "shallotdrift/src/Entry/SendPermissions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>
#include <vector>

namespace shallotdrift {

namespace {

    // Keyed requests of entry "e1" over a fold whose log the test advances by hand.
    class KeyedEntry {
    public:
        KeyedEntry()
            : context { settings, boot, outputs(), metrics, permissions, {} }
            , proposals(context)
            , peers(context)
            , keyed(
                  context, proposals, peers, [this](uint64_t request) { submitted.push_back(request); },
                  [this](uint64_t request, CallerReply reply) { replies[request] = std::move(reply); })
        {
            appendAs("op", 1, records::configuration(0, TestFleet {}.ini(), "ana", "ana"));
            appendAs("e1", boot, records::joined("e1", boot, "north"));
            appendAs("e2", otherBoot, records::joined("e2", otherBoot, "south"));
        }

        // Puts a record of another writer into the log and folds it.
        void appendAs(const std::string& writer, uint64_t writerBoot, proto::Record record)
        {
            record.mutable_id()->set_writer(writer);
            record.mutable_id()->set_boot(writerBoot);
            record.mutable_id()->set_sequence(++sequences[writer]);
            record.set_written_ms(unixMilliseconds(wallNow()));
            record.set_actor("entry:" + writer);
            fold(record);
        }

        // Folds the oldest record that the entry proposed.
        void foldProposal()
        {
            auto record = proposed.front();
            proposed.pop_front();
            fold(record);
        }

        CallerRequest request(uint64_t id, const std::string& body = "report 1") const
        {
            CallerRequest request;
            request.id = id;
            request.subject = "issue";
            request.key = key;
            request.body = body;
            return request;
        }

        void admit(uint64_t id, Duration timeout, const std::string& body = "report 1")
        {
            Instant now = BootClock::now();
            keyed.admit(request(id, body), now + timeout, now);
        }

        static constexpr uint64_t boot = 7;
        static constexpr uint64_t otherBoot = 9;
        EntrySettings settings = makeSettings();
        Metrics metrics;
        SendPermissions permissions;
        std::deque<proto::Record> proposed;
        std::map<std::string, uint64_t> sequences;
        std::vector<uint64_t> submitted;
        std::map<uint64_t, CallerReply> replies;
        std::string key = std::to_string(unixMilliseconds(wallNow())) + "-k1";
        CoreContext context;
        Proposals proposals;
        PeerDirectory peers;
        KeyedRequests keyed;

    private:
        static EntrySettings makeSettings()
        {
            EntrySettings settings;
            settings.id = "e1";
            settings.zone = "north";
            return settings;
        }

        CoreOutputs outputs()
        {
            CoreOutputs outputs;
            outputs.append = [this](proto::Record record) {
                record.mutable_id()->set_writer("e1");
                record.mutable_id()->set_boot(boot);
                record.mutable_id()->set_sequence(++sequences["e1"]);
                record.set_written_ms(unixMilliseconds(wallNow()));
                proposed.push_back(record);
                return record.id().sequence();
            };
            outputs.sendPeer = [](const proto::PeerMessage&) {};
            return outputs;
        }

        void fold(const proto::Record& record)
        {
            proto::RecordBatch batch;
            *batch.add_records() = record;
            auto offset = context.fold.offset() + 1;
            auto records = context.fold.apply(offset, batch.SerializeAsString()).value();
            for (const auto& folded : records)
                proposals.folded(folded);
        }
    };

} // namespace

class KeyedRequestsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(KeyedRequestsTest);
    CPPUNIT_TEST(dispatchesOnlyOwnFoldedIntent);
    CPPUNIT_TEST(withdrawsAnIntentThatComesTooLate);
    CPPUNIT_TEST(answersARetryFromTheOtherEntrysOutcome);
    CPPUNIT_TEST(refusesAKeyThatWasUsedForOtherWork);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a dispatch before the log has accepted the key, and against a second owner of a key.
    void dispatchesOnlyOwnFoldedIntent()
    {
        KeyedEntry entry;
        Section waiting("the request waits for its intent");
        entry.admit(1, std::chrono::seconds(5));
        CPPUNIT_ASSERT(entry.submitted.empty());
        {
            Section second("a second request with the key is told that the first one is running");
            entry.admit(2, std::chrono::seconds(5));
            CPPUNIT_ASSERT(entry.replies.at(2).code == ResultCode::StillRunning);
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, entry.proposed.size());
        }
        {
            Section folded("the folded intent dispatches the first request only");
            entry.foldProposal();
            CPPUNIT_ASSERT(entry.submitted == std::vector<uint64_t> { 1 });
        }
    }

    // Guards against work that runs after its caller was told "not run".
    void withdrawsAnIntentThatComesTooLate()
    {
        KeyedEntry entry;
        entry.admit(1, Duration::zero());
        entry.keyed.tick(BootClock::now());
        CPPUNIT_ASSERT(entry.replies.at(1).code == ResultCode::LogUnavailable);
        CPPUNIT_ASSERT_MESSAGE("nothing tells of earlier requests with the key", !entry.replies.at(1).keyNotRun);
        Section late("the intent is folded after the answer");
        entry.foldProposal();
        CPPUNIT_ASSERT(entry.submitted.empty());
        CPPUNIT_ASSERT(entry.proposed.front().has_key_withdrawn());
        entry.foldProposal();
        CPPUNIT_ASSERT(!entry.context.state().keys.count(entry.key));
    }

    // Guards against "not run" for a retry whose work another entry has run: the fault that the model of keys found.
    void answersARetryFromTheOtherEntrysOutcome()
    {
        KeyedEntry entry;
        entry.admit(1, Duration::zero());
        proto::Record intent;
        auto& body = *intent.mutable_key_intent();
        body.set_key(entry.key);
        body.set_digest(entry.proposed.front().key_intent().digest());
        body.set_kind("issue");
        body.set_owner("e2");
        body.set_owner_boot(KeyedEntry::otherBoot);
        entry.appendAs("e2", KeyedEntry::otherBoot, intent);
        proto::Record outcome;
        outcome.mutable_key_outcome()->set_key(entry.key);
        outcome.mutable_key_outcome()->set_owner_boot(KeyedEntry::otherBoot);
        outcome.mutable_key_outcome()->set_outcome(proto::KeyOutcome::RAN);
        outcome.mutable_key_outcome()->set_receipt("no. 12");
        entry.appendAs("e2", KeyedEntry::otherBoot, outcome);
        entry.keyed.tick(BootClock::now());
        CPPUNIT_ASSERT(entry.replies.at(1).code == ResultCode::RanResultNotKept);
        CPPUNIT_ASSERT_EQUAL(std::string("no. 12"), entry.replies.at(1).receipt);
    }

    // Guards against an answer to other work under a reused key.
    void refusesAKeyThatWasUsedForOtherWork()
    {
        KeyedEntry entry;
        entry.admit(1, std::chrono::seconds(5));
        entry.foldProposal();
        entry.admit(2, std::chrono::seconds(5), "report 2");
        CPPUNIT_ASSERT(entry.replies.at(2).code == ResultCode::KeyMismatch);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyedRequestsTest);

} // namespace shallotdrift
