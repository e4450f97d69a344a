#pragma once

#include "Membership.h"
#include "OwnedPartition.h"

namespace shallotdrift::internal {

// Takes the callers' requests and passes each to the owner of its queue's service, here or at another entry instance.
class Front {
public:
    using Reply = HttpServer::ResponseCallback;
    using FindOwned = std::function<OwnedPartition*(uint32_t partition)>;

    Front(NodeContext&, Membership&, FindOwned);

    // A request of a caller, or of the platform's check of readiness.
    void handle(HttpMessage&&, Reply);
    // A request that another entry instance passes on.
    void handlePeer(HttpMessage&&, Reply);
    bool ready() const;

private:
    // A caller's request that is being passed to the owner.
    struct Forwarding {
        Forwarding(asio::io_context& io)
            : timer(io)
        {
        }
        OwnerRequest request;
        uint32_t partition = 0;
        Instant arrived {};
        Instant patience {}; // until then another try is made while the owner cannot be reached
        Instant deadline {};
        Reply reply;
        asio::steady_timer timer;
        uint32_t attempt = 0;
        bool uncertain = false; // an attempt without an answer may have been carried out
    };
    using ForwardingPointer = std::shared_ptr<Forwarding>;

    const QueueConfiguration* findQueue(std::string_view host, std::string_view path) const;
    void forward(const QueueConfiguration&, OwnerRequest&&, Milliseconds timeout, Reply);
    void attempt(const ForwardingPointer&);
    void onAnswer(const ForwardingPointer&, uint32_t attempt, HttpResponse&&);
    void onNoAnswer(const ForwardingPointer&, uint32_t attempt, bool sent);
    void retryLater(const ForwardingPointer&);
    void giveUp(const ForwardingPointer&);
    void finish(const ForwardingPointer&, HttpResponse&&);

    NodeContext& context_;
    Membership& membership_;
    FindOwned findOwned_;
};

} // namespace shallotdrift::internal
