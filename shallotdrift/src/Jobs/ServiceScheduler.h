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
    Milliseconds statusKept { 120000 }; // how long the state of an ended job can be asked for
    Milliseconds contactTimeout { 1800 }; // no new work for a worker that has not answered for so long
    Milliseconds stopRepeat { 400 };
    Milliseconds failurePause { 100 }; // doubles with each failure of a task
    Milliseconds longestFailurePause { 2000 };
    Milliseconds quarantine { 6000 };
    Milliseconds copyAfter { 900 }; // silence of a worker after which tasks that may run twice are copied
    Milliseconds settleTime { 1200 }; // until the stops that an earlier owner has ordered show in the lists
    Milliseconds lateTime { 8000 }; // within which jobs past their objective are to end
};

struct StartOrder {
    std::string worker {};
    TaskId task {};
    uint32_t run = 0;
    std::string payload {};
    std::string checkpoint {};
    bool repeated = false; // its record is stored already
};

struct StopOrder {
    std::string worker {};
    TaskId task {};
    uint32_t run = 0;
    bool first = false; // not a repetition
};

struct PaceOrder {
    std::string worker {};
    TaskId task {};
    uint32_t run = 0;
    uint32_t percent = 100;
};

// A change of the durable state; an empty value removes the key.
struct StateRecord {
    std::string key {};
    std::string value {};
};

// What the owner of a service knows of one worker.
struct Worker {
    struct Run {
        uint32_t run = 0;
        Resources held;
        bool fills = false;
        bool lasting = false;
        Milliseconds tailTarget { 0 };
        Milliseconds estimate { 0 };
        bool sent = false; // the start may have reached the worker
        bool uncertain = false; // a start got no answer, so it may still be carried out
        bool confirmed = false; // the worker has answered for this run, or it is read from its lists
        Instant confirmedAt {};
        Instant resendAt {}; // of a start without an answer
        bool stopWanted = false;
        Instant stopSent {};
        int32_t percent = 0;
        Instant progressAt {}; // when the percentage last rose
        Milliseconds tail { 0 }; // serving tasks
        uint32_t pace = 100; // percent that was ordered last
        Instant paceChanged {};
        Instant calmSince {}; // serving tasks: since when the tail has been well below its target
        uint64_t seenIn = 0; // number of the last report that lists it as running
    };

    explicit Worker(WorkerLease initial)
        : lease(initial)
    {
    }

    WorkerInfo info;
    WorkerLease lease;
    std::map<TaskId, Run> runs; // everything that may be running there
    Resources used;
    uint64_t noted = 0; // the ends up to this number are part of the state
    uint64_t reports = 0; // counts the reports
    bool listed = true; // the registry names it
    bool reported = false; // its lists have been read since this process became the owner
    bool silent = false; // the last call to it got no answer
    bool cordoned = false; // the instance is to leave the pool or to be maintained
    bool maintenanceDue = false; // the instance will be emptied soon
    Instant answeredAt {};
    Instant quarantinedUntil {};
    double failureScore = 0;

    Resources room() const
    {
        Resources free = info.capacity;
        free -= used;
        return free;
    }
};

// The decisions of the owner of one service: which task runs on which worker. Has no sockets, threads or clocks; what
// it orders becomes valid when the records of collectRecords() are stored.
class ServiceScheduler {
public:
    ServiceScheduler(std::string service, const ServiceSchedulerOptions&, Instant now);

    const std::string& service() const { return service_; }
    void setQueues(std::map<std::string, QueueRule> queues) { queues_ = std::move(queues); }

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
    size_t pending(const std::string& queue) const;
    const std::map<std::string, Job>& jobs() const { return jobs_; }

    // Workers.
    void updateWorker(const WorkerInfo&, Instant now);
    void unlistWorker(const std::string& id);
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
    void onStartAnswer(const StartOrder&, StartRefusal, const Now&);
    void onStartUnanswered(const StartOrder&, const Now&);
    void onStopAnswer(const StopOrder&, const Now&);
    // A call to the worker got no answer; nothing new is placed there until it has reported again.
    void markSilent(const std::string& worker);
    // Everything on the worker has ended: its lease has lapsed or another boot has taken its place.
    void loseRuns(const std::string& worker, const Now&);
    // Frees the runs of workers whose leases have lapsed and forgets those that are gone.
    void expireLeases(const Now&);

    // Decisions.
    std::vector<StartOrder> plan(const Now&);
    std::vector<StopOrder> stopsDue(const Now&);
    std::vector<PaceOrder> pace(const Now&);

    // Durable changes since the last call.
    std::vector<StateRecord> collectRecords(const Now&);
    // The job that a record belongs to; states are rewritten, specifications stay.
    static std::string jobOfKey(const std::string& key);
    static bool isStateKey(const std::string& key);
    // Workers that do not answer, with the ends of their leases: without them, each new owner would wait anew.
    std::string silentKey() const;
    void restoreSilent(const std::string& value, const Now&);

    // What the service needs, in cores, for the pool planner.
    struct Demand {
        double held = 0; // by runs
        double lasting = 0; // by lasting tasks, held or waiting
        double waiting = 0; // asked for by tasks whose turn has come
        double required = 0; // rate at which the accepted work has to be done to end in time
        uint32_t minimumWorkers = 0; // that the spread of lasting tasks needs
    };
    Demand demand(const Now&) const;

    // Cores of the listed workers by what may be placed there, for the log.
    struct Capacity {
        double usable = 0;
        double used = 0; // of the usable ones
        double leaving = 0; // cordoned or draining
        double silent = 0; // do not answer, or have not answered yet
        double quarantined = 0;
    };
    Capacity capacity(Instant now) const;

private:
    struct Ended {
        JobStatus status = JobStatus::Completed;
        bool begun = false;
        WallTime at {};
    };

    Worker& workerEntry(const std::string& id, Instant now);
    bool updateSilent(const Now&);
    Worker::Run* findRun(const std::string& worker, const TaskId&, uint32_t run);
    void assign(Worker&, const TaskId&, JobTask&, const StepSpec&, uint32_t run);
    void takeRunning(Worker&, const RunningRow&, const Now&);
    void takeEnd(Worker&, const EndedRow&, const Now&);
    // The run has ended or never began; the task may be placed again unless that settles it.
    void endRun(
        const std::string& worker, const TaskId&, uint32_t run, RunEnd, const std::string& checkpoint, const Now&);
    void applyCordons(Worker&) const;
    void finishTask(Job&, const TaskId&, const Now&);
    void countFailure(Job&, const TaskId&, JobTask&, const Now&);
    void stopRuns(Job&);
    void countHealth(Worker&, const JobTask&, RunEnd, const Now&);
    bool isAway(const JobTask&) const;
    bool quarantine(Worker&, const Now&);
    void reviewRuns(const Now&);
    void copyElsewhere(Worker&, const Now&);
    void planEvacuations(const Now&);
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
    Worker* choose(const Job&, const Occurrence&, uint32_t step, const std::vector<Worker*>&) const;
    StartOrder orderFor(const Job&, const TaskId&, const JobTask&) const;
    bool isUsable(const Worker&, Instant now) const;
    std::vector<Worker*> usableWorkers(Instant now);
    std::vector<Job*> jobsInOrder(const Now&);
    WallTime objectiveOf(const Job&) const;

    std::string service_;
    ServiceSchedulerOptions options_;
    Instant takenOver_;
    Instant settledAt_ {}; // from then on the stops of an earlier owner show in the lists
    std::map<std::string, QueueRule> queues_;
    std::map<std::string, Job> jobs_; // active ones, and ended ones that still have runs to stop
    std::unordered_map<std::string, Ended> ended_;
    std::map<WallTime, std::vector<std::string>> expiry_;
    std::map<std::string, Worker> workers_;
    std::map<std::string, WallTime> silent_; // workers that do not answer and have runs -> end of their leases
    std::vector<StopOrder> outdatedRuns_; // listed beside a newer run of their task on the same worker
    std::map<std::string, std::string> cordons_; // instance -> service to which it is on its way
    std::set<std::string> maintenanceDue_; // instances
    Instant cordonsUntil_ {};
    bool startsUncertain_ = false; // some start may have to be sent again
    Instant reviewedAt_ {};
};

} // namespace shallotdrift
