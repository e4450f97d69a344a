#pragma once

#include "../Base/Resources.h"
#include "../Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallotdrift {

// A group of identical tasks of a job. The steps of a job form a directed acyclic graph.
struct StepSpec {
    uint32_t count = 1;
    Resources taskResources {};
    Milliseconds estimatedDuration { 0 }; // of one task, as declared by the client; may be far off
    std::vector<uint32_t> dependsOn {}; // indexes of earlier steps, all of whose tasks have to be completed first
    bool checkpointing = false;
    bool gang = false; // gang scheduling: all tasks of the step run at the same time or none does
    bool prefersSameRack = false; // gangs only: tasks run slower when spread over racks, so one rack is preferred
    std::string requiredLabel {}; // only workers with this label are eligible; empty: all
    std::string dataRack {}; // label of the rack that holds the input data and is preferred; empty: none
    uint32_t maximumTasksPerWorker = 0; // 0: no limit
    bool speculationAllowed = false; // a run may start while an earlier run of the task may still be active
    bool longRunning = false; // runs until the job is cancelled, for example a server
    std::string image {}; // tasks of the same image perform alike
    Milliseconds tailLatencyTarget { 0 }; // for the response times of a serving task; 0: not a serving task
    bool bestEffort = false; // reserves no cores and uses the processor time that other tasks leave idle
    // Tasks of a long-running step that may be unavailable at the same time because of evictions; 0: no limit.
    uint32_t maximumUnavailable = 0;

    // What a task takes from a worker's capacity. Best-effort tasks reserve no cores.
    Resources reservedResources() const
    {
        auto reserved = taskResources;
        if (bestEffort)
            reserved.milliCores = 0;
        return reserved;
    }
};

struct JobSpec {
    // Limits on one job, so that a single request cannot exhaust the memory of its owner.
    static constexpr size_t maximumTasks = 8000; // of one occurrence
    static constexpr size_t maximumOpenTasks = 16000; // of the occurrences that are open at the same time

    size_t taskCount() const
    {
        size_t count = 0;
        for (const auto& step : steps)
            count += step.count;
        return count;
    }

    std::string payload {}; // passed to the workers unchanged
    std::vector<StepSpec> steps {};
    uint32_t occurrences = 0; // number of occurrences of a recurring job; 0: the job runs once, on submission
    WallTime firstRun {}; // due time of the first occurrence
    Milliseconds interval { 0 }; // between the due times of occurrences
};

// A queue accepts jobs for one service and sets how they are scheduled.
struct QueueConfiguration {
    std::string name {};
    std::string host {};
    std::string pathPrefix {}; // of the request path; ends with '/'
    std::string service {};
    uint32_t priority = 0; // 0 is the highest
    uint32_t maximumAttempts = 1;
    double stretch = 2.0; // submission or due time to soft deadline: stretch * critical path + latencyTarget
    Milliseconds latencyTarget { 0 };
    Milliseconds timeout { 3000 }; // of client requests that do not specify one
    bool isPublic = false; // its calls need no key of a client account
    struct Advice {
        Milliseconds decisionTime { 0 }; // duration of one request for advice
        Milliseconds periodPerWorker { 0 };
        Milliseconds ticketValidity { 0 };
    };
    std::optional<Advice> advice {};
};

struct ServiceConfiguration {
    std::string name {};
    bool admissionCheck = false; // its workers reject tasks that exceed their free resources
    bool standby = false; // not a service but a pool of switched-off instances
};

// A worker as the registry lists it: one incarnation of an instance, from one start to the next.
struct WorkerInfo {
    std::string id {};
    std::string address {};
    std::string service {};
    std::string zone {};
    std::string instance {}; // id of the instance that the worker runs on
    bool draining = false;
    Resources capacity {};
    std::vector<std::string> labels {};
    std::optional<std::string> rack {}; // the label that names the rack; nullopt: none
    int64_t bootTime = 0; // start of the incarnation, Unix milliseconds; 0: unknown
};

struct TaskId {
    std::string job {};
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;
};

enum class RunOutcome : uint8_t {
    Completed,
    Failed, // because of the task or of the worker
    Stopped, // stopped by an order, or never started
    LeaseExpired,
    GangBroken, // another member of the gang ended first
    GangIncomplete, // other members of the gang did not start in time
};

// State of one active run in a worker's report.
struct RunProgress {
    TaskId task {};
    uint32_t runNumber = 0;
    std::string checkpoint {};
    int32_t progressPercent = 0; // long-running tasks: 100 once the task is available
    int64_t load = 0; // serving tasks: tail latency in ms; others: processor use in thousandths of a core
};

// A run that has ended, in a worker's report. The worker reports it until the owner acknowledges its sequence number.
struct EndedRun {
    uint64_t sequenceNumber = 0; // counts the ended runs of one worker incarnation from 1
    TaskId task {};
    uint32_t runNumber = 0;
    RunOutcome outcome = RunOutcome::Stopped;
    std::string checkpoint {};
};

// A call whose response is being handled.
struct SentCall {
    Instant sentAt;
    uint32_t stage = 0; // WorkerLease::stage() when it was sent
};

struct WorkerReport {
    Milliseconds clock { 0 }; // reading of the worker's steady clock
    int64_t bootTime = 0; // start of the incarnation, Unix milliseconds; 0: not in the report
    std::vector<RunProgress> running {};
    std::vector<EndedRun> ended {};
    bool endsTruncated = false; // more runs may have ended than `ended` lists
};

// Why a worker refused to start a run.
enum class StartRefusal : uint8_t {
    None, // started
    Fenced, // the worker has seen a higher fencing token
    StaleRun, // the worker has already ended this run or a later one of the task
    LeaseExpired, // the order arrived after the lease end that it carries
    NoCapacity,
    InvalidTicket,
    Unhealthy,
    Malformed, // the worker rejected the request as invalid, or its response is not a known one
    OtherIncarnation // the order was meant for an earlier or later incarnation
};

} // namespace shallotdrift
