#include "Front.h"

#include "../Base/Logging.h"
#include "Replies.h"

#include <array>
#include <fmt/format.h>

namespace shallotdrift::internal {

// An owner answers within some 20 ms; without an answer the request is tried again, since it is idempotent by its id.
static constexpr Milliseconds attemptTime { 900 };
static constexpr Milliseconds retryTime { 60 };
// Time for which a job without a reachable owner is held before it is refused as not run; a change of owner takes
// longer, so holding it for longer would not help.
static constexpr Milliseconds submitPatience { 300 };
static constexpr Milliseconds queryPatience { 1500 };
// Kept back from the caller's own time so that the answer still reaches it.
static constexpr Milliseconds answerReserve { 150 };

struct TypeName {
    OwnerRequest::Type type;
    const char* method;
    const char* name;
};
static constexpr std::array<TypeName, 4> typeNames { { { OwnerRequest::Type::Submit, "POST", "submit" },
    { OwnerRequest::Type::Query, "GET", "query" }, { OwnerRequest::Type::Cancel, "DELETE", "cancel" },
    { OwnerRequest::Type::Count, "GET", "count" } } };

static const TypeName& nameOf(OwnerRequest::Type type) { return typeNames[static_cast<size_t>(type)]; }

Front::Front(NodeContext& context, Membership& membership, FindOwned findOwned)
    : context_(context)
    , membership_(membership)
    , findOwned_(std::move(findOwned))
{
}

bool Front::ready() const { return !context_.stopping && context_.configuration && membership_.ownersKnown(); }

// The longest prefix of the path among the queues of the host.
const QueueConfiguration* Front::findQueue(std::string_view host, std::string_view path) const
{
    host = host.substr(0, host.find(':'));
    const QueueConfiguration* best = nullptr;
    for (const auto& [name, queue] : context_.configuration->queues)
        if (equalIgnoringCase(queue.host, host) && path.compare(0, queue.pathPrefix.size(), queue.pathPrefix) == 0
            && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    return best;
}

static std::optional<OwnerRequest::Type> typeOf(std::string_view method, std::string_view job)
{
    if (method == "GET" && job.empty())
        return OwnerRequest::Type::Count;
    for (const auto& entry : typeNames)
        if (method == entry.method && entry.type != OwnerRequest::Type::Count)
            return entry.type;
    return std::nullopt;
}

void Front::handle(HttpMessage&& message, Reply reply)
{
    if (platform::isReadinessProbe(message)) {
        reply({ ready() ? 200U : 503U });
        return;
    }
    ++context_.counters.requests;
    if (!context_.configuration) {
        reply(notRunReply("not run: no configuration yet"));
        return;
    }
    auto path = std::string_view(message.target).substr(0, message.target.find('?'));
    const auto* queue = findQueue(message.uniqueHeader("Host"), path);
    if (!queue) {
        logger("front")->info(
            "event=no_queue method={} path={} version={}", message.method, path, context_.configuration->version);
        reply(errorReply(404, "no such queue"));
        return;
    }
    auto job = path.substr(queue->pathPrefix.size());
    auto type = typeOf(message.method, job);
    if (!type) {
        reply(errorReply(405, "allowed are POST, GET and DELETE"));
        return;
    }
    if (type != OwnerRequest::Type::Count && !platform::isValidJobId(job)) {
        reply(errorReply(400, "a job's id has 16 hexadecimal digits"));
        return;
    }
    auto timeout = platform::clientTimeout(message, queue->timeout);
    forward(*queue, { *type, queue->name, std::string(job), std::move(message.body) }, timeout, std::move(reply));
}

void Front::forward(const QueueConfiguration& queue, OwnerRequest&& request, Milliseconds timeout, Reply reply)
{
    auto forwarding = std::make_shared<Forwarding>(context_.io);
    forwarding->partition = partitionOf(queue.service, context_.settings.storePartitions);
    forwarding->arrived = BootClock::now();
    forwarding->deadline = forwarding->arrived + std::max(timeout - answerReserve, answerReserve);
    forwarding->patience = std::min(forwarding->deadline,
        forwarding->arrived + (request.type == OwnerRequest::Type::Submit ? submitPatience : queryPatience));
    forwarding->request = std::move(request);
    forwarding->reply = std::move(reply);
    attempt(forwarding);
}

void Front::attempt(const ForwardingPointer& forwarding)
{
    auto number = ++forwarding->attempt;
    auto now = BootClock::now();
    auto time = std::min(std::chrono::duration_cast<Milliseconds>(forwarding->deadline - now), attemptTime);
    if (time.count() <= 0) {
        giveUp(forwarding);
        return;
    }
    auto* owned = findOwned_(forwarding->partition);
    if (owned && owned->active()) {
        forwarding->timer.expires_after(time);
        forwarding->timer.async_wait([this, forwarding, number](std::error_code failed) {
            if (!failed)
                onNoAnswer(forwarding, number, true);
        });
        owned->handle(OwnerRequest(forwarding->request),
            [this, forwarding, number](HttpResponse&& response) { onAnswer(forwarding, number, std::move(response)); });
        return;
    }
    auto address = membership_.ownerAddress(forwarding->partition);
    if (address.empty() || address == membership_.member().substr(0, address.size())) {
        retryLater(forwarding);
        return;
    }
    const auto& request = forwarding->request;
    HttpRequest call { nameOf(request.type).method,
        fmt::format("/owner/{}/{}/{}", forwarding->partition, request.queue, request.job), {}, request.body,
        request.body.empty() ? "" : "application/json" };
    context_.peers.send(address, std::move(call), time, [this, forwarding, number](HttpOutcome&& outcome) {
        if (!outcome.hasResponse) {
            onNoAnswer(forwarding, number, outcome.sent);
            return;
        }
        HttpResponse response { outcome.response.status, std::move(outcome.response.body) };
        if (const auto* again = outcome.response.findHeader("Retry-After"))
            response.headers.push_back({ "Retry-After", *again });
        onAnswer(forwarding, number, std::move(response));
    });
}

void Front::onAnswer(const ForwardingPointer& forwarding, uint32_t number, HttpResponse&& response)
{
    if (number != forwarding->attempt || !forwarding->reply)
        return;
    forwarding->timer.cancel();
    if (response.status == notOwnerStatus) {
        retryLater(forwarding);
        return;
    }
    bool refused = response.status == 503 || response.status == 429;
    if (refused && forwarding->uncertain) // an earlier attempt may still be carried out
        response = errorReply(504, "the outcome of an earlier attempt is unknown");
    finish(forwarding, std::move(response));
}

void Front::onNoAnswer(const ForwardingPointer& forwarding, uint32_t number, bool sent)
{
    if (number != forwarding->attempt || !forwarding->reply)
        return;
    ++context_.counters.requestsUnanswered;
    forwarding->uncertain = forwarding->uncertain || sent;
    membership_.refreshOwners();
    retryLater(forwarding);
}

void Front::retryLater(const ForwardingPointer& forwarding)
{
    membership_.refreshOwners();
    // What may have been carried out is asked for until the caller's time is over; the rest is refused early.
    auto end = forwarding->uncertain ? forwarding->deadline : forwarding->patience;
    if (BootClock::now() + retryTime >= end) {
        giveUp(forwarding);
        return;
    }
    forwarding->timer.expires_after(retryTime);
    forwarding->timer.async_wait([this, forwarding](std::error_code failed) {
        if (!failed)
            attempt(forwarding);
    });
}

void Front::giveUp(const ForwardingPointer& forwarding)
{
    bool submit = forwarding->request.type == OwnerRequest::Type::Submit;
    finish(forwarding,
        submit && forwarding->uncertain ? errorReply(504, "the owner of the queue did not answer")
                                        : notRunReply("not run: the owner of the queue cannot be reached"));
}

void Front::finish(const ForwardingPointer& forwarding, HttpResponse&& response)
{
    auto reply = std::move(forwarding->reply);
    forwarding->reply = nullptr;
    if (response.status >= 400 && response.status != 410)
        logger("front")->info(
            "request={} event=answered type={} queue={} status={} attempts={} uncertain={} took_ms={}",
            forwarding->request.job, nameOf(forwarding->request.type).name, forwarding->request.queue, response.status,
            forwarding->attempt, forwarding->uncertain,
            std::chrono::duration_cast<Milliseconds>(BootClock::now() - forwarding->arrived).count());
    reply(std::move(response));
}

// "/owner/PARTITION/QUEUE/JOB"; the job is empty for a count.
void Front::handlePeer(HttpMessage&& message, Reply reply)
{
    std::array<std::string_view, 4> parts;
    std::string_view rest = std::string_view(message.target).substr(1);
    for (auto& part : parts) {
        part = rest.substr(0, rest.find('/'));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    }
    auto partition = parseNumber(parts[1], UINT32_MAX);
    auto type = typeOf(message.method, parts[3]);
    if (parts[0] != "owner" || !partition || !type) {
        reply({ 404 });
        return;
    }
    auto* owned = findOwned_(static_cast<uint32_t>(*partition));
    if (!owned) {
        reply({ notOwnerStatus });
        return;
    }
    owned->handle({ *type, std::string(parts[2]), std::string(parts[3]), std::move(message.body) }, std::move(reply));
}

} // namespace shallotdrift::internal
