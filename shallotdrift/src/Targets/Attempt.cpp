#include "Attempt.h"

#include "TargetPool.h"

namespace shallotdrift::internal {

Attempt::Attempt(TargetAttempt data, TargetContext& context, TargetPool& pool)
    : data_(std::move(data))
    , context_(context)
    , pool_(pool)
{
    context_.deadlines.set(*this, data_.deadline);
}

void Attempt::finish(ResultCode code)
{
    AttemptResult result;
    result.code = code;
    finish(std::move(result));
}

void Attempt::finish(AttemptResult&& result)
{
    if (finished_)
        return;
    abandon();
    result.attempt = data_.attempt;
    result.bytesSent = bytesSent_;
    result.elapsed = BootClock::now() - started_;
    context_.resultHandler(std::move(result));
}

// The map's reference goes away here, so callers hold their own.
void Attempt::abandon()
{
    finished_ = true;
    context_.deadlines.remove(*this);
    context_.attempts.erase(data_.attempt);
}

void Attempt::expired()
{
    auto found = context_.attempts.find(data_.attempt);
    if (found == context_.attempts.end())
        return;
    auto self = found->second;
    pool_.attemptExpired(self);
}

} // namespace shallotdrift::internal
