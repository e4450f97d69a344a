#pragma once

#include "../Base/ResultCode.h"
#include "../Base/Time.h"
#include "../Settings/FleetConfiguration.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift {

// Offset of an entry of the platform's log. The first entry has offset 1; 0 stands for the empty log.
using Offset = uint64_t;

struct InstanceShape {
    uint32_t cores = 0;
    uint64_t memoryMegabytes = 0;
    uint32_t accelerators = 0;
    uint32_t slots = 0;
    uint32_t connections = 0;
};

enum class InstanceStatus : uint8_t {
    Active, // takes work of its pool
    Closing, // takes no new work; its gate entries have still to acknowledge
    Closed, // all gate entries have acknowledged; the platform may reboot it
};

struct Instance {
    std::string id;
    std::string address; // host:port
    std::string zone;
    std::string rack;
    std::string homePool;
    std::string pool;
    uint64_t epoch = 1;
    InstanceStatus status = InstanceStatus::Active;
    InstanceShape shape;
    std::string operationId; // move id, or "<wave>/<instance>" of the maintenance under way; empty when none
    Offset changedOffset = 0;
    bool lost = false;
    bool leaving = false;

    // Counts towards its pool's availability budget.
    bool available() const { return status == InstanceStatus::Active && !lost && !leaving; }
    bool lent() const { return pool != homePool; }
};

// An entry instance that is a member of its zone's gate.
struct EntryMember {
    std::string id;
    uint64_t boot = 0;
    std::string zone;
    std::string peerAddress;
};

enum class MoveStatus : uint8_t {
    Closing,
    Closed,
    Granted,
    Aborted,
};

struct Move {
    std::string id;
    std::string instance;
    std::string fromPool;
    std::string toPool;
    std::set<std::string> pendingGates; // ids of the entries that have still to acknowledge
    Offset proposedOffset = 0;
    WallTime proposedAt {};
    MoveStatus status = MoveStatus::Closing;
    uint64_t epoch = 0; // of the instance while it closes
    std::string invocationId;
};

enum class WaveStatus : uint8_t {
    Running,
    Paused,
    Aborted,
    Done,
};

struct Maintenance {
    std::string instance;
    std::set<std::string> pendingGates;
    Offset startedOffset = 0;
    WallTime startedAt {};
    uint64_t epoch = 0;
};

struct Wave {
    std::string id;
    WaveStatus status = WaveStatus::Running;
    std::string zone;
    std::string pool;
    uint32_t maximumParallel = 0;
    std::set<std::string> pending;
    std::set<std::string> done;
    std::set<std::string> givenUp;
    std::map<std::string, Maintenance> active; // by instance
    WallTime startedAt {};
    std::string invocationId;
    bool keepDrained = false;
};

enum class TaskStatus : uint8_t {
    Waiting,
    Placed,
    Succeeded,
    Failed, // failed on three instances
    Cancelled,
};

struct Task {
    std::string id;
    std::string kind;
    std::string team;
    uint32_t cores = 0;
    uint64_t memoryMegabytes = 0;
    uint32_t accelerators = 0;
    Milliseconds declaredRuntime { 0 };
    std::string input;
    TaskStatus status = TaskStatus::Waiting;
    std::string instance;
    std::string owner; // entry that renews the lease
    uint64_t token = 0; // offset of the last placement or take-over; fences older owners
    std::set<std::string> failedInstances;
    std::string receipt;
    WallTime acceptedAt {};
};

enum class KeyStatus : uint8_t {
    Intended,
    Ran,
    RanAndFailed,
    Unknown,
};

// Idempotency key of non-idempotent work.
struct RequestKey {
    uint64_t digest = 0;
    std::string kind;
    std::string owner;
    uint64_t ownerBoot = 0;
    KeyStatus status = KeyStatus::Intended;
    std::string receipt;
};

struct HandbookEntry {
    std::string name;
    uint64_t version = 0;
    std::string ini;
    std::string author;
    std::string reviewer;
    bool approved = false;
    uint64_t approvedVersion = 0; // the version that can be invoked; 0 when none
    std::string approvedIni;
};

struct Invocation {
    std::string id;
    std::string name;
    uint64_t version = 0;
    std::string operatorName;
    Offset offset = 0;
};

struct AuditEvent {
    Offset offset = 0;
    uint32_t place = 0; // within the batch
    WallTime writtenAt {};
    std::string actor;
    std::string subject;
    std::string action;
    std::string reason;
    ResultCode code = ResultCode::Ok;
    std::string figures;
};

// State folded from the log up to an offset. Changed by Fold alone.
struct FleetState {
    uint64_t configurationVersion = 0;
    std::string configurationIni;
    std::string configurationAuthor;
    std::string configurationReviewer;
    FleetConfiguration configuration; // parsed from configurationIni
    std::map<std::string, EntryMember> entries;
    std::map<std::string, Instance> instances;
    std::map<std::string, Move> moves; // under way, and the last that ended
    std::map<std::string, Wave> waves;
    std::map<std::string, Task> tasks;
    std::map<std::string, RequestKey> keys;
    std::map<std::string, HandbookEntry> handbooks;
    std::map<std::string, Invocation> invocations;
    std::deque<AuditEvent> audit; // oldest first
    WallTime foldTime {};
};

// Whether nothing more happens to the object; the state keeps the last ones that ended. An aborted wave ends with the
// last of its maintenances.
bool hasEnded(const Move&);
bool hasEnded(const Wave&);
bool hasEnded(const Task&);

// Instances of the pool that count towards its availability budget.
uint32_t availableInPool(const FleetState&, const std::string& pool);

} // namespace shallotdrift
