#include "RequestRouter.h"

#include "../Base/Logging.h"
#include "ErrorResponses.h"

#include <array>
#include <fmt/format.h>

namespace shallotdrift::internal {

// An owner responds within about 20 ms. A request without a response is retried; its job id makes the retry idempotent.
static constexpr Milliseconds attemptTimeout { 900 };
static constexpr Milliseconds retryDelay { 60 };
// A submission whose owner cannot be reached for this time is refused as not run. A change of owner takes longer, so a
// longer window would only delay the refusal.
static constexpr Milliseconds submitRetryWindow { 300 };
static constexpr Milliseconds queryRetryWindow { 1500 };
// An owner without any response for this time gets no further requests until it answers a probe.
static constexpr Milliseconds ownerSilenceLimit { 400 };
static constexpr Milliseconds probeTimeout { 400 };
// Subtracted from the caller's timeout so that the response still arrives in time.
static constexpr Milliseconds responseMargin { 150 };

// Between entry instances: the account whose key the caller's request carries.
static constexpr char accountHeader[] = "Client-Account";
// Between entry instances: the version of the configuration by which the router found the queue.
static constexpr char versionHeader[] = "Configuration-Version";

struct RequestTypeInfo {
    OwnerRequest::Type type;
    const char* method;
    const char* name;
};
static constexpr std::array<RequestTypeInfo, 4> requestTypes { { { OwnerRequest::Type::Submit, "POST", "submit" },
    { OwnerRequest::Type::Query, "GET", "query" }, { OwnerRequest::Type::Cancel, "DELETE", "cancel" },
    { OwnerRequest::Type::Count, "GET", "count" } } };

static const RequestTypeInfo& requestTypeInfo(OwnerRequest::Type type)
{
    return requestTypes[static_cast<size_t>(type)];
}

RequestRouter::RequestRouter(NodeContext& context, Membership& membership, FindOwned findOwned)
    : context_(context)
    , membership_(membership)
    , findOwned_(std::move(findOwned))
    , ownerContacts_(ownerSilenceLimit)
{
}

bool RequestRouter::ready() const
{
    return !context_.stopping && context_.configuration && membership_.ownersKnown()
        && (!context_.configuration->hasAccounts || keysConfirmed());
}

// An instance that reads the keys from a relay but has lost the store itself hears of no change of owner, so its
// callers are better served elsewhere.
bool RequestRouter::keysConfirmed() const
{
    KeyConfirmation confirmation { context_.settings.keyWithdrawalBound };
    auto now = BootClock::now();
    return confirmation.holds(context_.configurationConfirmedAt, now)
        && confirmation.holds(now - context_.store.timeSinceResponse(now), now);
}

RequestRouter::Admission RequestRouter::authorize(const HttpMessage& head, const QueueConfiguration& queue) const
{
    if (!context_.configuration->hasAccounts || queue.isPublic)
        return {};
    auto key = platform::callerKey(head);
    bool present = key.state == platform::CallerKey::State::Present;
    if (present && !keysConfirmed()) { // the key may have been withdrawn or, if it is unknown, added
        ++context_.counters.requestsUnconfirmed;
        return { {}, notRunResponse("not run: the keys in force cannot be confirmed") };
    }
    if (const auto* account = present ? context_.configuration->keys.findAccount(key.key) : nullptr)
        return { *account, {} };
    ++context_.counters.keysRefused;
    auto response = errorResponse(401, platform::describeKeyRefusal(key.state));
    response.headers.push_back(platform::keyRequestHeader());
    return { {}, std::move(response) };
}

// Returns the queue of the host with the longest prefix that matches the path, or null if no queue matches.
const QueueConfiguration* RequestRouter::findQueue(std::string_view host, std::string_view path) const
{
    host = host.substr(0, host.find(':'));
    const QueueConfiguration* best = nullptr;
    for (const auto& [name, queue] : context_.configuration->queues)
        if (equalIgnoringCase(queue.host, host) && path.compare(0, queue.pathPrefix.size(), queue.pathPrefix) == 0
            && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    return best;
}

static std::optional<OwnerRequest::Type> parseRequestType(std::string_view method, std::string_view job)
{
    if (method == "GET" && job.empty())
        return OwnerRequest::Type::Count;
    for (const auto& entry : requestTypes)
        if (method == entry.method && entry.type != OwnerRequest::Type::Count)
            return entry.type;
    return std::nullopt;
}

std::variant<RequestRouter::Target, HttpResponse> RequestRouter::findTarget(const HttpMessage& head) const
{
    if (!context_.configuration)
        return notRunResponse("not run: no configuration yet");
    auto path = std::string_view(head.target).substr(0, head.target.find('?'));
    const auto* queue = findQueue(head.uniqueHeader("Host"), path);
    if (!queue) {
        logger("router")->info(
            "event=no_queue method={} path={} version={}", head.method, path, context_.configuration->version);
        return errorResponse(404, "no such queue");
    }
    auto admission = authorize(head, *queue);
    if (admission.refusal) {
        logger("router")->info("event=unauthorized queue={} status={} version={} confirmed_ms={}", queue->name,
            admission.refusal->status, context_.configuration->version,
            context_.configurationAge(BootClock::now()).count());
        return std::move(*admission.refusal);
    }
    auto job = path.substr(queue->pathPrefix.size());
    auto type = parseRequestType(head.method, job);
    if (!type)
        return errorResponse(405, "allowed are POST, GET and DELETE");
    if (type != OwnerRequest::Type::Count && !platform::isValidJobId(job))
        return errorResponse(400, "a job's id has 16 hexadecimal digits");
    return Target { queue, *type, job, std::move(admission.account) };
}

std::optional<HttpResponse> RequestRouter::checkHead(const HttpMessage& head)
{
    if (platform::isReadinessProbe(head))
        return HttpResponse { ready() ? 200U : 503U };
    ++context_.counters.requests;
    auto target = findTarget(head);
    if (auto* refusal = std::get_if<HttpResponse>(&target))
        return std::move(*refusal);
    return std::nullopt;
}

// The configuration may have changed since checkHead().
void RequestRouter::handle(HttpMessage&& message, ResponseCallback respond)
{
    auto found = findTarget(message);
    if (auto* refusal = std::get_if<HttpResponse>(&found)) {
        respond(std::move(*refusal));
        return;
    }
    auto& target = std::get<Target>(found);
    auto timeout = platform::clientTimeout(message, target.queue->timeout);
    forward(*target.queue,
        { target.type, target.queue->name, std::string(target.job), std::move(message.body), std::move(target.account),
            context_.configuration->version },
        timeout, std::move(respond));
}

void RequestRouter::forward(
    const QueueConfiguration& queue, OwnerRequest&& request, Milliseconds timeout, ResponseCallback respond)
{
    auto pending = std::make_shared<PendingRequest>(context_.io);
    pending->partition = partitionOf(queue.service, context_.settings.storePartitions);
    pending->arrivedAt = BootClock::now();
    pending->deadline = pending->arrivedAt + std::max(timeout - responseMargin, responseMargin);
    pending->retryUntil = std::min(pending->deadline,
        pending->arrivedAt + (request.type == OwnerRequest::Type::Submit ? submitRetryWindow : queryRetryWindow));
    pending->request = std::move(request);
    pending->respond = std::move(respond);
    attempt(pending);
}

void RequestRouter::attempt(const PendingRequestPointer& pending)
{
    auto attemptNumber = ++pending->attempts;
    auto now = BootClock::now();
    auto time = std::min(std::chrono::duration_cast<Milliseconds>(pending->deadline - now), attemptTimeout);
    if (time.count() <= 0) {
        giveUp(pending);
        return;
    }
    auto* owned = findOwned_(pending->partition);
    if (owned && owned->active()) {
        pending->timer.expires_after(time);
        pending->timer.async_wait([this, pending, attemptNumber](std::error_code failed) {
            if (!failed)
                onNoResponse(pending, attemptNumber, true);
        });
        owned->handle(OwnerRequest(pending->request), [this, pending, attemptNumber](HttpResponse&& response) {
            onResponse(pending, attemptNumber, std::move(response));
        });
        return;
    }
    auto address = membership_.ownerAddress(pending->partition);
    if (address.empty() || membership_.isOwnAddress(address)) {
        scheduleRetry(pending);
        return;
    }
    if (ownerContacts_.isSilent(address, now)) {
        probeOwner(address);
        scheduleRetry(pending);
        return;
    }
    const auto& request = pending->request;
    HttpRequest httpRequest { requestTypeInfo(request.type).method,
        fmt::format("/owner/{}/{}/{}", pending->partition, request.queue, request.job), {}, request.body,
        request.body.empty() ? "" : "application/json" };
    if (request.account)
        httpRequest.headers.push_back({ accountHeader, *request.account });
    httpRequest.headers.push_back({ versionHeader, std::to_string(request.configurationVersion) });
    sendToOwner(address, std::move(httpRequest), time, [this, pending, attemptNumber](HttpOutcome&& outcome) {
        if (!outcome.hasResponse) {
            onNoResponse(pending, attemptNumber, outcome.sent);
            return;
        }
        HttpResponse response { outcome.response.status, std::move(outcome.response.body) };
        if (const auto* retryAfter = outcome.response.findHeader("Retry-After"))
            response.headers.push_back({ "Retry-After", *retryAfter });
        onResponse(pending, attemptNumber, std::move(response));
    });
}

void RequestRouter::sendToOwner(
    const std::string& address, HttpRequest request, Milliseconds timeout, HttpClient::Handler handler)
{
    ownerContacts_.onSent(address, BootClock::now());
    context_.peerClient.send(
        address, std::move(request), timeout, [this, address, handler = std::move(handler)](HttpOutcome&& outcome) {
            if (outcome.hasResponse)
                ownerContacts_.onResponse(address, BootClock::now());
            else
                ownerContacts_.onNoResponse(address);
            handler(std::move(outcome));
        });
}

// Asks an owner for any response. At most one probe of an owner is in flight.
void RequestRouter::probeOwner(const std::string& address)
{
    if (!probedOwners_.insert(address).second)
        return;
    sendToOwner(
        address, { "GET", Membership::probePath, {}, {}, {} }, probeTimeout, [this, address](HttpOutcome&& outcome) {
            probedOwners_.erase(address);
            logger("router")->info("dependency={} event={}", address, outcome.hasResponse ? "regained" : "silent");
        });
}

void RequestRouter::onResponse(const PendingRequestPointer& pending, uint32_t attemptNumber, HttpResponse&& response)
{
    if (attemptNumber != pending->attempts || !pending->respond)
        return;
    pending->timer.cancel();
    if (response.status == notOwnerStatus) {
        scheduleRetry(pending);
        return;
    }
    bool refused = response.status == 503 || response.status == 429;
    if (refused && pending->maybeExecuted) // an earlier attempt may still be executed
        response = errorResponse(504, "the outcome of an earlier attempt is unknown");
    finish(pending, std::move(response));
}

void RequestRouter::onNoResponse(const PendingRequestPointer& pending, uint32_t attemptNumber, bool sent)
{
    if (attemptNumber != pending->attempts || !pending->respond)
        return;
    ++context_.counters.requestsUnanswered;
    pending->maybeExecuted = pending->maybeExecuted || sent;
    membership_.refreshOwners();
    scheduleRetry(pending);
}

void RequestRouter::scheduleRetry(const PendingRequestPointer& pending)
{
    membership_.refreshOwners();
    // A request that may have been executed is retried until the caller's deadline, since a refusal would be wrong; any
    // other request is refused earlier.
    auto end = pending->maybeExecuted ? pending->deadline : pending->retryUntil;
    if (BootClock::now() + retryDelay >= end) {
        giveUp(pending);
        return;
    }
    pending->timer.expires_after(retryDelay);
    pending->timer.async_wait([this, pending](std::error_code failed) {
        if (!failed)
            attempt(pending);
    });
}

void RequestRouter::giveUp(const PendingRequestPointer& pending)
{
    auto type = pending->request.type;
    bool hasEffect = type == OwnerRequest::Type::Submit || type == OwnerRequest::Type::Cancel;
    finish(pending,
        hasEffect && pending->maybeExecuted ? errorResponse(504, "the owner of the queue did not answer")
                                            : notRunResponse("not run: the owner of the queue cannot be reached"));
}

void RequestRouter::finish(const PendingRequestPointer& pending, HttpResponse&& response)
{
    auto respond = std::move(pending->respond);
    pending->respond = nullptr;
    if (response.status >= 400 && response.status != 410)
        logger("router")->info(
            "request={} event=responded type={} queue={} status={} attempts={} maybe_executed={} took_ms={} "
            "version={}",
            pending->request.job, requestTypeInfo(pending->request.type).name, pending->request.queue, response.status,
            pending->attempts, pending->maybeExecuted,
            std::chrono::duration_cast<Milliseconds>(BootClock::now() - pending->arrivedAt).count(),
            pending->request.configurationVersion);
    respond(std::move(response));
}

namespace {

    struct PeerTarget {
        uint32_t partition;
        OwnerRequest::Type type;
        std::string queue;
        std::string job;
    };

    // The path is "/owner/PARTITION/QUEUE/JOB"; JOB is empty for a count.
    std::optional<PeerTarget> parsePeerTarget(const HttpMessage& head)
    {
        std::array<std::string_view, 4> parts;
        std::string_view rest = std::string_view(head.target).substr(1);
        for (auto& part : parts) {
            part = rest.substr(0, rest.find('/'));
            rest.remove_prefix(std::min(rest.size(), part.size() + 1));
        }
        auto partition = parseNumber(parts[1], UINT32_MAX);
        auto type = parseRequestType(head.method, parts[3]);
        if (parts[0] != "owner" || !partition || !type)
            return std::nullopt;
        return PeerTarget { static_cast<uint32_t>(*partition), *type, std::string(parts[2]), std::string(parts[3]) };
    }

} // namespace

std::optional<HttpResponse> RequestRouter::checkPeerHead(const HttpMessage& head) const
{
    auto target = parsePeerTarget(head);
    if (!target)
        return HttpResponse { 404 };
    if (!findOwned_(target->partition))
        return HttpResponse { notOwnerStatus };
    return std::nullopt;
}

void RequestRouter::handlePeer(HttpMessage&& message, ResponseCallback respond)
{
    auto target = parsePeerTarget(message);
    if (!target) {
        respond({ 404 });
        return;
    }
    auto* owned = findOwned_(target->partition);
    if (!owned) {
        respond({ notOwnerStatus });
        return;
    }
    OwnerRequest request { target->type, std::move(target->queue), std::move(target->job), std::move(message.body) };
    if (const auto* account = message.findHeader(accountHeader))
        request.account = *account;
    request.configurationVersion = parseNumber(message.uniqueHeader(versionHeader), UINT64_MAX).value_or(0);
    owned->handle(std::move(request), std::move(respond));
}

} // namespace shallotdrift::internal
