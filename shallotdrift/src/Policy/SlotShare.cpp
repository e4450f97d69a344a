#include "SlotShare.h"

#include <algorithm>

namespace shallotdrift::internal {

// A slot that others left is tried again after this time.
static constexpr Duration raiseInterval = std::chrono::milliseconds(100);
static constexpr Duration firstPause = std::chrono::milliseconds(2);
static constexpr uint32_t longestPauseDoublings = 4; // 32 ms

void SlotShare::setFraction(double fraction)
{
    share_ = std::min(slots_, std::max(1U, static_cast<uint32_t>(fraction * slots_)));
}

uint32_t SlotShare::limit(Instant now) const
{
    if (ceiling_ >= slots_)
        return slots_;
    auto raised = ceiling_ + static_cast<uint64_t>(std::max<int64_t>(0, (now - loweredAt_) / raiseInterval));
    return static_cast<uint32_t>(std::min<uint64_t>(slots_, std::max<uint64_t>(raised, share_)));
}

void SlotShare::recordBusy(uint32_t inFlight, Instant now)
{
    ceiling_ = inFlight;
    loweredAt_ = now;
    blockedUntil_ = now + firstPause * (1 << std::min(busyInRow_, longestPauseDoublings));
    ++busyInRow_;
}

} // namespace shallotdrift::internal
