#pragma once

#include "AnswerCache.h"
#include "CoreContext.h"
#include "PeerDirectory.h"
#include "Proposals.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace shallotdrift {

// Non-idempotent work: an intent in the log comes before the dispatch, so that a key runs at most once.
class KeyedRequests {
public:
    using Submit = std::function<void(uint64_t request)>; // the key is this entry's: dispatch may follow
    using Reply = std::function<void(uint64_t request, CallerReply)>; // ends the request

    KeyedRequests(CoreContext&, Proposals&, PeerDirectory&, Submit, Reply);

    // Replies at once, or proposes the intent and submits the request once it is folded.
    void admit(const CallerRequest&, Instant deadline, Instant now);
    // The caller went away while the intent was not yet folded. False: the request is past that point.
    bool cancel(uint64_t request);
    // The scheduler is done with the work of a key.
    void ended(const std::string& key, const CallerReply&);
    void query(const CallerRequest&, Instant now);

    void answerPeer(const std::string& peer, const proto::AnswerRequest&);
    void peerAnswered(const proto::AnswerReply&);
    // The state jumped ahead; intents of this process in the skipped part are taken up from the state.
    void stateReplaced();
    void tick(Instant now);
    bool idle() const { return waiting_.empty() && unrecorded_.empty(); }

private:
    struct Waiting {
        uint64_t request = 0;
        Instant deadline {};
        bool abandoned = false; // the intent must be withdrawn when it is folded
    };
    struct Fetch {
        uint64_t request = 0;
        CallerReply fallback;
        Instant deadline {};
    };

    void intentFolded(const std::string& key, const FoldedRecord&);
    void intentAccepted(const std::string& key, const Waiting&);
    void replyFromState(uint64_t request, const std::string& key, const RequestKey&, Instant now);
    void fetchAnswer(uint64_t request, const std::string& key, const RequestKey&, CallerReply fallback, Instant now);
    void record(const std::string& key, proto::Record, const char* reason);
    void withdraw(const std::string& key, const char* reason);

    CoreContext& context_;
    Proposals& proposals_;
    PeerDirectory& peers_;
    Submit submit_;
    Reply reply_;
    AnswerCache answers_;
    std::map<std::string, Waiting> waiting_; // by key, intent not yet folded
    std::set<std::string> running_; // keys whose work this process has been given
    std::map<std::string, proto::Record> unrecorded_; // outcomes that the writer's ring had no room for
    std::map<uint64_t, Fetch> fetches_;
    uint64_t fetchNumber_ = 0;
};

// Issue time of a key of the form "<unix ms>-<1 to 64 letters, digits, '_' or '-'>"; empty when malformed.
std::optional<WallTime> issueTimeOfKey(const std::string& key);

} // namespace shallotdrift
