#pragma once

#include "Membership.h"
#include "OwnedPartition.h"

namespace shallotdrift::internal {

// Receives callers' requests and forwards each to the owner of its queue's service, on this entry instance or another
// one.
class RequestRouter {
public:
    using ResponseCallback = HttpServer::ResponseCallback;
    using FindOwned = std::function<OwnedPartition*(uint32_t partition)>;

    RequestRouter(NodeContext&, Membership&, FindOwned);

    // Handles a caller's request, or the platform's readiness check.
    void handle(HttpMessage&&, ResponseCallback);
    // Handles a request that another entry instance forwards.
    void handlePeer(HttpMessage&&, ResponseCallback);
    // Callers' requests can be handled now.
    bool ready() const;

private:
    // A caller's request until it gets its response.
    struct PendingRequest {
        PendingRequest(asio::io_context& io)
            : timer(io)
        {
        }
        OwnerRequest request;
        uint32_t partition = 0;
        Instant arrivedAt {};
        Instant retryUntil {}; // end of the attempts to reach the owner, as long as no attempt may have been executed
        Instant deadline {};
        ResponseCallback respond;
        asio::steady_timer timer;
        uint32_t attempts = 0;
        bool maybeExecuted = false; // an attempt was sent and got no response
    };
    using PendingRequestPointer = std::shared_ptr<PendingRequest>;

    const QueueConfiguration* findQueue(std::string_view host, std::string_view path) const;
    void forward(const QueueConfiguration&, OwnerRequest&&, Milliseconds timeout, ResponseCallback);
    void attempt(const PendingRequestPointer&);
    void onResponse(const PendingRequestPointer&, uint32_t attempt, HttpResponse&&);
    void onNoResponse(const PendingRequestPointer&, uint32_t attempt, bool sent);
    void scheduleRetry(const PendingRequestPointer&);
    void giveUp(const PendingRequestPointer&);
    void finish(const PendingRequestPointer&, HttpResponse&&);

    NodeContext& context_;
    Membership& membership_;
    FindOwned findOwned_;
};

} // namespace shallotdrift::internal
