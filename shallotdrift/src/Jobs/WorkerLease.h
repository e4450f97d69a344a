#pragma once

#include "../Base/Time.h"

#include <algorithm>

namespace shallotdrift {

struct LeaseOptions {
    Milliseconds duration { 4000 }; // bridges the loss of an owner: 2 s until it is noticed, 1 s to take over
    Milliseconds maximumDuration { 10000 }; // the longest lease that a worker grants
    double clockDriftBound = 0.02; // a worker's clock may be this much slow
    Milliseconds safetyMargin { 100 };
    Milliseconds previousOwnerGrace {
        1500
    }; // time for which an owner may ask for leases after it has lost its partition
};

// The lease on everything that runs on one worker, measured on the worker's own steady clock.
class WorkerLease {
public:
    // An earlier owner may have asked for a lease, and goes on to do so until it notices that it is not the owner.
    WorkerLease(const LeaseOptions& options, Instant now)
        : options_(&options)
        , expiresAt_(now + options.previousOwnerGrace + scaled(options.duration) + options.safetyMargin)
    {
    }

    // The earlier owner has stopped to ask, and the lease lapses at this moment.
    void limitExpiry(Instant at) { expiresAt_ = std::min(expiresAt_, at); }

    bool hasClockSample() const { return sampled_; }

    // The worker's clock showed this value at some moment before now.
    void sampleClock(Milliseconds clock, Instant now)
    {
        if (!sampled_) // it has seen this owner's token and obeys no earlier owner any more
            expiresAt_ = std::min(expiresAt_, now + scaled(options_->duration) + options_->safetyMargin);
        clock_ = clock;
        sampledAt_ = now;
        sampled_ = true;
    }

    // End of a lease to ask for now, on the worker's clock. Needs a sample.
    Milliseconds extend(Instant now)
    {
        auto end = clock_ + std::chrono::floor<Milliseconds>(now - sampledAt_) + options_->duration;
        // An order without an answer may be carried out, so the lease counts from the sending on.
        expiresAt_ = std::max(expiresAt_, sampledAt_ + scaled(end - clock_) + options_->safetyMargin);
        lastRequestedEnd_ = std::max(lastRequestedEnd_, end);
        return end;
    }

    // The latest end that has been asked for. To be used for a worker that does not answer: its lease must lapse.
    Milliseconds lastRequestedEnd() const { return lastRequestedEnd_; }

    // After this moment nothing that was started under the lease runs.
    Instant expiresAt() const { return expiresAt_; }

private:
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
    Instant expiresAt_;
};

} // namespace shallotdrift
