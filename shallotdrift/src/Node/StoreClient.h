#pragma once

#include "../Http/HttpClient.h"

#include "platform/Platform.h"

#include <functional>
#include <optional>

namespace shallotdrift::internal {

// Calls to the platform's store, with a record of whether it answers this entry instance.
class StoreClient {
public:
    using Handler = std::function<void(std::optional<HttpMessage>)>; // empty: no answer in time

    StoreClient(HttpClient& client, std::string address)
        : client_(client)
        , address_(std::move(address))
    {
    }

    void send(HttpRequest, Milliseconds timeout, Handler);
    // Time since the last answer that was not a refusal for want of capacity.
    Duration timeSinceResponse(Instant now) const { return now - lastResponseAt_; }
    bool reachable() const { return reachable_; }
    uint64_t requestsSent() const { return requestsSent_; }

private:
    HttpClient& client_;
    std::string address_;
    Instant lastResponseAt_ = BootClock::now();
    bool reachable_ = true;
    uint64_t requestsSent_ = 0;
};

} // namespace shallotdrift::internal
