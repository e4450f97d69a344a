#pragma once

#include "Membership.h"
#include "OwnedPartition.h"
#include "OwnerContacts.h"

#include <optional>
#include <variant>

namespace shallotdrift::internal {

// Forwards each caller's request to the owner of its queue's service, on this or another entry instance.
class RequestRouter {
public:
    using ResponseCallback = HttpServer::ResponseCallback;
    using FindOwned = std::function<OwnedPartition*(uint32_t partition)>;

    RequestRouter(NodeContext&, Membership&, FindOwned);

    // Returns the response to a request that cannot be handled or needs no body, from its head only. Must be called
    // before handle().
    std::optional<HttpResponse> checkHead(const HttpMessage& head);
    std::optional<HttpResponse> checkPeerHead(const HttpMessage& head) const;
    // Handles a caller's request or the platform's readiness check.
    void handle(HttpMessage&&, ResponseCallback);
    // Handles a request forwarded by another entry instance.
    void handlePeer(HttpMessage&&, ResponseCallback);
    // Whether callers' requests can be handled.
    bool ready() const;

private:
    // A caller's request that has no response yet.
    struct PendingRequest {
        PendingRequest(asio::io_context& io)
            : timer(io)
        {
        }
        OwnerRequest request;
        uint32_t partition = 0;
        Instant arrivedAt {};
        Instant retryUntil {}; // retries end here if no attempt may have been executed
        Instant deadline {};
        ResponseCallback respond;
        asio::steady_timer timer;
        uint32_t attempts = 0;
        bool maybeExecuted = false; // a sent attempt got no response
    };
    using PendingRequestPointer = std::shared_ptr<PendingRequest>;

    bool keysConfirmed() const;
    // The account that the caller's key belongs to, nullopt if the queue is open to everyone, or the refusal.
    struct Admission {
        std::optional<std::string> account {};
        std::optional<HttpResponse> refusal {};
    };
    Admission authorize(const HttpMessage&, const QueueConfiguration&) const;
    // What a caller's request asks for.
    struct Target {
        const QueueConfiguration* queue;
        OwnerRequest::Type type;
        std::string_view job;
        std::optional<std::string> account; // see OwnerRequest::account
    };
    std::variant<Target, HttpResponse> findTarget(const HttpMessage& head) const;
    const QueueConfiguration* findQueue(std::string_view host, std::string_view path) const;
    void forward(const QueueConfiguration&, OwnerRequest&&, Milliseconds timeout, ResponseCallback);
    void attempt(const PendingRequestPointer&);
    void onResponse(const PendingRequestPointer&, uint32_t attempt, HttpResponse&&);
    void onNoResponse(const PendingRequestPointer&, uint32_t attempt, bool sent);
    void scheduleRetry(const PendingRequestPointer&);
    void giveUp(const PendingRequestPointer&);
    void sendToOwner(const std::string& address, HttpRequest, Milliseconds timeout, HttpClient::Handler);
    void probeOwner(const std::string& address);
    void finish(const PendingRequestPointer&, HttpResponse&&);

    NodeContext& context_;
    Membership& membership_;
    FindOwned findOwned_;
    OwnerContacts ownerContacts_;
    std::set<std::string> probedOwners_; // with a probe in flight
};

} // namespace shallotdrift::internal
