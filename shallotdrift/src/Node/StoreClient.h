#pragma once

#include "../Http/HttpClient.h"

#include "platform/Platform.h"

#include <functional>
#include <optional>

namespace shallotdrift::internal {

// Sends requests to the platform's store and tracks whether this entry instance can reach it.
class StoreClient {
public:
    using Handler = std::function<void(std::optional<HttpMessage>)>; // nullopt: no response in time

    StoreClient(HttpClient& client, std::string address)
        : client_(client)
        , address_(std::move(address))
    {
    }

    void send(HttpRequest, Milliseconds timeout, Handler);
    // Time since the last response other than 429 and 503 (no capacity).
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
