#include "KeyedRequests.h"

#include "../Base/Digest.h"
#include "../Base/Logging.h"
#include "Metrics.h"

#include <algorithm>
#include <charconv>

namespace shallotdrift {

static constexpr size_t answerCacheBytes = 4 << 20;
static constexpr size_t maximumKeyRandomLength = 64;
static constexpr size_t maximumReceiptBytes = 256;
// A key from a caller's clock that runs ahead would outlive its window; callers' clocks may be off by this much.
static constexpr Milliseconds maximumClockSkew { std::chrono::minutes(2) };
static constexpr Milliseconds fetchTimeout { 500 };

std::optional<WallTime> issueTimeOfKey(const std::string& key)
{
    auto dash = key.find('-');
    if (dash == std::string::npos || dash == 0)
        return std::nullopt;
    int64_t milliseconds = 0;
    auto parsed = std::from_chars(key.data(), key.data() + dash, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != key.data() + dash || milliseconds < 0)
        return std::nullopt;
    auto random = key.substr(dash + 1);
    auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; };
    if (random.empty() || random.size() > maximumKeyRandomLength || !std::all_of(random.begin(), random.end(), allowed))
        return std::nullopt;
    return WallTime { Milliseconds { milliseconds } };
}

KeyedRequests::KeyedRequests(
    CoreContext& context, Proposals& proposals, PeerDirectory& peers, Submit submit, Reply reply)
    : context_(context)
    , proposals_(proposals)
    , peers_(peers)
    , submit_(std::move(submit))
    , reply_(std::move(reply))
    , answers_(answerCacheBytes)
{
}

static CallerReply refusal(ResultCode code, std::string reason)
{
    CallerReply reply;
    reply.code = code;
    reply.reason = std::move(reason);
    return reply;
}

// Kind and body together, so that a key cannot be used again for other work.
static uint64_t digestOfWork(const CallerRequest& request) { return digestOf(request.body, digestOf(request.subject)); }

void KeyedRequests::admit(const CallerRequest& request, Instant deadline, Instant now)
{
    auto issued = issueTimeOfKey(request.key);
    if (!issued)
        return reply_(request.id, refusal(ResultCode::KeyRequired, "Idempotency-Key must be <unix ms>-<random>"));
    auto existing = context_.state().keys.find(request.key);
    if (existing != context_.state().keys.end()) {
        if (existing->second.digest != digestOfWork(request))
            return reply_(request.id, refusal(ResultCode::KeyMismatch, "the key was used for other work"));
        return replyFromState(request.id, request.key, existing->second, now);
    }
    auto foldTime = context_.state().foldTime;
    if (*issued + context_.state().configuration.keyWindow <= foldTime)
        return reply_(request.id, refusal(ResultCode::KeyTooOld, "the key is older than the kept window"));
    if (*issued > std::max(foldTime, wallNow()) + maximumClockSkew)
        return reply_(request.id, refusal(ResultCode::BadRequest, "the key's issue time lies in the future"));
    if (waiting_.count(request.key) || running_.count(request.key))
        return reply_(request.id, refusal(ResultCode::StillRunning, "the key is in use by an earlier request"));

    proto::Record record;
    auto* intent = record.mutable_key_intent();
    intent->set_key(request.key);
    intent->set_digest(digestOfWork(request));
    intent->set_kind(request.subject);
    intent->set_owner(context_.settings.id);
    intent->set_owner_boot(context_.boot);
    bool taken = proposals_.propose(
        std::move(record), "", [this, key = request.key](const FoldedRecord& folded) { intentFolded(key, folded); });
    if (!taken)
        return reply_(request.id, refusal(ResultCode::LogUnavailable, "the log's queue is full"));
    waiting_[request.key] = { request.id, deadline, false };
}

void KeyedRequests::intentFolded(const std::string& key, const FoldedRecord& folded)
{
    auto position = waiting_.find(key);
    if (position == waiting_.end())
        return;
    auto waiting = position->second;
    waiting_.erase(position);
    if (folded.verdict.code == ResultCode::Ok)
        return intentAccepted(key, waiting);
    if (waiting.abandoned)
        return;
    auto existing = context_.state().keys.find(key);
    if (existing != context_.state().keys.end())
        return replyFromState(waiting.request, key, existing->second, BootClock::now());
    auto execution = executionOf(folded.verdict.code);
    bool forCallers = execution == Execution::NotRun || execution == Execution::MayHaveRun;
    reply_(waiting.request,
        refusal(forCallers ? folded.verdict.code : ResultCode::LogUnavailable,
            "refused by the log: " + folded.verdict.figures));
}

void KeyedRequests::intentAccepted(const std::string& key, const Waiting& waiting)
{
    if (!waiting.abandoned && BootClock::now() < waiting.deadline) {
        running_.insert(key);
        return submit_(waiting.request);
    }
    withdraw(key, "the deadline passed before the intent was folded");
    if (!waiting.abandoned) {
        auto reply = refusal(ResultCode::DeadlinePassed, "the log answered after the deadline");
        reply.keyNotRun = true;
        reply_(waiting.request, std::move(reply));
    }
}

void KeyedRequests::stateReplaced()
{
    for (auto position = waiting_.begin(); position != waiting_.end();) {
        auto [key, waiting] = *position;
        auto state = context_.state().keys.find(key);
        bool own = state != context_.state().keys.end() && state->second.owner == context_.settings.id
            && state->second.ownerBoot == context_.boot && state->second.status == KeyStatus::Intended;
        if (!own) {
            ++position;
            continue;
        }
        position = waiting_.erase(position);
        intentAccepted(key, waiting);
    }
}

void KeyedRequests::replyFromState(uint64_t request, const std::string& key, const RequestKey& state, Instant now)
{
    CallerReply reply;
    reply.receipt = state.receipt;
    switch (state.status) {
    case KeyStatus::Ran:
        reply.code = ResultCode::RanResultNotKept;
        reply.reason = "the work ran; its answer is no longer kept";
        return fetchAnswer(request, key, state, std::move(reply), now);
    case KeyStatus::RanAndFailed:
        reply.code = ResultCode::JobFailed;
        reply.reason = "the work ran and failed";
        return fetchAnswer(request, key, state, std::move(reply), now);
    case KeyStatus::Unknown:
        reply.code = ResultCode::OutcomeUnknown;
        reply.reason = "no answer came back from the target";
        break;
    case KeyStatus::Intended: {
        auto owner = context_.state().entries.find(state.owner);
        bool ownerLives = owner != context_.state().entries.end() && owner->second.boot == state.ownerBoot;
        reply.code = ownerLives ? ResultCode::StillRunning : ResultCode::OutcomeUnknown;
        reply.reason = ownerLives ? "entry " + state.owner + " holds the key" : "entry " + state.owner + " stopped";
        break;
    }
    }
    reply_(request, std::move(reply));
}

void KeyedRequests::fetchAnswer(
    uint64_t request, const std::string& key, const RequestKey& state, CallerReply fallback, Instant now)
{
    if (const auto* answer = answers_.find(key))
        return reply_(request, *answer);
    if (state.owner == context_.settings.id || !peers_.isLive(state.owner, now))
        return reply_(request, std::move(fallback));
    uint64_t number = ++fetchNumber_;
    fetches_[number] = { request, std::move(fallback), now + fetchTimeout };
    proto::PeerMessage message;
    message.set_receiver(state.owner);
    message.mutable_answer_request()->set_key(key);
    message.mutable_answer_request()->set_request_number(number);
    context_.outputs.sendPeer(std::move(message));
}

void KeyedRequests::answerPeer(const std::string& peer, const proto::AnswerRequest& request)
{
    proto::PeerMessage message;
    message.set_receiver(peer);
    auto* reply = message.mutable_answer_reply();
    reply->set_request_number(request.request_number());
    if (const auto* answer = answers_.find(request.key())) {
        reply->set_found(true);
        reply->set_result_code(static_cast<uint32_t>(answer->code));
        reply->set_body(answer->body);
        reply->set_content_type(answer->contentType);
    }
    context_.outputs.sendPeer(std::move(message));
}

void KeyedRequests::peerAnswered(const proto::AnswerReply& answer)
{
    auto position = fetches_.find(answer.request_number());
    if (position == fetches_.end())
        return;
    auto fetch = std::move(position->second);
    fetches_.erase(position);
    auto code = resultCodeFromNumber(answer.result_code());
    if (answer.found() && code) {
        fetch.fallback.code = *code;
        fetch.fallback.body = answer.body();
        fetch.fallback.contentType = answer.content_type();
        fetch.fallback.reason.clear();
    }
    reply_(fetch.request, std::move(fetch.fallback));
}

bool KeyedRequests::cancel(uint64_t request)
{
    for (auto& [key, waiting] : waiting_) {
        if (waiting.request == request) {
            waiting.abandoned = true;
            return true;
        }
    }
    return false;
}

void KeyedRequests::record(const std::string& key, proto::Record record, const char* reason)
{
    if (!proposals_.propose(record, reason))
        unrecorded_[key] = std::move(record);
}

void KeyedRequests::withdraw(const std::string& key, const char* reason)
{
    proto::Record record;
    record.mutable_key_withdrawn()->set_key(key);
    record.mutable_key_withdrawn()->set_owner_boot(context_.boot);
    this->record(key, std::move(record), reason);
}

void KeyedRequests::ended(const std::string& key, const CallerReply& reply)
{
    running_.erase(key);
    if (executionOf(reply.code) == Execution::NotRun)
        return withdraw(key, "not run");
    proto::Record record;
    auto* outcome = record.mutable_key_outcome();
    outcome->set_key(key);
    outcome->set_owner_boot(context_.boot);
    outcome->set_receipt(reply.receipt.substr(0, maximumReceiptBytes));
    if (executionOf(reply.code) == Execution::MayHaveRun)
        outcome->set_outcome(proto::KeyOutcome::UNKNOWN);
    else
        outcome->set_outcome(reply.code == ResultCode::Ok ? proto::KeyOutcome::RAN : proto::KeyOutcome::RAN_AND_FAILED);
    if (executionOf(reply.code) == Execution::Ran)
        answers_.store(key, reply);
    this->record(key, std::move(record), "");
}

void KeyedRequests::query(const CallerRequest& request, Instant now)
{
    auto issued = issueTimeOfKey(request.subject);
    if (!issued)
        return reply_(request.id, refusal(ResultCode::BadRequest, "malformed key"));
    auto existing = context_.state().keys.find(request.subject);
    if (existing != context_.state().keys.end())
        return replyFromState(request.id, request.subject, existing->second, now);
    if (waiting_.count(request.subject))
        return reply_(request.id, refusal(ResultCode::StillRunning, "the intent is being written"));
    if (*issued + context_.state().configuration.keyWindow <= context_.state().foldTime)
        return reply_(request.id, refusal(ResultCode::KeyTooOld, "the key is older than the kept window"));
    // Another entry may have appended an intent that this one has not folded, so "not run" cannot be said.
    reply_(request.id, refusal(ResultCode::OutcomeUnknown, "no record of the key up to the folded offset"));
}

void KeyedRequests::tick(Instant now)
{
    for (auto& [key, waiting] : waiting_) {
        if (waiting.abandoned || now < waiting.deadline)
            continue;
        // The work cannot run any more: this process alone may dispatch it, and withdraws the intent once it is folded.
        waiting.abandoned = true;
        auto state = context_.state().keys.find(key);
        if (state != context_.state().keys.end())
            replyFromState(waiting.request, key, state->second, now);
        else
            reply_(waiting.request, refusal(ResultCode::LogUnavailable, "the log did not take the key in time"));
    }
    for (auto position = fetches_.begin(); position != fetches_.end();) {
        if (now < position->second.deadline) {
            ++position;
            continue;
        }
        auto fetch = std::move(position->second);
        position = fetches_.erase(position);
        reply_(fetch.request, std::move(fetch.fallback));
    }
    for (auto position = unrecorded_.begin(); position != unrecorded_.end();) {
        if (!proposals_.propose(position->second, "repeated after a full queue"))
            break;
        position = unrecorded_.erase(position);
    }
}

} // namespace shallotdrift
