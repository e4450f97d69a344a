#pragma once

#include "Membership.h"
#include "OwnedPartition.h"

namespace shallotdrift::internal {

// Takes the callers' requests and passes each to the owner of its queue's service, here or at another entry instance.
class RequestRouter {
public:
    using ResponseCallback = HttpServer::ResponseCallback;
    using FindOwned = std::function<OwnedPartition*(uint32_t partition)>;

    RequestRouter(NodeContext&, Membership&, FindOwned);

    // A request of a caller, or of the platform's check of readiness.
    void handle(HttpMessage&&, ResponseCallback);
    // A request that another entry instance passes on.
    void handlePeer(HttpMessage&&, ResponseCallback);
    bool ready() const;

private:
    // A caller's request that is being passed to the owner.
    struct PendingRequest {
        PendingRequest(asio::io_context& io)
            : timer(io)
        {
        }
        OwnerRequest request;
        uint32_t partition = 0;
        Instant arrived {};
        Instant retryUntil {}; // until then another try is made while the owner cannot be reached
        Instant deadline {};
        ResponseCallback respond;
        asio::steady_timer timer;
        uint32_t attempt = 0;
        bool maybeExecuted = false; // an attempt without an answer may have been carried out
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
