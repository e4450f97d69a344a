#pragma once

#include "../Accounts/QuotaLedger.h"
#include "JobTypes.h"
#include "TaskOrder.h"
#include "WorkerLease.h"

#include <map>
#include <optional>
#include <string>

namespace shallotdrift {

// The owner's state of one worker.
struct Worker {
    // A run that is assigned to the worker or that the worker reports.
    struct Run {
        uint32_t number = 0;
        uint64_t startNumber = 0; // see JobTask::startNumber
        Resources allocated;
        Resources held; // of the account's quota; a best-effort run holds cores that it has not reserved
        QuotaLedger::AccountIndex account = QuotaLedger::noAccount;
        bool bestEffort = false;
        bool longRunning = false;
        Milliseconds tailLatencyTarget { 0 };
        Milliseconds estimatedDuration { 0 };
        Milliseconds expectedDuration { 0 }; // as learned from runs of the same kind
        bool startSent = false; // the start order may have reached the worker
        bool startUncertain = false; // the start order got no response, so it may still take effect
        Instant startSentAt {}; // of the last start order of this owner
        uint32_t unansweredStarts = 0; // start orders of this owner that are in flight or got no response
        bool doubtfulSinceTakeover = false; // the previous owner may have had no response to its start order
        bool confirmed = false; // a response covers this run, so reports requested after confirmedAt show its state
        Instant confirmedAt {};
        bool startTimeKnown = true; // confirmedAt is about when the run began; not so for runs of the previous owner
        Instant resendAt {}; // when to resend a start order that got no response
        bool stopRequested = false;
        Instant stopSentAt {};
        int32_t progressPercent = 0;
        Instant lastProgressAt {}; // last rise of progressPercent
        Milliseconds tailLatency { 0 }; // of serving tasks
        uint32_t speedPercent = 100; // of the last ThrottleOrder
        Instant speedChangedAt {};
        Instant belowTargetSince {}; // serving tasks: start of the period with a tail latency well below the target
        uint64_t lastReportNumber = 0; // Worker::reportCount of the last report that lists the run

        // An incarnation of the worker that the owner has not heard of may have started the run, or may still do so.
        bool doubtful() const { return unansweredStarts > 0 || doubtfulSinceTakeover; }
    };

    explicit Worker(WorkerLease initial)
        : lease(initial)
    {
    }

    WorkerInfo info;
    WorkerLease lease;
    std::map<TaskId, Run> runs; // all runs that may be active on the worker
    Resources allocated;
    Resources held; // sum of the holds on the worker, which other tasks may not use; see PlacementHolds
    uint64_t lastAppliedEnd = 0; // sequence number of the last ended run that has been applied
    uint64_t reportCount = 0;
    bool registered = true; // in the registry; false if removed from it, or known only from stored records
    bool reported = false; // has reported to this owner
    bool unresponsive = false; // the last lease renewal failed
    bool expiryRecorded = false; // the stored record of unresponsive workers may list the worker
    std::optional<int64_t> recordedBootTime {}; // of the incarnation whose expiry the previous owner has recorded
    bool cordoned = false; // gets no new runs: the instance is about to leave the pool or to be maintained
    bool maintenanceDue = false; // an open wave will take the instance out for maintenance
    Instant lastResponseAt {};
    Instant drainingSince {}; // set while the registry lists the worker as draining
    Instant quarantinedUntil {};
    double failureScore = 0; // see ServiceScheduler::updateFailureScore()

    // A next owner trusts the expiry in the record, so the lease stays as it is until the removal is stored.
    bool mayExtendLease() const { return !unresponsive && !expiryRecorded && lease.hasClockSample(); }

    Resources freeResources() const
    {
        Resources free = info.capacity;
        free -= allocated;
        return free;
    }
};

} // namespace shallotdrift
