#include "Names.h"
#include "RecordHandlers.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallotdrift::internal {

// Why the key cannot be intended again, as the answer to the caller.
static ResultCode codeOf(KeyStatus status)
{
    switch (status) {
    case KeyStatus::Intended:
        return ResultCode::StillRunning;
    case KeyStatus::Ran:
        return ResultCode::RanResultNotKept;
    case KeyStatus::RanAndFailed:
        return ResultCode::JobFailed;
    case KeyStatus::Unknown:
        break;
    }
    return ResultCode::OutcomeUnknown;
}

static WallTime latestStamp(const FoldData& data)
{
    WallTime latest = data.state.foldTime;
    for (const auto& [entry, stamp] : data.memberStamps)
        latest = std::max(latest, stamp);
    return latest;
}

static Verdict checkIssueTime(const FoldData& data, const std::string& key)
{
    auto issued = issueTimeOf(key);
    if (!issued)
        return refused(ResultCode::BadRequest, "a key is <13 digits of unix ms>-<random>");
    if (*issued <= data.keyHorizon)
        return refused(ResultCode::KeyTooOld, fmt::format("keys are kept from {}", unixMilliseconds(data.keyHorizon)));
    // Keys from the future would outlive the window.
    if (*issued > latestStamp(data) + data.state.configuration.keyWindow)
        return refused(ResultCode::BadRequest, "the key was issued in the future");
    return accepted();
}

static Verdict checkOwner(const FoldData& data, const proto::KeyIntent& intent, const proto::Record& record)
{
    if (!writtenBy(record, intent.owner(), intent.owner_boot()))
        return refused(ResultCode::InvalidRecord, "an entry intends a key by its own record");
    auto member = data.state.entries.find(intent.owner());
    // The key of an entry that has ended would read as running until its window is over.
    if (member == data.state.entries.end() || member->second.boot != intent.owner_boot())
        return refused(ResultCode::StaleEpoch, "the owner is no member");
    if (!data.state.configuration.kinds.count(intent.kind()))
        return refused(ResultCode::UnknownKind, "no kind " + intent.kind());
    return accepted();
}

static Verdict checkKnownKey(const RequestKey& key, const proto::KeyIntent& intent)
{
    if (key.digest != intent.digest())
        return refused(ResultCode::KeyMismatch);
    return refused(codeOf(key.status), "owned by " + key.owner);
}

Verdict foldKeyIntent(FoldData& data, const RecordContext& context)
{
    const auto& intent = context.record.key_intent();
    if (auto verdict = checkOwner(data, intent, context.record); verdict.code != ResultCode::Ok)
        return verdict;
    if (auto verdict = checkIssueTime(data, intent.key()); verdict.code != ResultCode::Ok)
        return verdict;
    auto& keys = data.state.keys;
    if (auto known = keys.find(intent.key()); known != keys.end())
        return checkKnownKey(known->second, intent);
    if (keys.size() >= maximumKeys)
        return refused(ResultCode::Overloaded, fmt::format("{} keys are kept", maximumKeys));
    keys.emplace(intent.key(),
        RequestKey { intent.digest(), intent.kind(), intent.owner(), intent.owner_boot(), KeyStatus::Intended, {} });
    return accepted();
}

static Verdict checkOwnKey(const FoldData& data, const std::string& key, const proto::Record& record, uint64_t boot)
{
    auto known = data.state.keys.find(key);
    if (known == data.state.keys.end())
        return refused(ResultCode::NotFound);
    if (known->second.ownerBoot != boot || !writtenBy(record, known->second.owner, boot))
        return refused(ResultCode::Conflict, "owned by " + known->second.owner);
    return accepted();
}

static bool statusFrom(proto::KeyOutcome::Outcome outcome, KeyStatus& status)
{
    if (outcome == proto::KeyOutcome::RAN)
        status = KeyStatus::Ran;
    else if (outcome == proto::KeyOutcome::RAN_AND_FAILED)
        status = KeyStatus::RanAndFailed;
    else if (outcome == proto::KeyOutcome::UNKNOWN)
        status = KeyStatus::Unknown;
    else
        return false;
    return true;
}

// An outcome may follow after the key became unknown, when the owner was removed while its record was on the way.
Verdict foldKeyOutcome(FoldData& data, const RecordContext& context)
{
    const auto& outcome = context.record.key_outcome();
    KeyStatus status = KeyStatus::Unknown;
    if (!statusFrom(outcome.outcome(), status) || outcome.receipt().size() > maximumReceiptBytes)
        return refused(ResultCode::InvalidRecord, "outcome and receipt of at most 256 bytes");
    auto verdict = checkOwnKey(data, outcome.key(), context.record, outcome.owner_boot());
    if (verdict.code != ResultCode::Ok)
        return verdict;
    auto& key = data.state.keys.at(outcome.key());
    if (key.status == KeyStatus::Ran || key.status == KeyStatus::RanAndFailed)
        return refused(ResultCode::WrongState, "the key has an outcome");
    key.status = status;
    key.receipt = outcome.receipt();
    return verdict;
}

// Only an intended key can be withdrawn: once it reads as unknown, another entry may have answered so to the caller.
Verdict foldKeyWithdrawn(FoldData& data, const RecordContext& context)
{
    const auto& withdrawn = context.record.key_withdrawn();
    auto verdict = checkOwnKey(data, withdrawn.key(), context.record, withdrawn.owner_boot());
    if (verdict.code != ResultCode::Ok)
        return verdict;
    auto known = data.state.keys.find(withdrawn.key());
    if (known->second.status != KeyStatus::Intended)
        return refused(ResultCode::WrongState, "the key has an outcome");
    data.state.keys.erase(known);
    return verdict;
}

} // namespace shallotdrift::internal
