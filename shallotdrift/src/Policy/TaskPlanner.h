#pragma once

#include "../Base/Time.h"
#include "../Fold/FleetState.h"

#include <map>
#include <string>
#include <vector>

namespace shallotdrift {

// Resources in use on an instance, from the platform's usage reports.
struct InstanceUsage {
    double cores = 0;
    uint64_t memoryMegabytes = 0;
    uint32_t accelerators = 0;
    uint32_t urgentSlots = 0; // slots that urgent requests hold or wait for
};

struct PlannedPlacement {
    std::string task;
    std::string instance;
    uint64_t instanceEpoch = 0;
    uint64_t expectedToken = 0;
    std::string reason;
};

// A task to throttle, or to checkpoint and stop, so that urgent work gets its place.
struct PlannedPreemption {
    std::string task;
    bool stop = false; // false: throttle
    std::string reason;
};

// A task that no instance of its pool can hold, not even an empty one.
struct ImpossibleTask {
    std::string task;
    uint64_t expectedToken = 0;
    std::string reason;
};

struct TaskPlan {
    std::vector<PlannedPlacement> placements;
    std::vector<PlannedPreemption> preemptions;
    std::vector<ImpossibleTask> impossible;
};

// Placements of waiting tasks and preemptions of placed ones. Pure.
TaskPlan planTasks(const FleetState&, const std::map<std::string, InstanceUsage>&);

} // namespace shallotdrift
