#include "PoolState.h"

#include <algorithm>

namespace shallotdrift::internal {

// Waiting work counts as the slots that would clear it within its time limit, but not faster than this. With 1 s for
// all kinds, floods borrowed twice the instances that their arrivals needed.
static constexpr double shortestClearSeconds = 10;

static double clearSeconds(const KindConfiguration& kind)
{
    return std::max(shortestClearSeconds, std::chrono::duration<double>(kind.defaultTimeout).count());
}

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
        // While work waits, the slots in use show the capacity and not the demand.
        double present = kind->queue.empty() ? kind->usage.current() : 0;
        double backlog = kind->queue.workSeconds() / clearSeconds(kind->configuration);
        slots += std::max(present, kind->offered.at(now) + backlog);
    }
    return slots;
}

} // namespace shallotdrift::internal
