#pragma once

#include "../Http/HttpClient.h"

#include "platform/Platform.h"

#include <functional>
#include <optional>

namespace shallotdrift::internal {

// Calls to the platform's store, with a record of whether it answers this entry instance.
class StoreLink {
public:
    using Answer = std::function<void(std::optional<HttpMessage>)>; // empty: no answer in time

    StoreLink(HttpClient& client, std::string address)
        : client_(client)
        , address_(std::move(address))
    {
    }

    void call(HttpRequest, Milliseconds timeout, Answer);
    // Time since the last answer that was not a refusal for want of capacity.
    Duration silence(Instant now) const { return now - answeredAt_; }
    bool reachable() const { return reachable_; }
    uint64_t calls() const { return calls_; }

private:
    HttpClient& client_;
    std::string address_;
    Instant answeredAt_ = BootClock::now();
    bool reachable_ = true;
    uint64_t calls_ = 0;
};

} // namespace shallotdrift::internal
