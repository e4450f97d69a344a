#include "PoolState.h"

#include <algorithm>

namespace shallotdrift::internal {

// Waiting work counts as the slots that would clear it within this time.
static constexpr double clearSeconds = 1;

uint32_t PoolState::shareSlots() const
{
    uint32_t sum = 0;
    for (const auto& instance : instances) {
        if (!instance->health.ejected())
            sum += instance->share.share();
    }
    return sum;
}

uint32_t PoolState::running() const
{
    uint32_t sum = 0;
    for (const auto* kind : kinds)
        sum += kind->usage.current();
    return sum;
}

uint32_t PoolState::effectiveSlots() const { return std::max({ 1U, shareSlots(), running() }); }

uint32_t PoolState::ejectedCount() const
{
    return static_cast<uint32_t>(std::count_if(
        instances.begin(), instances.end(), [](const auto& instance) { return instance->health.ejected(); }));
}

bool PoolState::hasFreeSlot(Instant now) const
{
    return std::any_of(
        instances.begin(), instances.end(), [now](const auto& instance) { return instance->canTake(now); });
}

double PoolState::demandSlots(Instant now) const
{
    double slots = 0;
    for (const auto* kind : kinds) {
        double present = kind->usage.current() + kind->queue.workSeconds() / clearSeconds;
        slots += std::max(present, kind->offered.at(now));
    }
    return slots;
}

} // namespace shallotdrift::internal
