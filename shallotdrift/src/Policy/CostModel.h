#pragma once

#include "../Base/Time.h"

#include <array>
#include <cstddef>

namespace shallotdrift::internal {

// Learned run time and failure rate of one kind of work, for each size class. Old observations lose half their
// weight every 60 s.
class CostModel {
public:
    static constexpr size_t sizeClassCount = 12;

    struct Estimate {
        double meanSeconds = 0;
        double deviationSeconds = 0;
        double failureRate = 0;

        // Exceeded by about one run in six. Work that starts with only its mean left misses its deadline half the time.
        double likelySeconds() const { return meanSeconds + deviationSeconds; }
    };

    // Size class of a declared run time: 0 when none is declared, then steps of a factor of four from 4 ms on.
    static size_t sizeClassOf(Milliseconds declaredRuntime);

    // Figure used until completions teach a better one.
    void setExpectedRuntime(Milliseconds);

    void recordSuccess(size_t sizeClass, Duration runtime, Instant now);
    void recordFailure(size_t sizeClass, Instant now);
    // The attempt was given up after this time; its whole run time is not known.
    void recordAtLeast(size_t sizeClass, Duration runtime, Instant now);

    Estimate estimate(size_t sizeClass, Instant now) const;

private:
    struct Average {
        double weight = 0; // of successes
        double sum = 0;
        double sumOfSquares = 0;
        double failures = 0;
        Instant updatedAt {};

        void decay(Instant now);
        void add(double seconds);
    };

    void record(size_t sizeClass, double seconds, Instant now);

    std::array<Average, sizeClassCount> classes_ {};
    Average overall_;
    double expectedSeconds_ = 0.2;
};

} // namespace shallotdrift::internal
