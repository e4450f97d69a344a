#pragma once

#include "TaskPlanner.h"

#include <map>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// What tasks and urgent requests hold on an instance. Reports lag and declarations may be wrong by ten times, so that a
// place counts as taken when either says so.
struct InstanceLoad {
    const Instance* instance = nullptr;
    InstanceUsage usage; // reported
    std::vector<const Task*> tasks;
    double declaredCores = 0;
    uint64_t declaredMemory = 0;
    uint64_t declaredAccelerators = 0;

    double urgentCores() const;
    double freeCores() const;
    bool fits(const Task&) const;
    void add(const Task&);
};

using InstanceLoads = std::map<std::string, InstanceLoad>; // by instance

InstanceLoads loadsOf(const FleetState&, const std::map<std::string, InstanceUsage>&);

// Urgency of the task's kind; bulk when the kind is no longer configured.
Urgency urgencyOf(const FleetState&, const Task&);

} // namespace shallotdrift::internal
