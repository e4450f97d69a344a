#pragma once

#include "../Base/Time.h"

#include <algorithm>

namespace shallotdrift {

struct LeaseOptions {
    Milliseconds duration { 4000 }; // covers a failover of the owner: 2 s until its loss is detected, 1 s to take over
    Milliseconds maximumDuration { 10000 }; // longest lease that a worker accepts
    double clockDriftBound = 0.02; // a worker's clock may run slow by this fraction
    Milliseconds safetyMargin { 100 }; // added to every expiry
    // Longest time for which an owner continues to extend leases after its partition has been taken over.
    Milliseconds previousOwnerGrace { 1500 };
};

// The owner's view of the lease that covers all runs on one worker. The worker stops the runs when the lease expires by
// its own steady clock; the owner computes an upper bound of that moment on its own clock from samples of the worker's
// clock and the bound on clock drift.
class WorkerLease {
public:
    // A previous owner may have extended the lease, and may keep extending it until it notices that it has lost
    // ownership. The initial expiresAt() allows for that.
    WorkerLease(const LeaseOptions& options, Instant now)
        : options_(&options)
        , expiresAt_(now + options.previousOwnerGrace + scaled(options.duration) + options.safetyMargin)
    {
    }

    // The lease of a new incarnation of a worker that this owner already sends requests to. Requests for the former
    // incarnation may still reach it. They carry lease ends on another clock, which the worker limits to
    // maximumDuration.
    static WorkerLease ofNewIncarnation(const LeaseOptions& options, Instant now)
    {
        WorkerLease lease(options, now);
        lease.expiresAt_
            = now + options.previousOwnerGrace + lease.scaled(options.maximumDuration) + options.safetyMargin;
        lease.newIncarnation_ = true;
        return lease;
    }

    // Lowers expiresAt() to the time given, if that is earlier. To be called when the previous owner no longer extends
    // the lease and it is known when the lease expires.
    void limitExpiry(Instant latest) { expiresAt_ = std::min(expiresAt_, latest); }

    bool hasClockSample() const { return sampled_; }

    // Records a reading of the worker's clock, taken at some time before now.
    void sampleClock(Milliseconds clock, Instant now)
    {
        if (!sampled_ && !newIncarnation_) // the worker has seen this owner's fencing token and rejects previous owners
            expiresAt_ = std::min(expiresAt_, now + scaled(options_->duration) + options_->safetyMargin);
        clock_ = clock;
        sampledAt_ = now;
        sampled_ = true;
    }

    // Extends the lease and returns its new end on the worker's clock, to be sent to the worker. Requires a clock
    // sample.
    Milliseconds extend(Instant now)
    {
        auto end = clock_ + std::chrono::floor<Milliseconds>(now - sampledAt_) + options_->duration;
        // A request without a response may have taken effect, so the extension counts from the time of sending.
        expiresAt_ = std::max(expiresAt_, sampledAt_ + scaled(end - clock_) + options_->safetyMargin);
        lastRequestedEnd_ = std::max(lastRequestedEnd_, end);
        return end;
    }

    // Latest lease end that was requested, on the worker's clock. Sent to unresponsive workers instead of a later end,
    // so that their leases expire.
    Milliseconds lastRequestedEnd() const { return lastRequestedEnd_; }

    // No run that was started under the lease is active after this time.
    Instant expiresAt() const { return expiresAt_; }

private:
    // Longest time on the owner's clock in which the worker's clock advances by the time given.
    Duration scaled(Milliseconds time) const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
            static_cast<double>(time.count()) / (1 - options_->clockDriftBound)));
    }

    const LeaseOptions* options_;
    Milliseconds clock_ { 0 };
    Milliseconds lastRequestedEnd_ { 0 };
    Instant sampledAt_ {};
    bool sampled_ = false;
    bool newIncarnation_ = false;
    Instant expiresAt_;
};

} // namespace shallotdrift
