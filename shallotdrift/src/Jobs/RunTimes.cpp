#include "RunTimes.h"

#include <algorithm>
#include <cmath>

namespace shallotdrift {

static constexpr size_t maximumKinds = 1000; // further kinds are not learned
static constexpr size_t minimumRuns = 5;
static constexpr double weightOfNewRun = 0.1;
static constexpr int minimumProgressPercent = 10; // below, the progress is too coarse to extrapolate
static constexpr int overrunDivisor = 4;
static constexpr Milliseconds minimumOverrun { 50 };

static double logOf(Milliseconds time) { return std::log(static_cast<double>(std::max<int64_t>(time.count(), 1))); }

void RunTimes::record(const std::string& kindName, Milliseconds estimated, Milliseconds actual)
{
    auto found = kinds_.find(kindName);
    if (found == kinds_.end()) {
        if (kinds_.size() >= maximumKinds)
            return;
        found = kinds_.emplace(kindName, Kind {}).first;
    }
    auto& kind = found->second;
    double duration = logOf(actual);
    double ratio = duration - logOf(estimated);
    double weight = std::max(weightOfNewRun, 1.0 / static_cast<double>(++kind.runs));
    kind.durationError += weight * (std::abs(duration - kind.logDuration) - kind.durationError);
    kind.ratioError += weight * (std::abs(ratio - kind.logRatio) - kind.ratioError);
    kind.logDuration += weight * (duration - kind.logDuration);
    kind.logRatio += weight * (ratio - kind.logRatio);
}

Milliseconds RunTimes::predict(const std::string& kindName, Milliseconds estimated) const
{
    auto found = kinds_.find(kindName);
    if (found == kinds_.end() || found->second.runs < minimumRuns)
        return estimated;
    const auto& kind = found->second;
    double logDuration = kind.ratioError < kind.durationError ? logOf(estimated) + kind.logRatio : kind.logDuration;
    return Milliseconds { std::llround(std::exp(logDuration)) };
}

Instant RunTimes::expectedEnd(
    Instant startedAt, Milliseconds predicted, int progressPercent, Instant progressAt, Instant now)
{
    auto end = startedAt + predicted;
    if (progressPercent >= minimumProgressPercent && progressPercent <= 100)
        end = startedAt + (progressAt - startedAt) * 100 / progressPercent;
    if (end > now)
        return end;
    return now + std::max<Duration>((now - startedAt) / overrunDivisor, minimumOverrun);
}

} // namespace shallotdrift
