#pragma once

#include <cstdint>

namespace shallotdrift {

// How queued work is ordered and refused.
enum class AdmissionRule : uint8_t {
    SharesAndUrgency, // guaranteed shares, urgency, earliest deadline, early refusal
    FirstInFirstOut, // baseline: order of arrival over all kinds of a pool, no early refusal
};

// How an instance is chosen.
enum class PlacementRule : uint8_t {
    ExpectedWait, // lower expected wait of two random candidates
    LeastOutstanding, // baseline: fewest attempts in flight, success and run time ignored
};

} // namespace shallotdrift
