#pragma once

#include "../Http/HttpClient.h"

#include "platform/Platform.h"

#include <functional>
#include <map>
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

    struct RequestCounts {
        uint64_t sent = 0;
        uint64_t refused = 0; // 429 or 503
        uint64_t unanswered = 0; // no complete response in time
    };
    const std::map<std::string, RequestCounts>& requestCounts() const { return requestCounts_; } // by path

private:
    HttpClient& client_;
    std::string address_;
    Instant lastResponseAt_ = BootClock::now();
    bool reachable_ = true;
    uint64_t requestsSent_ = 0;
    std::map<std::string, RequestCounts> requestCounts_;
};

} // namespace shallotdrift::internal
