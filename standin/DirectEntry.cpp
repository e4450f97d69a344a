#include "DirectEntry.h"

namespace shallotdrift::standin {

static constexpr Milliseconds defaultTimeout { 5000 };

DirectEntry::DirectEntry(CallerServerOptions serverOptions, TargetClientOptions clientOptions,
    std::vector<std::string> targets, std::string pool)
    : targets_(std::move(targets))
    , pool_(std::move(pool))
    , server_(
          std::move(serverOptions), [this](CallerRequest&& request) { return onRequest(std::move(request)); },
          [this](uint64_t id) { client_.abandon(id); })
    , client_(
          clientOptions, [this](AttemptResult&& result) { onResult(std::move(result)); },
          [](const TargetAttempt&) { return true; })
{
}

DirectEntry::~DirectEntry()
{
    server_.stop();
    client_.stop();
}

Result<void> DirectEntry::start()
{
    client_.start();
    return server_.start();
}

bool DirectEntry::onRequest(CallerRequest&& request)
{
    if (request.type != CallerRequest::Type::Work)
        return false;
    TargetAttempt attempt;
    attempt.attempt = request.id;
    attempt.address = targets_[next_++ % targets_.size()];
    attempt.instance = attempt.address;
    attempt.kind = request.subject;
    attempt.requestId = request.requestId;
    attempt.pool = pool_;
    attempt.deadline = request.arrived + (request.timeout.count() ? request.timeout : defaultTimeout);
    attempt.body = std::move(request.body);
    attempt.reuseConnection = request.key.empty();
    client_.send(std::move(attempt));
    return true;
}

void DirectEntry::onResult(AttemptResult&& result)
{
    server_.reply(result.attempt,
        { result.code, std::move(result.body), std::move(result.contentType), std::move(result.receipt), {} });
}

} // namespace shallotdrift::standin
