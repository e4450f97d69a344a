#pragma once

#include "../Accounts/QuotaLedger.h"
#include "../Accounts/ShareMeter.h"
#include "Cordons.h"
#include "JobRecords.h"
#include "PlacementHolds.h"
#include "Reservations.h"
#include "RunLedger.h"
#include "RunTimes.h"
#include "TaskOrder.h"
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
    size_t maximumReservations = 8; // workers on which room is reserved for tasks that do not fit yet; 0: none
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

// The scheduler of one service: decides which task runs on which worker. Uses no sockets, threads or clocks. The caller
// sends start orders only once the records of takeChangedRecords() are stored.
class ServiceScheduler {
public:
    ServiceScheduler(std::string service, const ServiceSchedulerOptions&, Instant now);

    const std::string& service() const { return service_; }
    void setQueues(std::map<std::string, QueueConfiguration> queues) { queues_ = std::move(queues); }
    void setAccounts(const ClientAccounts&);
    QuotaLedger& quotas() { return quotas_; }
    const QuotaLedger& quotas() const { return quotas_; }
    ShareMeter& shares() { return shares_; }
    // Time that the service needs for the accepted short work, with the workers that it has. At most backlogAge old.
    Milliseconds backlog(Instant now);
    // Counts what the accounts use and want of their quotas now.
    void updateQuotaHoldings(const Now&);

    // Jobs. add() takes a new job; restore() and restoreEnded() take jobs that were read from the store.
    void add(Job&&);
    void restore(Job&&);
    void restoreEnded(const Job&);
    // To be called after the last restored job. Whether the stored runs are active is unknown until their workers
    // report.
    void finishRestore(const Now&);
    // Null if the job is unknown, or has ended and has no active runs.
    Job* find(const std::string& id);
    // Status of a job that is active or has ended within the status retention; nullopt for other jobs. Also sets
    // *started if the status is known: true if a worker has started a task of the job, or may have for the previous
    // owner.
    std::optional<JobStatus> statusOf(const std::string& id, bool* started = nullptr) const;
    // Where a job came from whose status is known; nullopt for other jobs.
    struct JobOrigin {
        std::string account {}; // empty: none
        std::string queue {}; // empty: not known any more
    };
    std::optional<JobOrigin> originOf(const std::string& id) const;
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
    // False if the manager with this fencing token has been replaced; see Cordons::set().
    bool setCordons(const std::map<std::string, std::string>& cordoned, const std::set<std::string>& maintenanceDue,
        Instant until, uint64_t managerToken = 0);
    Cordons& cordons() { return cordons_; }
    const Cordons& cordons() const { return cordons_; }
    std::map<std::string, Worker>& workers() { return workers_; }
    const std::map<std::string, Worker>& workers() const { return workers_; }
    // Applies a worker's report, the response to the call given. The next stopsDue() includes reported runs that should
    // not be active. Returns true if there may be new tasks to place or changes to store.
    bool onReport(const std::string& worker, const WorkerReport&, const SentCall&, const Now&);
    // Takes a clock reading from the response to another call than one for a report. Returns false if an incarnation
    // responded that the owner has not heard of.
    bool onClockReading(const std::string& worker, Milliseconds clock, const SentCall&, const Now&);
    // To be called right before a start order is sent. Returns false if the start must not be sent: the job was
    // cancelled while the record was being stored, or the worker's lease cannot be extended. The run is then removed,
    // unless an earlier order for it was sent.
    bool beginStart(const StartOrder&, const Now&);
    // The same without sending the order.
    void withholdStart(const StartOrder&, const Now&);
    void onStartResponse(const StartOrder&, StartRefusal, const Now&);
    void onNoStartResponse(const StartOrder&, const Now&);
    // The start order has reached no worker.
    void onStartNotSent(const StartOrder&, const Now&);
    void onStopResponse(const StopOrder&, const Now&);
    // To be called when a lease renewal has failed. The worker gets no new runs until it reports again.
    void markUnresponsive(const std::string& worker);
    // Ends all runs on the worker, after its lease has expired or a new incarnation has replaced it.
    void endAllRuns(const std::string& worker, const Now&);
    // A run that was ended without a report of its worker.
    struct ExpiredRun {
        std::string worker;
        TaskId task;
        uint32_t runNumber = 0;
        bool doubtful = false; // see Worker::Run::doubtful()
        Milliseconds silence { 0 }; // since the worker's last response to this owner; 0 if there was none
    };
    // Ends the runs of workers whose leases have expired, removes workers without runs that are no longer in the
    // registry, and drops cordons that were not renewed. Returns the runs that it has ended.
    std::vector<ExpiredRun> expireLeases(const Now&);

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
    // The records of leases and starts; restore() is to be called before the other functions of this class.
    RunLedger& ledger() { return ledger_; }
    const RunLedger& ledger() const { return ledger_; }

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
        JobOrigin origin {};
    };

    Worker& findOrAddWorker(const std::string& id);
    void beginIncarnation(Worker&, const WorkerReport&, Instant requestedAt, const Now&);
    void endRunsOfFormerIncarnation(Worker&, const WorkerReport&, Instant requestedAt, const Now&);
    Worker::Run* findRun(const std::string& worker, const TaskId&, uint32_t runNumber);
    // Places the next run of a task.
    void assign(Worker&, const TaskId&, JobTask&, const StepSpec&, uint32_t runNumber);
    void addRun(Worker&, const TaskId&, JobTask&, const StepSpec&);
    void countUsedQuotas();
    void addWithinQuota(const Demand& required, const std::string& account, Demand&) const;
    bool withinQuota(const Job&, const Resources&);
    void applyProgress(Worker&, const RunProgress&, const Now&);
    void applyEnd(Worker&, const EndedRun&, const Now&);
    // Removes a run that has ended or never started. Its task waits again unless the outcome completes the task or
    // fails the job.
    void endRun(const std::string& worker, const TaskId&, uint32_t runNumber, RunOutcome, const std::string& checkpoint,
        const Now&);
    void applyCordons(Worker&) const;
    std::set<std::string> cordonedInstances() const;
    void stopNewestRuns(Job&, const TaskId&);
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
        std::vector<Resources> unreservable; // requests for which no worker is expected to have room
        // True if a smaller or equal request did not fit.
        bool isTooLarge(const Resources&) const;
        bool isUnreservable(const Resources&) const;
    };
    void resendStarts(std::vector<StartOrder>&, const Now&);
    void placeJob(Job&, Candidates&, std::vector<StartOrder>&, const Now&);
    void placeStep(Job&, Occurrence&, uint32_t step, Candidates&, std::vector<StartOrder>&, const Now&);
    void placeLongRunningStep(
        Job&, Occurrence&, uint32_t step, const std::vector<Worker*>&, std::vector<StartOrder>&, const Now&);
    bool placeGang(Job&, Occurrence&, uint32_t step, std::vector<Worker*>&, std::vector<StartOrder>&, const Now&);
    // A short task is expected to end at endsAt, by which it may use room that is reserved from then on.
    // Sets *barred if only a reservation kept the task from a worker.
    Worker* chooseWorker(const StepSpec&, const TaskId&, const std::vector<Worker*>&, Instant endsAt = Instant::max(),
        bool* barred = nullptr) const;
    static std::string kindOf(const Job&, uint32_t step);
    Instant expectedEnd(const Worker::Run&, const Now&) const;
    std::optional<Instant> expectedRoomAt(const Worker&, const Resources& needed, const Now&, Resources* free) const;
    void reserveRoom(const Job&, const Occurrence&, uint32_t step, Candidates&, const Now&);
    void renewReservations(const Now&);
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
    RunLedger ledger_;
    Instant settledAt_ {}; // from this time on, reports show the stops that the previous owner ordered
    std::map<std::string, QueueConfiguration> queues_;
    std::map<std::string, Job> jobs_; // active jobs, and ended ones that still have runs to stop
    std::unordered_map<std::string, EndedJob> ended_;
    std::map<WallTime, std::vector<std::string>> endedByExpiry_;
    std::map<std::string, Worker> workers_;
    PlacementHolds holds_;
    RunTimes runTimes_;
    Reservations reservations_;
    Instant reservationsMadeAt_ {};
    std::vector<PackedStep> unplaced_; // long-running tasks that the last plan() could neither place nor hold room for
    std::vector<StopOrder> staleRuns_; // stops of runs reported beside a newer run of the same task on the same worker
    Cordons cordons_;
    QuotaLedger quotas_;
    ShareMeter shares_;
    Milliseconds backlog_ { 0 };
    Instant backlogUpdatedAt_ {};
    bool hasUncertainStarts_ = false; // there may be starts without a response, which have to be sent again
    Instant healthCheckedAt_ {};
};

} // namespace shallotdrift
