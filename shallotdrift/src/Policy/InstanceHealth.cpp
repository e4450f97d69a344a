#include "InstanceHealth.h"

#include <algorithm>

namespace shallotdrift::internal {

static constexpr uint32_t failuresInRowLimit = 5;
static constexpr uint32_t attemptsKept = 20;
static constexpr uint32_t attemptsMask = (1U << attemptsKept) - 1;
static constexpr Duration firstProbe = std::chrono::seconds(5);
static constexpr Duration longestProbe = std::chrono::seconds(60);
// Successes assumed before the first attempt. Without them a single failure would make an instance look useless, so
// that it were neither used nor ejected and probed.
static constexpr double priorSuccesses = 2;

void InstanceHealth::recordSuccess()
{
    recentFailures_ = (recentFailures_ << 1) & attemptsMask;
    recentCount_ = std::min(recentCount_ + 1, attemptsKept);
    failuresInRow_ = 0;
}

void InstanceHealth::recordFailure()
{
    recentFailures_ = ((recentFailures_ << 1) | 1) & attemptsMask;
    recentCount_ = std::min(recentCount_ + 1, attemptsKept);
    ++failuresInRow_;
}

bool InstanceHealth::failing() const
{
    auto failures = static_cast<uint32_t>(__builtin_popcount(recentFailures_));
    return failuresInRow_ >= failuresInRowLimit || (recentCount_ == attemptsKept && failures * 2 > attemptsKept);
}

double InstanceHealth::successRate() const
{
    auto failures = static_cast<double>(__builtin_popcount(recentFailures_));
    return 1 - failures / (recentCount_ + priorSuccesses);
}

void InstanceHealth::eject(Instant now)
{
    ejected_ = true;
    probing_ = false;
    probeInterval_ = firstProbe;
    nextProbe_ = now + probeInterval_;
}

void InstanceHealth::reinstate() { *this = InstanceHealth {}; }

void InstanceHealth::probeFailed(Instant now)
{
    probing_ = false;
    probeInterval_ = std::min(probeInterval_ * 2, longestProbe);
    nextProbe_ = now + probeInterval_;
}

} // namespace shallotdrift::internal
