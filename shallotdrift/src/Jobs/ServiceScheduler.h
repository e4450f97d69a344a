#pragma once

#include "JobRecords.h"
#include "PlacementHolds.h"
#include "TaskOrder.h"
#include "WorkerLease.h"
#include "WorkerPacking.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace shallotdrift {

// The current time on both clocks, read at the same moment.
struct Now {
    Instant steady;
    WallTime wall;
};

struct ServiceSchedulerOptions {
    LeaseOptions lease;
    Milliseconds statusRetention { 120000 }; // time for which the status of an ended job can be queried
    Milliseconds contactTimeout { 1800 }; // a worker gets no new runs after this time without a response
    Milliseconds orderRetryInterval { 400 }; // interval at which stops, and starts without a response, are sent again
    Milliseconds initialBackoff { 100 }; // before the next run of a failed task; doubles with each failure
    Milliseconds maximumBackoff { 2000 };
    Milliseconds quarantineDuration { 6000 };
    Milliseconds speculationDelay { 900 }; // time without a response until speculative runs may start on other workers
    Milliseconds takeoverSettleTime { 1200 }; // time until reports show the stops that the previous owner ordered
    Milliseconds overdueCompletionTime { 8000 }; // target time to complete jobs that miss their soft deadline
    // A draining worker serves for at least this time, counted from the moment when its entry says so.
    Milliseconds drainTime { 2000 };
    size_t maximumRecordBytes = 262144; // of a stored record, with its key
};

struct StartOrder {
    std::string worker {};
    TaskId task {};
    uint32_t runNumber = 0;
    std::string payload {};
    std::string checkpoint {};
    bool resend = false; // an earlier order got no response; the run is already stored
};

struct StopOrder {
    std::string worker {};
    TaskId task {};
    uint32_t runNumber = 0;
    bool firstSend = false; // not a retry
};

struct ThrottleOrder {
    std::string worker {};
    TaskId task {};
    uint32_t runNumber = 0;
    uint32_t speedPercent = 100; // 100: not throttled
};

// The owner's state of one worker.
struct Worker {
    // A run that is assigned to the worker or that the worker reports.
    struct Run {
        uint32_t number = 0;
        Resources allocated;
        bool bestEffort = false;
        bool longRunning = false;
        Milliseconds tailLatencyTarget { 0 };
        Milliseconds estimatedDuration { 0 };
        bool startSent = false; // the start order may have reached the worker
        bool startUncertain = false; // the start order got no response, so it may still take effect
        uint32_t unansweredStarts = 0; // start orders of this owner that are in flight or got no response
        bool confirmed = false; // a response covers this run, so reports requested after confirmedAt show its state
        Instant confirmedAt {};
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
    bool cordoned = false; // gets no new runs: the instance is about to leave the pool or to be maintained
    bool maintenanceDue = false; // an open wave will take the instance out for maintenance
    Instant lastResponseAt {};
    Instant drainingSince {}; // set while the registry lists the worker as draining
    Instant quarantinedUntil {};
    double failureScore = 0; // see ServiceScheduler::updateFailureScore()

    // A next owner trusts the expiry in the record, so the lease stays as it is until the removal is stored.
    bool mayExtendLease() const { return !unresponsive && !expiryRecorded; }

    Resources freeResources() const
    {
        Resources free = info.capacity;
        free -= allocated;
        return free;
    }
};

// The scheduler of one service: decides which task runs on which worker. Uses no sockets, threads or clocks. The caller
// sends start orders only once the records of takeChangedRecords() are stored.
class ServiceScheduler {
public:
    ServiceScheduler(std::string service, const ServiceSchedulerOptions&, Instant now);

    const std::string& service() const { return service_; }
    void setQueues(std::map<std::string, QueueConfiguration> queues) { queues_ = std::move(queues); }

    // Jobs. add() takes a new job; restore() and restoreEnded() take jobs that were read from the store.
    void add(Job&&);
    void restore(Job&&);
    void restoreEnded(const std::string& id, JobStatus, bool started, WallTime endedAt);
    // To be called after the last restored job. Whether the stored runs are active is unknown until their workers
    // report.
    void finishRestore(const Now&);
    // Null if the job is unknown, or has ended and has no active runs.
    Job* find(const std::string& id);
    // Status of a job that is active or has ended within the status retention; nullopt for other jobs. Also sets
    // *started to Job::started() if the status is known.
    std::optional<JobStatus> statusOf(const std::string& id, bool* started = nullptr) const;
    // False if the job is unknown. An ended job keeps its status.
    bool cancel(const std::string& id, const Now&);
    // Number of active jobs of the queue that have not started, not counting recurring jobs.
    size_t pendingJobCount(const std::string& queue) const;
    const std::map<std::string, Job>& jobs() const { return jobs_; }

    // Workers.
    void updateWorker(const WorkerInfo&, Instant now);
    // The worker is no longer in the registry; its runs may still be active.
    void unregisterWorker(const std::string& id);
    // Sets the instances that get no new runs and those that are due for maintenance, valid until the time given. Each
    // cordoned instance is mapped to the service that it is moving to, which may already use it, or to an empty string.
    void setCordons(
        const std::map<std::string, std::string>& cordoned, const std::set<std::string>& maintenanceDue, Instant until);
    std::map<std::string, Worker>& workers() { return workers_; }
    const std::map<std::string, Worker>& workers() const { return workers_; }
    // Applies a worker's report that was requested at the time given. The next stopsDue() includes reported runs that
    // should not be active. Returns true if there may be new tasks to place or changes to store.
    bool onReport(const std::string& worker, const WorkerReport&, Instant requestedAt, const Now&);
    // To be called right before a start order is sent. Returns false if the start is no longer needed, for example
    // because the job was cancelled while the record was being stored. The run is then removed, unless an earlier order
    // for it was sent.
    bool beginStart(const StartOrder&, const Now&);
    void onStartResponse(const StartOrder&, StartRefusal, const Now&);
    void onNoStartResponse(const StartOrder&, const Now&);
    void onStopResponse(const StopOrder&, const Now&);
    // To be called when a lease renewal has failed. The worker gets no new runs until it reports again.
    void markUnresponsive(const std::string& worker);
    // Ends all runs on the worker, after its lease has expired or a new incarnation has replaced it.
    void endAllRuns(const std::string& worker, const Now&);
    // Ends the runs of workers whose leases have expired, removes workers without runs that are no longer in the
    // registry, and drops cordons that were not renewed.
    void expireLeases(const Now&);

    // Decisions. plan() places waiting tasks and decides on evictions.
    std::vector<StartOrder> plan(const Now&);
    // Stops to send now, retries included.
    std::vector<StopOrder> stopsDue(const Now&);
    // Slows down best-effort tasks beside a serving task that is near its latency target, and speeds them up again.
    std::vector<ThrottleOrder> throttleBestEffort(const Now&);

    // Changes of the stored state since the last call.
    std::vector<StateRecord> takeChangedRecords(const Now&);
    // To be called when the records of the last takeChangedRecords() are stored.
    void onRecordsStored();
    // To be called when the store will never take the records of the job. The job fails, so that its state becomes
    // small.
    void failUnstorable(const std::string& id, const Now&);
    // Key of the record that lists unresponsive workers and for how long their leases are valid from then on, so that a
    // new owner need not wait for a whole lease again.
    std::string unresponsiveKey() const;
    void restoreUnresponsive(const std::string& value, Instant now);

    // Room that long-running tasks hold on workers.
    const PlacementHolds& holds() const { return holds_; }

    // Demand of the service, from which the instance planner derives the size of its pool.
    struct Demand {
        double allocatedCores = 0; // allocated to runs
        double longRunningCores = 0; // requested by long-running tasks, whether they are placed or waiting
        double waitingCores = 0; // requested by waiting tasks whose dependencies are completed
        // Cores needed to complete the accepted jobs by their soft deadlines, excluding long-running tasks.
        double requiredCores = 0;
        double overdueCores = 0; // part of requiredCores for jobs that can no longer meet their soft deadlines
        uint32_t minimumWorkers = 0; // workers onto which all long-running tasks can be packed
        double longRunningMemory = 0; // MB, requested by long-running tasks
        double requiredMemory = 0; // MB, for the same work as requiredCores
    };
    Demand demand(const Now&) const;

    // Cores of the registered workers by availability, for the log.
    struct Capacity {
        double schedulableCores = 0;
        double allocatedCores = 0; // part of schedulableCores that is allocated to runs
        double cordonedCores = 0; // of cordoned and draining workers
        double unresponsiveCores = 0; // of unresponsive workers and those that have not reported yet
        double quarantinedCores = 0;
    };
    Capacity capacity(Instant now) const;

private:
    struct EndedJob {
        JobStatus status = JobStatus::Completed;
        bool started = false;
        WallTime endedAt {};
    };

    Worker& findOrAddWorker(const std::string& id, Instant now);
    void endRunsOfFormerIncarnation(Worker&, const WorkerReport&, Instant requestedAt, const Now&);
    bool updateUnresponsive(Instant now);
    std::string encodeUnresponsive(Instant now) const;
    Worker::Run* findRun(const std::string& worker, const TaskId&, uint32_t runNumber);
    void assign(Worker&, const TaskId&, JobTask&, const StepSpec&, uint32_t runNumber);
    void applyProgress(Worker&, const RunProgress&, const Now&);
    void applyEnd(Worker&, const EndedRun&, const Now&);
    // Removes a run that has ended or never started. Its task waits again unless the outcome completes the task or
    // fails the job.
    void endRun(const std::string& worker, const TaskId&, uint32_t runNumber, RunOutcome, const std::string& checkpoint,
        const Now&);
    void applyCordons(Worker&) const;
    void completeTask(Job&, const TaskId&, const Now&);
    void recordFailure(Job&, const TaskId&, JobTask&, uint32_t runNumber, const Now&);
    void stopRuns(Job&);
    void updateFailureScore(Worker&, const JobTask&, RunOutcome, const Now&);
    bool isUnavailable(const JobTask&) const;
    bool quarantine(Worker&, const Now&);
    void checkWorkerHealth(const Now&);
    void releaseForSpeculation(Worker&, const Now&);
    void planEvictions(const Now&);
    // The workers of one plan(), and the requests for resources that none of them could fit.
    struct Candidates {
        std::vector<Worker*> workers;
        std::vector<Resources> tooLarge;
        // True if a smaller or equal request did not fit.
        bool isTooLarge(const Resources&) const;
    };
    void resendStarts(std::vector<StartOrder>&, const Now&);
    void placeJob(Job&, Candidates&, std::vector<StartOrder>&, const Now&);
    void placeStep(Job&, Occurrence&, uint32_t step, Candidates&, std::vector<StartOrder>&, const Now&);
    void placeLongRunningStep(
        Job&, Occurrence&, uint32_t step, const std::vector<Worker*>&, std::vector<StartOrder>&, const Now&);
    bool placeGang(Job&, Occurrence&, uint32_t step, std::vector<Worker*>&, std::vector<StartOrder>&);
    Worker* chooseWorker(const StepSpec&, const TaskId&, const std::vector<Worker*>&) const;
    bool hasPlaceFor(const Worker&, const StepSpec&, const TaskId&) const;
    void holdRoom(const StepSpec&, const TaskId&, const std::vector<Worker*>&);
    void setHold(const TaskId&, Worker&, const Resources&);
    void releaseHold(const TaskId&);
    void releaseObsoleteHolds(const Now&);
    bool mayStillNeedHold(const TaskId&) const;
    uint32_t workersForLongRunningTasks(Instant now) const;
    StartOrder makeStartOrder(const Job&, const TaskId&, const JobTask&) const;
    bool isSchedulable(const Worker&, Instant now) const;
    std::vector<Worker*> schedulableWorkers(Instant now);
    std::vector<Job*> jobsInSchedulingOrder(const Now&);
    WallTime softDeadline(const Job&) const;

    std::string service_;
    ServiceSchedulerOptions options_;
    Instant takeoverAt_;
    Instant settledAt_ {}; // from this time on, reports show the stops that the previous owner ordered
    std::map<std::string, QueueConfiguration> queues_;
    std::map<std::string, Job> jobs_; // active jobs, and ended ones that still have runs to stop
    std::unordered_map<std::string, EndedJob> ended_;
    std::map<WallTime, std::vector<std::string>> endedByExpiry_;
    std::map<std::string, Worker> workers_;
    PlacementHolds holds_;
    std::vector<PackedStep> unplaced_; // long-running tasks that the last plan() could neither place nor hold room for
    std::set<std::string> unresponsive_; // unresponsive workers with runs, as last recorded
    Instant unresponsiveRecordedAt_ {};
    std::vector<StopOrder> staleRuns_; // stops of runs reported beside a newer run of the same task on the same worker
    std::map<std::string, std::string> cordons_; // instance -> service that it is moving to
    std::set<std::string> maintenanceDue_; // instances
    Instant cordonsUntil_ {};
    bool hasUncertainStarts_ = false; // there may be starts without a response, which have to be sent again
    Instant healthCheckedAt_ {};
};

} // namespace shallotdrift
