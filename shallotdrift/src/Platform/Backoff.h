#pragma once

#include "../Base/Time.h"

#include <cstdint>
#include <random>

namespace shallotdrift::internal {

// Exponential back-off with full jitter: each delay is uniform between zero and a bound that doubles per failure.
class Backoff {
public:
    Backoff(Milliseconds first, Milliseconds maximum, uint64_t seed);

    // Delay before the next attempt after one more failure.
    Milliseconds next();
    // Called after a success.
    void reset();

private:
    Milliseconds first_;
    Milliseconds maximum_;
    Milliseconds bound_;
    std::mt19937_64 random_;
};

} // namespace shallotdrift::internal
