#pragma once

#include "../Base/Time.h"

#include <algorithm>
#include <cmath>

namespace shallotdrift::internal {

// Slots that all arriving work would occupy, refused work included: arrivals times run time, smoothed over 1 s.
// A queue alone hides a flood once early refusal keeps it short.
class OfferedLoad {
public:
    void add(double runSeconds, Instant now)
    {
        slots_ = at(now) + runSeconds / timeConstantSeconds;
        updatedAt_ = std::max(updatedAt_, now);
    }

    double at(Instant now) const
    {
        if (now <= updatedAt_)
            return slots_;
        return slots_ * std::exp(-std::chrono::duration<double>(now - updatedAt_).count() / timeConstantSeconds);
    }

private:
    static constexpr double timeConstantSeconds = 1;

    double slots_ = 0;
    Instant updatedAt_ {};
};

} // namespace shallotdrift::internal
