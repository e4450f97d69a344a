#pragma once

#include "../Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallotdrift {

struct Resources {
    int64_t milliCores = 0;
    int64_t memoryMegabytes = 0;
    int64_t accelerators = 0;

    bool fitsIn(const Resources& room) const
    {
        return milliCores <= room.milliCores && memoryMegabytes <= room.memoryMegabytes
            && accelerators <= room.accelerators;
    }
    Resources& operator+=(const Resources& other)
    {
        milliCores += other.milliCores;
        memoryMegabytes += other.memoryMegabytes;
        accelerators += other.accelerators;
        return *this;
    }
    Resources& operator-=(const Resources& other)
    {
        milliCores -= other.milliCores;
        memoryMegabytes -= other.memoryMegabytes;
        accelerators -= other.accelerators;
        return *this;
    }
};

// A group of equal tasks of a job.
struct StepSpec {
    uint32_t count = 1;
    Resources taskResources {};
    Milliseconds estimatedDuration { 0 }; // of one task; a rough declaration
    std::vector<uint32_t> dependsOn {}; // earlier steps whose tasks must all be done
    bool checkpointing = false;
    bool gang = false; // the tasks run only together
    bool prefersSameRack = false; // the tasks are slow when spread over racks
    std::string requiredLabel {};
    std::string dataRack {};
    uint32_t maximumTasksPerWorker = 0; // 0: no limit
    bool speculationAllowed = false;
    bool longRunning = false; // runs until the job is cancelled
    std::string image {}; // tasks of one image behave alike
    Milliseconds tailLatencyTarget { 0 }; // response times of a serving task; 0: does not serve
    bool bestEffort = false; // uses the processor time that other tasks leave
    uint32_t maximumUnavailable = 0; // tasks of a lasting step that planned work may take away at once
};

struct JobSpec {
    std::string payload {}; // handed to the workers as it is
    std::vector<StepSpec> steps {};
    uint32_t occurrences = 0; // 0: runs once, at once
    WallTime firstRun {};
    Milliseconds interval { 0 };
};

// Sends a service's jobs to a pool of workers.
struct QueueConfiguration {
    std::string name {};
    std::string host {};
    std::string pathPrefix {}; // of the path; ends with '/'
    std::string service {};
    uint32_t priority = 0; // 0 comes first
    uint32_t maximumAttempts = 1;
    double stretch = 2.0; // objective: stretch times the longest chain of work, plus latencyTarget
    Milliseconds latencyTarget { 0 };
    Milliseconds timeout { 3000 };
    struct Advice {
        Milliseconds decisionTime { 0 }; // time of a call
        Milliseconds periodPerWorker { 0 };
        Milliseconds ticketValidity { 0 }; // of a ticket
    };
    std::optional<Advice> advice {};
};

struct ServiceConfiguration {
    std::string name {};
    bool admissionCheck = false; // its workers refuse what does not fit
    bool standby = false; // its instances are switched off
};

// A worker as the registry lists it: one boot of an instance.
struct WorkerInfo {
    std::string id {};
    std::string address {};
    std::string service {};
    std::string zone {};
    std::string instance {}; // the machine that the worker is a life of
    bool draining = false;
    Resources capacity {};
    std::vector<std::string> labels {};
    std::optional<std::string> rack {}; // among the labels
    int64_t bootTime = 0; // Unix milliseconds of the boot
};

struct TaskId {
    std::string job {};
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;
};

enum class RunOutcome : uint8_t {
    Completed,
    Failed, // by its own fault or the worker's
    Stopped,
    LeaseExpired, // the lease ended
    GangBroken, // another member of the gang ended
    GangIncomplete, // the other members of the gang did not come in time
};

// What a worker says about one run.
struct RunProgress {
    TaskId task {};
    uint32_t runNumber = 0;
    std::string checkpoint {};
    int32_t progressPercent = 0;
    int64_t load = 0; // serving tasks: tail of response times in ms; others: processor use in thousandths of a core
};

struct EndedRun {
    uint64_t sequenceNumber = 0; // counts the ends of a worker's boot from 1
    TaskId task {};
    uint32_t runNumber = 0;
    RunOutcome outcome = RunOutcome::Stopped;
    std::string checkpoint {};
};

struct WorkerReport {
    Milliseconds clock { 0 }; // steady clock of the worker
    int64_t bootTime = 0; // Unix milliseconds; 0 when not stated
    std::vector<RunProgress> running {};
    std::vector<EndedRun> ended {};
};

// Why a worker refused a start.
enum class StartRefusal : uint8_t {
    None,
    Fenced,
    StaleRun,
    LeaseExpired,
    NoCapacity,
    InvalidTicket,
    Unhealthy,
    Malformed,
    OtherIncarnation
};

} // namespace shallotdrift
