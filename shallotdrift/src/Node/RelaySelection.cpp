#include "RelaySelection.h"

#include "../Base/Hash.h"

#include <algorithm>

namespace shallotdrift::internal {

static constexpr Milliseconds exclusionTime { 3000 };
static constexpr size_t maximumFailures = 3;

std::optional<std::string> RelaySelection::next(const std::vector<std::string>& relays, Instant now)
{
    if (storeDue_) {
        storeDue_ = false;
        return std::nullopt;
    }
    std::optional<std::string> best;
    uint64_t bestRank = 0;
    for (const auto& relay : relays) {
        auto excluded = excludedUntil_.find(relay);
        if (excluded != excludedUntil_.end() && now < excluded->second)
            continue;
        auto rank = hash64(reader_ + relay);
        if (!best || rank > bestRank) {
            best = relay;
            bestRank = rank;
        }
    }
    return best;
}

void RelaySelection::onFailure(const std::string& relay, bool silent, Instant now)
{
    for (auto item = excludedUntil_.begin(); item != excludedUntil_.end();)
        item = item->second <= now ? excludedUntil_.erase(item) : std::next(item);
    excludedUntil_[relay] = now + exclusionTime;
    if (++failures_ >= maximumFailures || silent) {
        failures_ = 0;
        storeDue_ = true;
    }
}

} // namespace shallotdrift::internal
