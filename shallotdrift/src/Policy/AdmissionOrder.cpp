#include "AdmissionOrder.h"

#include <algorithm>
#include <cmath>

namespace shallotdrift::internal {

namespace {

    bool earlierDeadline(const WorkItem& a, const WorkItem& b)
    {
        if (a.request.deadline != b.request.deadline)
            return a.request.deadline < b.request.deadline;
        return a.sequence < b.sequence;
    }

    bool earlierArrival(const WorkItem& a, const WorkItem& b) { return a.sequence < b.sequence; }

    // Offered load of a kind that had no request for some seconds.
    constexpr double negligibleSlots = 0.01;

    constexpr double catchUpFactor = 2;
    // Room for a kind's next requests, in standard deviations of the number of slots that they use.
    constexpr double reserveDeviations = 1.5;

    class SharesAndUrgencyOrder final : public AdmissionOrder {
    public:
        AdmissionQueue::Earlier earlier() const override { return earlierDeadline; }
        bool refusesEarly() const override { return true; }

        KindState* next(const PoolState& pool, Instant now) const override
        {
            if (auto* kind = mostBelowShare(pool, now))
                return kind;
            KindState* best = nullptr;
            for (auto* kind : pool.kinds) {
                if (!kind->queue.empty() && (!best || precedes(*kind, *best)))
                    best = kind;
            }
            return best && best->configuration.urgency == Urgency::Bulk && !leavesRoom(pool, now) ? nullptr : best;
        }

    private:
        // Bulk work beyond its guaranteed share leaves room for the other kinds' next requests. Running work is not
        // preempted, so that these would otherwise wait for a long bulk run to end although their share is unused.
        static bool leavesRoom(const PoolState& pool, Instant now)
        {
            double slots = pool.effectiveSlots();
            double reserve = 0;
            for (const auto* kind : pool.kinds) {
                double offered = kind->offered.at(now);
                if (kind->configuration.urgency == Urgency::Bulk || offered < negligibleSlots)
                    continue;
                double likely = std::min(
                    offered + reserveDeviations * std::sqrt(offered), kind->configuration.guaranteedShare * slots);
                reserve += std::max(0.0, likely - kind->usage.current());
            }
            return reserve <= 0 || pool.running() + reserve < pool.shareSlots();
        }

        static bool precedes(const KindState& a, const KindState& b)
        {
            if (a.configuration.urgency != b.configuration.urgency)
                return a.configuration.urgency < b.configuration.urgency;
            return earlierDeadline(*a.queue.first(), *b.queue.first());
        }

        // The share counts over the last second, so that a kind may catch up after a pause. Its present use is limited
        // to twice the share, or it would be served ahead of all others for most of that second.
        static KindState* mostBelowShare(const PoolState& pool, Instant now)
        {
            double slots = pool.effectiveSlots();
            KindState* best = nullptr;
            double largest = 0;
            for (auto* kind : pool.kinds) {
                if (kind->queue.empty() || kind->configuration.guaranteedShare <= 0)
                    continue;
                double guaranteed = kind->configuration.guaranteedShare * slots;
                double deficit = (guaranteed - kind->usage.average(now)) / guaranteed;
                if (deficit > largest && kind->usage.current() < catchUpFactor * guaranteed) {
                    largest = deficit;
                    best = kind;
                }
            }
            return best;
        }
    };

    class FirstInFirstOutOrder final : public AdmissionOrder {
    public:
        AdmissionQueue::Earlier earlier() const override { return earlierArrival; }
        bool refusesEarly() const override { return false; }

        KindState* next(const PoolState& pool, Instant) const override
        {
            KindState* best = nullptr;
            for (auto* kind : pool.kinds) {
                if (!kind->queue.empty() && (!best || earlierArrival(*kind->queue.first(), *best->queue.first())))
                    best = kind;
            }
            return best;
        }
    };

} // namespace

const AdmissionOrder& admissionOrder(AdmissionRule rule)
{
    static const SharesAndUrgencyOrder shares;
    static const FirstInFirstOutOrder firstInFirstOut;
    if (rule == AdmissionRule::FirstInFirstOut)
        return firstInFirstOut;
    return shares;
}

} // namespace shallotdrift::internal
