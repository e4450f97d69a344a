#include "Placement.h"

#include <algorithm>

namespace shallotdrift::internal {

namespace {

    bool failedOn(const WorkItem& item, const std::shared_ptr<TargetInstance>& instance)
    {
        return std::find(item.failedOn.begin(), item.failedOn.end(), instance) != item.failedOn.end();
    }

    // A probe may fail, so that work which cannot be sent again is a probe only where the pool has no other.
    bool suits(const TargetInstance& instance, const PoolState& pool, const WorkItem& item, Instant now)
    {
        if (!instance.canTake(now))
            return false;
        return !instance.health.ejected() || item.request.resendAllowed || !pool.resendableWork;
    }

    // Relative to the learned run time, which is the same for both candidates.
    double expectedWait(const TargetInstance& instance)
    {
        if (instance.health.ejected())
            return 0; // a probe is due: without preference its low success rate would postpone it for long
        double wait = (instance.inFlight + 1.0) / std::max(1U, instance.share.slots()) * instance.slowness;
        return wait / instance.health.successRate();
    }

    bool better(const TargetInstance& a, const TargetInstance& b, const WorkItem& item)
    {
        // A failure of work that may not be sent again is final, so that no waiting time weighs against it.
        double successA = a.health.successRate();
        double successB = b.health.successRate();
        if (!item.request.resendAllowed && successA != successB && !a.health.ejected() && !b.health.ejected())
            return successA > successB;
        double waitA = expectedWait(a);
        double waitB = expectedWait(b);
        if (waitA != waitB)
            return waitA < waitB;
        return a.sameZone && !b.sameZone;
    }

    class TwoChoicesPlacement final : public Placement {
    public:
        std::shared_ptr<TargetInstance> choose(
            const PoolState& pool, const WorkItem& item, Instant now, std::mt19937_64& random) const override
        {
            auto first = pick(pool, item, now, random, nullptr);
            if (!first)
                return nullptr;
            auto second = pick(pool, item, now, random, first.get());
            return second && better(*second, *first, item) ? second : first;
        }

    private:
        // A random one of the suitable instances. The next suitable one from a random position on would send the work
        // of full instances to their neighbours, which then answer busy to other entries.
        static std::shared_ptr<TargetInstance> pick(const PoolState& pool, const WorkItem& item, Instant now,
            std::mt19937_64& random, const TargetInstance* except)
        {
            const std::shared_ptr<TargetInstance>* chosen = nullptr;
            const std::shared_ptr<TargetInstance>* fallback = nullptr;
            uint64_t suitable = 0;
            for (const auto& instance : pool.instances) {
                if (instance.get() == except || !suits(*instance, pool, item, now) || failedOn(item, instance))
                    continue;
                if (instance.get() == item.avoid)
                    fallback = &instance;
                else if (random() % ++suitable == 0)
                    chosen = &instance;
            }
            if (!chosen && !except)
                chosen = fallback;
            return chosen ? *chosen : nullptr;
        }
    };

    class LeastOutstandingPlacement final : public Placement {
    public:
        std::shared_ptr<TargetInstance> choose(
            const PoolState& pool, const WorkItem& item, Instant now, std::mt19937_64& random) const override
        {
            size_t count = pool.instances.size();
            size_t begin = count ? random() % count : 0;
            std::shared_ptr<TargetInstance> best;
            for (size_t i = 0; i < count; ++i) {
                const auto& instance = pool.instances[(begin + i) % count];
                if (!suits(*instance, pool, item, now) || failedOn(item, instance))
                    continue;
                if (!best || instance->inFlight < best->inFlight)
                    best = instance;
            }
            return best;
        }
    };

} // namespace

const Placement& placement(PlacementRule rule)
{
    static const TwoChoicesPlacement twoChoices;
    static const LeastOutstandingPlacement leastOutstanding;
    if (rule == PlacementRule::LeastOutstanding)
        return leastOutstanding;
    return twoChoices;
}

} // namespace shallotdrift::internal
