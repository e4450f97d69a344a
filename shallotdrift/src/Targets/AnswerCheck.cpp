#include "AnswerCheck.h"

#include "../Base/Digest.h"
#include "../Http/HttpHead.h"

#include <fmt/format.h>

namespace shallotdrift::internal {

std::string formatAttemptHead(const TargetAttempt& attempt)
{
    return HttpHead::request("POST", "/run/" + attempt.kind)
        .add("Host", attempt.address)
        .add("Request-Id", attempt.requestId)
        .add("Attempt-Id", attempt.attempt)
        .add("Pool", attempt.pool)
        .add("Epoch", attempt.epoch)
        .add("Content-Length", attempt.body.size())
        .finish();
}

static bool belongsTo(const TargetAttempt& attempt, const HttpMessage& answer)
{
    return answer.hasContentLength && answer.single("Request-Id") == attempt.requestId
        && answer.single("Attempt-Id") == fmt::format_int(attempt.attempt).str()
        && digestFromHex(answer.single("Body-Digest")) == digestOf(answer.body);
}

// Refusals keep the reason that the entry acts on: a busy target is tried again elsewhere, a malformed request is not.
static ResultCode codeOfRefusal(unsigned status)
{
    switch (status) {
    case 503:
        return ResultCode::TargetBusy;
    case 400:
        return ResultCode::BadRequest;
    case 404:
        return ResultCode::UnknownKind;
    case 413:
    case 431:
        return ResultCode::TooLarge;
    default:
        return ResultCode::NoInstance; // for example the instance is no longer in the pool that was asked for
    }
}

static ResultCode codeOf(const TargetAttempt& attempt, const HttpMessage& answer)
{
    if (!belongsTo(attempt, answer))
        return ResultCode::AnswerInvalid;
    bool successful = answer.status >= 200 && answer.status < 300;
    auto execution = executionFromName(answer.single("Execution"));
    if (execution == Execution::Ran)
        return successful ? ResultCode::Ok : ResultCode::JobFailed;
    if (execution == Execution::NotRun && !successful)
        return codeOfRefusal(answer.status);
    if (execution == Execution::MayHaveRun && !successful)
        return ResultCode::OutcomeUnknown;
    return ResultCode::AnswerInvalid;
}

AttemptResult checkAnswer(const TargetAttempt& attempt, HttpMessage&& answer)
{
    AttemptResult result;
    result.attempt = attempt.attempt;
    result.bytesSent = true;
    result.code = codeOf(attempt, answer);
    if (result.code == ResultCode::AnswerInvalid)
        return result;
    result.contentType = answer.single("Content-Type");
    result.receipt = answer.single("Receipt");
    result.body = std::move(answer.body);
    return result;
}

} // namespace shallotdrift::internal
