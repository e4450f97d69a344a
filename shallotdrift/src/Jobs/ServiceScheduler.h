#pragma once

#include "Job.h"
#include "WorkerLease.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace shallotdrift {

inline bool operator<(const TaskId& left, const TaskId& right)
{
    return std::tie(left.job, left.occurrence, left.step, left.index)
        < std::tie(right.job, right.occurrence, right.step, right.index);
}

// The current time on both clocks, read at the same moment.
struct Now {
    Instant steady;
    WallTime wall;
};

struct ServiceSchedulerOptions {
    LeaseOptions lease;
    Milliseconds statusRetention { 120000 }; // time for which the status of an ended job can be queried
    Milliseconds contactTimeout { 1800 }; // a worker without a response for so long gets no new runs
    Milliseconds orderRetryInterval { 400 }; // of stops, and of starts without a response
    Milliseconds initialBackoff { 100 }; // before the next run of a failed task; doubles with each failure
    Milliseconds maximumBackoff { 2000 };
    Milliseconds quarantineDuration { 6000 };
    Milliseconds speculationDelay { 900 }; // without a response, until speculative runs start on other workers
    Milliseconds takeoverSettleTime { 1200 }; // until reports show the stops that a previous owner ordered
    Milliseconds overdueCompletionTime { 8000 }; // target time to complete jobs that miss their soft deadline
};

struct StartOrder {
    std::string worker {};
    TaskId task {};
    uint32_t runNumber = 0;
    std::string payload {};
    std::string checkpoint {};
    bool resend = false; // the run is already stored
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

// A change of the stored state; an empty value removes the key.
struct StateRecord {
    std::string key {};
    std::string value {};
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
        bool startSent = false; // the order may have reached the worker
        bool startUncertain = false; // the order got no response, so it may still take effect
        bool confirmed = false; // a response covers this run, so reports requested after confirmedAt show its state
        Instant confirmedAt {};
        Instant resendAt {}; // of a start without a response
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
    std::map<TaskId, Run> runs; // all that may be active on the worker
    Resources allocated;
    uint64_t lastAppliedEnd = 0; // sequence number of the last ended run that the state includes
    uint64_t reportCount = 0;
    bool registered = true; // listed in the registry
    bool reported = false; // has reported to this owner
    bool unresponsive = false; // the last lease renewal failed
    bool cordoned = false; // gets no new runs: the instance is about to leave the pool or to be maintained
    bool maintenanceDue = false; // an open wave will take the instance out for maintenance
    Instant lastResponseAt {};
    Instant quarantinedUntil {};
    double failureScore = 0; // see ServiceScheduler::updateFailureScore()

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
    // Null if the job is unknown or has ended without active runs.
    Job* find(const std::string& id);
    // Status of an active job, or of one that ended within the status retention. Empty for others.
    std::optional<JobStatus> statusOf(const std::string& id, bool* started = nullptr) const;
    // False if the job is unknown. An ended job keeps its status.
    bool cancel(const std::string& id, const Now&);
    // Active jobs of the queue that have not started, without recurring ones.
    size_t pendingJobCount(const std::string& queue) const;
    const std::map<std::string, Job>& jobs() const { return jobs_; }

    // Workers.
    void updateWorker(const WorkerInfo&, Instant now);
    // The worker is no longer in the registry; its runs may still be active.
    void unregisterWorker(const std::string& id);
    // Sets the instances that get no new runs and those that are due for maintenance, valid until the time given. Each
    // cordoned instance comes with the service that it is moving to, which may use it already; empty: none.
    void setCordons(
        const std::map<std::string, std::string>& cordoned, const std::set<std::string>& maintenanceDue, Instant until);
    std::map<std::string, Worker>& workers() { return workers_; }
    const std::map<std::string, Worker>& workers() const { return workers_; }
    // Applies a worker's report, which was requested at the time given. Runs that should not be active are stopped with
    // the next orders. True if there may be new tasks to place or changes to store.
    bool onReport(const std::string& worker, const WorkerReport&, Instant requestedAt, const Now&);
    // To be called right before an order is sent. False if the start is no longer needed, for example because the job
    // was cancelled while the record was being stored; the run is then removed if it was never sent.
    bool beginStart(const StartOrder&, const Now&);
    void onStartResponse(const StartOrder&, StartRefusal, const Now&);
    void onNoStartResponse(const StartOrder&, const Now&);
    void onStopResponse(const StopOrder&, const Now&);
    // A lease renewal failed. The worker gets no new runs until it reports again.
    void markUnresponsive(const std::string& worker);
    // All runs on the worker have ended: its lease expired or another incarnation has taken its place.
    void endAllRuns(const std::string& worker, const Now&);
    // Ends the runs of workers whose leases have expired, removes workers that are gone and drops cordons that were not
    // renewed.
    void expireLeases(const Now&);

    // Decisions. plan() places waiting tasks and decides on evictions.
    std::vector<StartOrder> plan(const Now&);
    // Stops to send now, retries included.
    std::vector<StopOrder> stopsDue(const Now&);
    // Slows down best-effort tasks beside a serving task that is near its latency target, and speeds them up again.
    std::vector<ThrottleOrder> throttleBestEffort(const Now&);

    // Changes of the stored state since the last call.
    std::vector<StateRecord> takeChangedRecords(const Now&);
    // A job has a record with its specification, which never changes, and one with its state.
    static std::string jobIdOfKey(const std::string& key);
    static bool isStateKey(const std::string& key);
    // The record of unresponsive workers and the expiry of their leases. It spares a new owner from waiting for the
    // whole lease once more.
    std::string unresponsiveKey() const;
    void restoreUnresponsive(const std::string& value, const Now&);

    // Demand of the service, from which the instance planner derives the size of its pool.
    struct Demand {
        double allocatedCores = 0; // of runs
        double longRunningCores = 0; // of long-running tasks, allocated or waiting
        double waitingCores = 0; // of waiting tasks whose dependencies are completed
        double requiredCores = 0; // to complete the accepted jobs by their soft deadlines, without long-running tasks
        uint32_t minimumWorkers = 0; // for long-running tasks with a limit per worker
    };
    Demand demand(const Now&) const;

    // Cores of the registered workers by availability, for the log.
    struct Capacity {
        double schedulableCores = 0;
        double allocatedCores = 0; // of the schedulable cores
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
    bool updateUnresponsive(const Now&);
    Worker::Run* findRun(const std::string& worker, const TaskId&, uint32_t runNumber);
    void assign(Worker&, const TaskId&, JobTask&, const StepSpec&, uint32_t runNumber);
    void applyProgress(Worker&, const RunProgress&, const Now&);
    void applyEnd(Worker&, const EndedRun&, const Now&);
    // The run has ended or never started. The task waits again unless the outcome completes it or fails its job.
    void endRun(const std::string& worker, const TaskId&, uint32_t runNumber, RunOutcome, const std::string& checkpoint,
        const Now&);
    void applyCordons(Worker&) const;
    void completeTask(Job&, const TaskId&, const Now&);
    void recordFailure(Job&, const TaskId&, JobTask&, const Now&);
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
    bool placeGang(Job&, Occurrence&, uint32_t step, std::vector<Worker*>&, std::vector<StartOrder>&);
    Worker* chooseWorker(const Job&, const Occurrence&, uint32_t step, const std::vector<Worker*>&) const;
    StartOrder makeStartOrder(const Job&, const TaskId&, const JobTask&) const;
    bool isSchedulable(const Worker&, Instant now) const;
    std::vector<Worker*> schedulableWorkers(Instant now);
    std::vector<Job*> jobsInSchedulingOrder(const Now&);
    WallTime softDeadline(const Job&) const;

    std::string service_;
    ServiceSchedulerOptions options_;
    Instant takeoverAt_;
    Instant settledAt_ {}; // from then on, reports show the stops that a previous owner ordered
    std::map<std::string, QueueConfiguration> queues_;
    std::map<std::string, Job> jobs_; // active jobs, and ended ones that still have runs to stop
    std::unordered_map<std::string, EndedJob> ended_;
    std::map<WallTime, std::vector<std::string>> endedByExpiry_;
    std::map<std::string, Worker> workers_;
    std::map<std::string, WallTime> unresponsive_; // unresponsive workers with runs -> expiry of their leases
    std::vector<StopOrder> staleRuns_; // reported beside a newer run of the same task on the same worker
    std::map<std::string, std::string> cordons_; // instance -> service that it is moving to
    std::set<std::string> maintenanceDue_; // instances
    Instant cordonsUntil_ {};
    bool hasUncertainStarts_ = false; // a start may have to be sent again
    Instant healthCheckedAt_ {};
};

} // namespace shallotdrift
