#include "CostModel.h"

#include <algorithm>
#include <cmath>

namespace shallotdrift::internal {

static constexpr double halfLifeSeconds = 60;
// The prior counts as this many completions, so that a handful of real ones outweighs a wrong setting.
static constexpr double priorWeight = 2;

static double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

size_t CostModel::sizeClassOf(Milliseconds declaredRuntime)
{
    if (declaredRuntime.count() <= 0)
        return 0;
    size_t result = 1;
    for (int64_t limit = 4; declaredRuntime.count() > limit && result + 1 < sizeClassCount; limit *= 4)
        ++result;
    return result;
}

void CostModel::setExpectedRuntime(Milliseconds runtime) { expectedSeconds_ = std::max(secondsOf(runtime), 0.0001); }

void CostModel::Average::decay(Instant now)
{
    if (now <= updatedAt)
        return;
    double factor = std::exp2(-secondsOf(now - updatedAt) / halfLifeSeconds);
    weight *= factor;
    sum *= factor;
    sumOfSquares *= factor;
    failures *= factor;
    updatedAt = now;
}

void CostModel::Average::add(double seconds)
{
    weight += 1;
    sum += seconds;
    sumOfSquares += seconds * seconds;
}

void CostModel::record(size_t sizeClass, double seconds, Instant now)
{
    for (Average* average : { &classes_[sizeClass], &overall_ }) {
        average->decay(now);
        average->add(seconds);
    }
}

void CostModel::recordSuccess(size_t sizeClass, Duration runtime, Instant now)
{
    record(sizeClass, secondsOf(runtime), now);
}

void CostModel::recordFailure(size_t sizeClass, Instant now)
{
    for (Average* average : { &classes_[sizeClass], &overall_ }) {
        average->decay(now);
        average->failures += 1;
    }
}

void CostModel::recordAtLeast(size_t sizeClass, Duration runtime, Instant now)
{
    // Only a time above the mean tells something; a shorter one would pull the mean down.
    double seconds = secondsOf(runtime);
    if (seconds > estimate(sizeClass, now).meanSeconds)
        record(sizeClass, seconds, now);
}

CostModel::Estimate CostModel::estimate(size_t sizeClass, Instant now) const
{
    Average overall = overall_;
    overall.decay(now);
    // The declared run time itself is not used: it may be wrong by 10x, so it only names the class that is learned.
    double prior = (overall.sum + priorWeight * expectedSeconds_) / (overall.weight + priorWeight);
    Average learned = classes_[sizeClass];
    learned.decay(now);
    Estimate result;
    double weight = learned.weight + priorWeight;
    result.meanSeconds = (learned.sum + priorWeight * prior) / weight;
    double meanOfSquares = (learned.sumOfSquares + priorWeight * prior * prior) / weight;
    result.deviationSeconds = std::sqrt(std::max(0.0, meanOfSquares - result.meanSeconds * result.meanSeconds));
    result.failureRate = learned.failures / (learned.weight + learned.failures + priorWeight);
    return result;
}

} // namespace shallotdrift::internal
