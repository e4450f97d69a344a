#include "FloodModel.h"

#include <algorithm>
#include <cmath>

namespace shallotdrift::internal {

static constexpr double smoothingSeconds = 2;
static constexpr double noise = 0.3; // of the demand
static constexpr double recentSmoothingSeconds = 10;
// A flood ends when demand stays below this part of the home slots; the gap to its start is the hysteresis.
static constexpr double endFraction = 0.5;
static constexpr Duration endAfter = std::chrono::seconds(2);
static constexpr double learningWeight = 0.3; // of the newest flood
// Duration assumed before the first flood of a pool has ended.
static constexpr double unknownFloodSeconds = 20;
// One is enough: a wrong guess costs a few moves of unused instances, and a flood that is met unprepared loses work
// for the time of a move.
static constexpr uint32_t floodsBeforePrediction = 1;
static constexpr double confidenceNeeded = 0.7;
// A start that scatters by more than this part of the gap is not worth moving instances for.
static constexpr double regularityNeeded = 0.4;
// A predicted flood that has not come by this part of the gap beyond its time is given up.
static constexpr double patience = 0.5;

static double secondsBetween(Instant from, Instant to) { return std::chrono::duration<double>(to - from).count(); }

static double smoothed(double old, double value, double seconds, double timeConstant)
{
    // A small rise is noise of the arrivals and is averaged; a large one is the start of a flood.
    if (value > old * (1 + noise))
        return value;
    return value + (old - value) * std::exp(-std::max(0.0, seconds) / timeConstant);
}

static double learned(double old, double value) { return old > 0 ? old + learningWeight * (value - old) : value; }

void FloodModel::update(const std::string& name, double demandSlots, double homeSlots, Instant now)
{
    auto& pool = pools_[name];
    double seconds = secondsBetween(pool.updatedAt, now);
    pool.updatedAt = now;
    pool.current = smoothed(pool.current, demandSlots, seconds, smoothingSeconds);
    pool.recent = smoothed(pool.recent, demandSlots, seconds, recentSmoothingSeconds);
    if (demandSlots >= homeSlots * endFraction)
        pool.belowSince = now;
    if (!pool.flooded && demandSlots > homeSlots)
        begin(name, pool, now);
    else if (pool.flooded && now - pool.belowSince >= endAfter)
        end(pool, now);
    if (pool.flooded)
        pool.peak = std::max(pool.peak, demandSlots);
}

void FloodModel::begin(const std::string& name, Pool& pool, Instant now)
{
    pool.flooded = true;
    pool.floodStart = now;
    pool.peak = 0;
    if (!lastFlood_.empty() && lastFlood_ != name) {
        auto& succession = successions_[lastFlood_][name];
        double gap = secondsBetween(lastFloodStart_, now);
        succession.gapDeviation
            = succession.count ? learned(succession.gapDeviation, std::abs(gap - succession.gapSeconds)) : 0;
        succession.gapSeconds = learned(succession.gapSeconds, gap);
        ++succession.count;
    }
    lastFlood_ = name;
    lastFloodStart_ = now;
}

void FloodModel::end(Pool& pool, Instant now)
{
    pool.flooded = false;
    pool.learnedSeconds = learned(pool.learnedSeconds, secondsBetween(pool.floodStart, now));
    pool.learnedPeak = learned(pool.learnedPeak, pool.peak);
}

bool FloodModel::flooded(const std::string& name) const
{
    auto pool = pools_.find(name);
    return pool != pools_.end() && pool->second.flooded;
}

double FloodModel::currentSlots(const std::string& name) const
{
    auto pool = pools_.find(name);
    return pool == pools_.end() ? 0 : pool->second.current;
}

double FloodModel::recentSlots(const std::string& name) const
{
    auto pool = pools_.find(name);
    return pool == pools_.end() ? 0 : pool->second.recent;
}

double FloodModel::remainingSeconds(const std::string& name, Instant now) const
{
    auto pool = pools_.find(name);
    if (pool == pools_.end() || !pool->second.flooded)
        return 0;
    double elapsed = secondsBetween(pool->second.floodStart, now);
    double expected = pool->second.learnedSeconds > 0 ? pool->second.learnedSeconds : unknownFloodSeconds;
    return elapsed < expected ? expected - elapsed : elapsed;
}

std::optional<FloodModel::Prediction> FloodModel::next(Instant now) const
{
    auto successors = successions_.find(lastFlood_);
    if (successors == successions_.end())
        return std::nullopt;
    uint32_t total = 0;
    auto best = successors->second.begin();
    for (auto candidate = best; candidate != successors->second.end(); ++candidate) {
        total += candidate->second.count;
        if (candidate->second.count > best->second.count)
            best = candidate;
    }
    const auto& [name, succession] = *best;
    double confidence = static_cast<double>(succession.count) / total;
    double late = secondsBetween(lastFloodStart_, now) - succession.gapSeconds;
    bool regular = succession.gapDeviation <= regularityNeeded * succession.gapSeconds;
    if (succession.count < floodsBeforePrediction || confidence < confidenceNeeded || !regular
        || late > patience * succession.gapSeconds)
        return std::nullopt;
    Prediction prediction;
    prediction.pool = name;
    prediction.expectedStart
        = lastFloodStart_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(succession.gapSeconds));
    prediction.peakSlots = pools_.at(name).learnedPeak;
    prediction.confidence = confidence;
    return prediction;
}

} // namespace shallotdrift::internal
