#pragma once

#include "../Base/Time.h"

#include <algorithm>
#include <cstdint>

namespace shallotdrift {

struct LeaseOptions {
    Milliseconds duration { 4000 }; // covers a failover of the owner: 2 s until its loss is detected, 1 s to take over
    Milliseconds maximumDuration { 10000 }; // longest lease that a worker accepts
    double clockDriftBound = 0.02; // a worker's clock may run slow by this fraction
    Milliseconds safetyMargin { 100 }; // added to every expiry
    // Longest time for which an owner continues to extend leases after its partition has been taken over.
    Milliseconds previousOwnerGrace { 3500 };
    // A call of an earlier version that got no response takes effect in a later incarnation of its worker within this
    // time or not at all. Those of this version take effect in no other incarnation; see HttpPeer.
    Milliseconds lateCallLimit { 2000 };

    // Longest time on the owner's clock for which a worker keeps a lease of the given duration.
    Duration longest(Milliseconds lease) const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
                   static_cast<double>(lease.count()) / (1 - clockDriftBound)))
            + safetyMargin;
    }
};

// The owner's view of the lease that covers all runs on one worker. The worker stops the runs when the lease expires by
// its own steady clock; the owner computes an upper bound of that moment on its own clock.
//
// A call is a start order or a lease renewal. It carries a lease end on the clock of the incarnation that it is meant
// for. Another incarnation with the same id takes it as a time on its own clock, limited to the longest lease. Each
// incarnation that the owner notices therefore has a stage of its own, which raises the fencing token: once the worker
// has responded to a call of the current stage, it rejects those for former incarnations and of previous owners.
class WorkerLease {
public:
    // Previous owners may have extended the lease and may have left calls in flight. A lease that they have stored as
    // longer than usual lasts until recordedExpiry.
    WorkerLease(const LeaseOptions& options, Instant takenOverAt, Instant recordedExpiry = {}, uint32_t firstStage = 0)
        : options_(&options)
        , stage_(firstStage)
        , inheritedExpiry_(std::max(expiryAfterTakeover(options, takenOverAt), recordedExpiry))
        , unseenExpiry_(takenOverAt + options.previousOwnerGrace + options.lateCallLimit
              + options.longest(options.maximumDuration))
    {
    }

    // When a lease of the usual duration expires that previous owners may still extend for the time of grace.
    static Instant expiryAfterTakeover(const LeaseOptions& options, Instant takenOverAt)
    {
        return takenOverAt + options.previousOwnerGrace + options.longest(options.duration);
    }

    // Lowers the expiry of the incarnation that the previous owner knew. To be called if the previous owner stored the
    // expiry and no longer extends the lease.
    void limitExpiry(Instant latest) { inheritedExpiry_ = std::min(inheritedExpiry_, latest); }

    // Added to the owner's fencing token in calls to the worker.
    uint32_t stage() const { return stage_; }

    // The worker has started again under its id.
    void beginIncarnation(Instant now)
    {
        ++stage_;
        stageConfirmed_ = false;
        sampled_ = false;
        requestedExpiry_ = {};
        lastRequestedEnd_ = {};
        unseenExpiry_
            = std::max(unseenExpiry_, now + options_->lateCallLimit + options_->longest(options_->maximumDuration));
        inheritedExpiry_ = unseenExpiry_;
    }

    // The worker has responded to a call of the given stage, so it accepts no call of an earlier stage any more. Such
    // a call may have given it the longest lease before, unless its incarnation is the one that the stored expiry was
    // about.
    void confirmStage(uint32_t stage, bool knownIncarnation, Instant now)
    {
        if (stage != stage_ || stageConfirmed_)
            return;
        stageConfirmed_ = true;
        if (!knownIncarnation)
            inheritedExpiry_ = std::min(unseenExpiry_, now + options_->longest(options_->maximumDuration));
    }

    bool hasClockSample() const { return sampled_; }

    // Records a reading of the worker's clock, taken at some time before now.
    void sampleClock(Milliseconds clock, Instant now)
    {
        clock_ = clock;
        sampledAt_ = now;
        sampled_ = true;
    }

    // True if a reading in the response to a call that was sent at the time given can't be of the clock that was
    // sampled, so that another incarnation must have responded.
    bool isOtherClock(Milliseconds clock, Instant sentAt) const
    {
        static constexpr Milliseconds tolerance { 20 }; // of both readings, in whole milliseconds, and of timers
        if (!sampled_)
            return false;
        auto elapsed = std::chrono::duration<double, std::milli>(sentAt - sampledAt_).count();
        double slowest = elapsed > 0 ? elapsed * (1 - options_->clockDriftBound) : elapsed;
        return static_cast<double>((clock - clock_ + tolerance).count()) < slowest;
    }

    // Extends the lease and returns its new end on the worker's clock, to be sent to the worker. Requires a clock
    // sample.
    Milliseconds extend(Instant now)
    {
        auto end = clock_ + std::chrono::floor<Milliseconds>(now - sampledAt_) + options_->duration;
        // A call without a response may have taken effect, so the extension counts from the time of sending.
        requestedExpiry_ = std::max(requestedExpiry_, sampledAt_ + options_->longest(end - clock_));
        unseenExpiry_
            = std::max(unseenExpiry_, now + options_->lateCallLimit + options_->longest(options_->maximumDuration));
        lastRequestedEnd_ = std::max(lastRequestedEnd_, end);
        return end;
    }

    // Latest lease end that was requested, on the worker's clock.
    Milliseconds lastRequestedEnd() const { return lastRequestedEnd_; }

    // No run is active after this time that the incarnation known to the owner has started.
    Instant expiresAt() const { return std::max(inheritedExpiry_, requestedExpiry_); }
    // No run is active after this time that the calls sent so far have started, in any incarnation.
    Instant unseenExpiresAt() const { return std::max(expiresAt(), unseenExpiry_); }

private:
    const LeaseOptions* options_;
    uint32_t stage_ = 0;
    bool stageConfirmed_ = false;
    Milliseconds clock_ { 0 };
    Milliseconds lastRequestedEnd_ { 0 };
    Instant sampledAt_ {};
    bool sampled_ = false;
    Instant requestedExpiry_ {}; // by the calls of this stage
    Instant inheritedExpiry_; // by calls of previous owners and of earlier stages, to the known incarnation
    Instant unseenExpiry_; // by all calls, to incarnations that the owner has not heard of
};

} // namespace shallotdrift
