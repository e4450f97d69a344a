#pragma once

#include "../Base/Time.h"

#include <cstdint>

namespace shallotdrift::internal {

// Outcomes of the last attempts on one instance and its ejection.
class InstanceHealth {
public:
    void recordSuccess();
    void recordFailure();

    // 5 failures in a row, or more than half of the last 20 attempts.
    bool failing() const;
    // Of the last 20 attempts; 1 without attempts, always above 0.
    double successRate() const;

    bool ejected() const { return ejected_; }
    void eject(Instant now);
    // The instance answered a probe well.
    void reinstate();
    // The next probe is due later, after twice the time up to 60 s.
    void probeFailed(Instant now);
    bool probeDue(Instant now) const { return ejected_ && !probing_ && now >= nextProbe_; }
    void probeStarted() { probing_ = true; }
    // The probe ended without telling anything about the instance.
    void probeAbandoned() { probing_ = false; }

private:
    uint32_t recentFailures_ = 0; // bit 0: the last attempt; 1: failed
    uint32_t recentCount_ = 0;
    uint32_t failuresInRow_ = 0;
    bool ejected_ = false;
    bool probing_ = false;
    Instant nextProbe_ {};
    Duration probeInterval_ {};
};

} // namespace shallotdrift::internal
