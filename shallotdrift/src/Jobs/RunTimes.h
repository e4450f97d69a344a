#pragma once

#include "../Base/Time.h"

#include <string>
#include <unordered_map>

namespace shallotdrift {

// How long runs take, learned from those that have ended. Clients' estimates may be far off, but runs of one kind
// resemble each other: in their duration, or in the ratio of duration and estimate. Whichever has predicted the kind
// better is used.
class RunTimes {
public:
    void record(const std::string& kind, Milliseconds estimated, Milliseconds actual);
    // The estimate itself while too few runs of the kind have ended.
    Milliseconds predict(const std::string& kind, Milliseconds estimated) const;

    // When a run ends that has been active since startedAt. The reported progress goes before the prediction, and a
    // prediction that has passed is put off in proportion to the time that the run has taken.
    static Instant expectedEnd(
        Instant startedAt, Milliseconds predicted, int progressPercent, Instant progressAt, Instant now);

private:
    // Averages of logarithms, since durations vary by factors.
    struct Kind {
        double logDuration = 0;
        double logRatio = 0;
        double durationError = 0;
        double ratioError = 0;
        size_t runs = 0;
    };

    std::unordered_map<std::string, Kind> kinds_;
};

} // namespace shallotdrift
