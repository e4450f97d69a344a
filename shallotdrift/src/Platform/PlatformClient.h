#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"
#include "../Fold/FleetState.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift {

struct LogPage {
    struct Item {
        Offset offset = 0;
        std::string payload;
    };
    Offset earliest = 0; // lowest offset that is still kept
    Offset next = 0; // offset that the next append will get
    std::vector<Item> items;
};

// An instance as the platform's lagging list shows it.
struct ListedInstance {
    enum class Role : uint8_t {
        Target,
        Entry,
    };
    std::string id;
    Role role = Role::Target;
    std::string address;
    std::string zone;
    std::string rack;
    std::string pool;
    bool leaving = false;
    InstanceShape shape;
};

struct InstanceList {
    uint64_t version = 0; // grows with every change of the list
    std::vector<ListedInstance> instances;
};

struct PlatformTask {
    enum class Status : uint8_t {
        Running,
        Throttled,
        Checkpointed, // stopped, with a checkpoint to resume from
        Succeeded,
        Failed,
        LeaseLapsed,
    };
    std::string id;
    std::string instance;
    uint64_t token = 0;
    Status status = Status::Running;
    std::string receipt;
    double coresUsed = 0; // reported with a lag
    uint64_t memoryMegabytesUsed = 0;
};

struct TaskStart {
    std::string id;
    std::string instance;
    std::string kind;
    uint64_t token = 0; // the platform refuses calls with a lower token
    Milliseconds lease { 10000 };
    uint32_t cores = 0;
    uint64_t memoryMegabytes = 0;
    uint32_t accelerators = 0;
    std::string input;
};

enum class TaskCommand : uint8_t {
    Renew,
    Throttle,
    Checkpoint,
    Stop,
};

// The platform's calls. Errors: PlatformUnavailable (not reached, had no effect), AnswerLost (may have had effect),
// PlatformRefused (answered with a refusal, for example an old epoch or token).
class PlatformClient {
public:
    virtual ~PlatformClient() = default;

    virtual Result<Offset> append(std::string_view payload) = 0;
    // Waits up to the given time for entries at or above from.
    virtual Result<LogPage> read(Offset from, size_t maximumItems, Milliseconds wait) = 0;
    virtual Result<InstanceList> instances() = 0;
    // Drains and reboots the instance into the pool; repeating the call with the same epoch has no further effect.
    virtual Result<void> assign(const std::string& instance, const std::string& pool, uint64_t epoch) = 0;
    virtual Result<void> reboot(const std::string& instance, uint64_t epoch) = 0;
    virtual Result<void> startTask(const TaskStart&) = 0;
    virtual Result<void> commandTask(const std::string& id, TaskCommand, uint64_t token) = 0;
    virtual Result<std::vector<PlatformTask>> tasks() = 0;
};

struct PlatformOptions {
    std::string address; // IP:port
    Milliseconds connectTimeout { 500 };
    Milliseconds callTimeout { 3000 };
};

// Client over HTTP/1.1. Each calling thread uses a connection of its own.
std::unique_ptr<PlatformClient> makeHttpPlatformClient(PlatformOptions);

} // namespace shallotdrift
