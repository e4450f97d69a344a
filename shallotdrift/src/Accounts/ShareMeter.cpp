#include "ShareMeter.h"

#include <algorithm>
#include <chrono>

namespace shallotdrift {

// Jobs of this many seconds may arrive at once.
static constexpr double burstSeconds = 2;
static constexpr double minimumBurst = 2; // jobs

static double burstOf(double share) { return std::max(share * burstSeconds, minimumBurst); }

void ShareMeter::setAccounts(const ClientAccounts& accounts)
{
    for (auto& [name, bucket] : buckets_)
        bucket.share = 0;
    for (const auto& [name, account] : accounts) {
        if (account.share <= 0)
            continue;
        auto [entry, added] = buckets_.try_emplace(name);
        entry->second.share = account.share;
        if (added)
            entry->second.tokens = burstOf(account.share);
    }
}

bool ShareMeter::take(const std::string& account, Instant now)
{
    auto found = buckets_.find(account);
    if (found == buckets_.end() || found->second.share <= 0)
        return true;
    auto& bucket = found->second;
    double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
    if (bucket.filledAt != Instant {})
        bucket.tokens = std::min(bucket.tokens + elapsed * bucket.share, burstOf(bucket.share));
    bucket.filledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace shallotdrift
