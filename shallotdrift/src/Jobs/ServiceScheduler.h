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

struct Now {
    Instant steady;
    WallTime wall;
};

struct ServiceSchedulerOptions {
    LeaseOptions lease;
    Milliseconds statusRetention { 120000 }; // how long the state of an ended job can be asked for
    Milliseconds contactTimeout { 1800 }; // no new work for a worker that has not answered for so long
    Milliseconds orderRetryInterval { 400 };
    Milliseconds initialBackoff { 100 }; // doubles with each failure of a task
    Milliseconds maximumBackoff { 2000 };
    Milliseconds quarantineDuration { 6000 };
    Milliseconds speculationDelay { 900 }; // silence of a worker after which tasks that may run twice are copied
    Milliseconds takeoverSettleTime { 1200 }; // until the stops that an earlier owner has ordered show in the lists
    Milliseconds overdueCompletionTime { 8000 }; // within which jobs past their objective are to end
};

struct StartOrder {
    std::string worker {};
    TaskId task {};
    uint32_t runNumber = 0;
    std::string payload {};
    std::string checkpoint {};
    bool resend = false; // its record is stored already
};

struct StopOrder {
    std::string worker {};
    TaskId task {};
    uint32_t runNumber = 0;
    bool firstSend = false; // not a repetition
};

struct ThrottleOrder {
    std::string worker {};
    TaskId task {};
    uint32_t runNumber = 0;
    uint32_t speedPercent = 100;
};

// A change of the durable state; an empty value removes the key.
struct StateRecord {
    std::string key {};
    std::string value {};
};

// What the owner of a service knows of one worker.
struct Worker {
    struct Run {
        uint32_t number = 0;
        Resources allocated;
        bool bestEffort = false;
        bool longRunning = false;
        Milliseconds tailLatencyTarget { 0 };
        Milliseconds estimatedDuration { 0 };
        bool startSent = false; // the start may have reached the worker
        bool startUncertain = false; // a start got no answer, so it may still be carried out
        bool confirmed = false; // the worker has answered for this run, or it is read from its lists
        Instant confirmedAt {};
        Instant resendAt {}; // of a start without an answer
        bool stopRequested = false;
        Instant stopSentAt {};
        int32_t progressPercent = 0;
        Instant lastProgressAt {}; // when the percentage last rose
        Milliseconds tailLatency { 0 }; // serving tasks
        uint32_t speedPercent = 100; // percent that was ordered last
        Instant speedChangedAt {};
        Instant belowTargetSince {}; // serving tasks: since when the tail has been well below its target
        uint64_t lastReportNumber = 0; // number of the last report that lists it as running
    };

    explicit Worker(WorkerLease initial)
        : lease(initial)
    {
    }

    WorkerInfo info;
    WorkerLease lease;
    std::map<TaskId, Run> runs; // everything that may be running there
    Resources allocated;
    uint64_t lastAppliedEnd = 0; // the ends up to this number are part of the state
    uint64_t reportCount = 0; // counts the reports
    bool registered = true; // the registry names it
    bool reported = false; // its lists have been read since this process became the owner
    bool unresponsive = false; // the last call to it got no answer
    bool cordoned = false; // the instance is to leave the pool or to be maintained
    bool maintenanceDue = false; // the instance will be emptied soon
    Instant lastResponseAt {};
    Instant quarantinedUntil {};
    double failureScore = 0;

    Resources freeResources() const
    {
        Resources free = info.capacity;
        free -= allocated;
        return free;
    }
};

// The decisions of the owner of one service: which task runs on which worker. Has no sockets, threads or clocks; what
// it orders becomes valid when the records of takeChangedRecords() are stored.
class ServiceScheduler {
public:
    ServiceScheduler(std::string service, const ServiceSchedulerOptions&, Instant now);

    const std::string& service() const { return service_; }
    void setQueues(std::map<std::string, QueueConfiguration> queues) { queues_ = std::move(queues); }

    // Jobs. add() is for new ones, the others for those read back from the store.
    void add(Job&&);
    void restore(Job&&);
    void restoreEnded(const std::string& id, JobStatus, bool begun, WallTime ended);
    // After the last restored job: what runs was under way is unknown until their workers have shown their lists.
    void finishRestore(const Now&);
    Job* find(const std::string& id);
    // Status of a job that is known, also of an ended one.
    std::optional<JobStatus> statusOf(const std::string& id, bool* begun = nullptr) const;
    bool cancel(const std::string& id, const Now&);
    size_t pendingJobCount(const std::string& queue) const;
    const std::map<std::string, Job>& jobs() const { return jobs_; }

    // Workers.
    void updateWorker(const WorkerInfo&, Instant now);
    void unregisterWorker(const std::string& id);
    // The instances that nothing new may be placed on, each with the service for which this does not hold, and those
    // that will be emptied for maintenance later. Holds until the time given, and is renewed while it is wanted.
    void setCordons(
        const std::map<std::string, std::string>& cordoned, const std::set<std::string>& maintenanceDue, Instant until);
    std::map<std::string, Worker>& workers() { return workers_; }
    const std::map<std::string, Worker>& workers() const { return workers_; }
    // The lists of a worker, asked for at this moment. Runs that should not be there are stopped with the next orders.
    // True when there may be something new to place or to store.
    bool onReport(const std::string& worker, const WorkerReport&, Instant askedAt, const Now&);
    // To be asked before an order is sent. False when the state no longer asks for it, for example because its job was
    // cancelled while the record was being stored; the run is then taken back.
    bool beginStart(const StartOrder&, const Now&);
    void onStartResponse(const StartOrder&, StartRefusal, const Now&);
    void onNoStartResponse(const StartOrder&, const Now&);
    void onStopResponse(const StopOrder&, const Now&);
    // A call to the worker got no answer; nothing new is placed there until it has reported again.
    void markUnresponsive(const std::string& worker);
    // Everything on the worker has ended: its lease has lapsed or another boot has taken its place.
    void endAllRuns(const std::string& worker, const Now&);
    // Frees the runs of workers whose leases have lapsed and forgets those that are gone.
    void expireLeases(const Now&);

    // Decisions.
    std::vector<StartOrder> plan(const Now&);
    std::vector<StopOrder> stopsDue(const Now&);
    std::vector<ThrottleOrder> throttleBestEffort(const Now&);

    // Durable changes since the last call.
    std::vector<StateRecord> takeChangedRecords(const Now&);
    // The job that a record belongs to; states are rewritten, specifications stay.
    static std::string jobIdOfKey(const std::string& key);
    static bool isStateKey(const std::string& key);
    // Workers that do not answer, with the ends of their leases: without them, each new owner would wait anew.
    std::string unresponsiveKey() const;
    void restoreUnresponsive(const std::string& value, const Now&);

    // What the service needs, in cores, for the pool planner.
    struct Demand {
        double allocatedCores = 0; // by runs
        double longRunningCores = 0; // by lasting tasks, held or waiting
        double waitingCores = 0; // asked for by tasks whose turn has come
        double requiredCores = 0; // rate at which the accepted work has to be done to end in time
        uint32_t minimumWorkers = 0; // that the spread of lasting tasks needs
    };
    Demand demand(const Now&) const;

    // Cores of the listed workers by what may be placed there, for the log.
    struct Capacity {
        double schedulableCores = 0;
        double allocatedCores = 0; // of the usable ones
        double cordonedCores = 0; // cordoned or draining
        double unresponsiveCores = 0; // do not answer, or have not answered yet
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
    Worker::Run* findRun(const std::string& worker, const TaskId&, uint32_t run);
    void assign(Worker&, const TaskId&, JobTask&, const StepSpec&, uint32_t run);
    void applyProgress(Worker&, const RunProgress&, const Now&);
    void applyEnd(Worker&, const EndedRun&, const Now&);
    // The run has ended or never began; the task may be placed again unless that settles it.
    void endRun(
        const std::string& worker, const TaskId&, uint32_t run, RunOutcome, const std::string& checkpoint, const Now&);
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
    // The workers of one planning, and the sizes of tasks for which none of them has had room.
    struct Candidates {
        std::vector<Worker*> workers;
        std::vector<Resources> tooLarge;
        // A task that asks for at least as much as one that did not fit need not be tried.
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
    Instant settledAt_ {}; // from then on the stops of an earlier owner show in the lists
    std::map<std::string, QueueConfiguration> queues_;
    std::map<std::string, Job> jobs_; // active ones, and ended ones that still have runs to stop
    std::unordered_map<std::string, EndedJob> ended_;
    std::map<WallTime, std::vector<std::string>> endedByExpiry_;
    std::map<std::string, Worker> workers_;
    std::map<std::string, WallTime> unresponsive_; // workers that do not answer and have runs -> end of their leases
    std::vector<StopOrder> staleRuns_; // listed beside a newer run of their task on the same worker
    std::map<std::string, std::string> cordons_; // instance -> service to which it is on its way
    std::set<std::string> maintenanceDue_; // instances
    Instant cordonsUntil_ {};
    bool hasUncertainStarts_ = false; // some start may have to be sent again
    Instant healthCheckedAt_ {};
};

} // namespace shallotdrift
