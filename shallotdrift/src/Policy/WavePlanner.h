#pragma once

#include "../Base/Time.h"
#include "../Fold/FleetState.h"

#include <string>
#include <vector>

namespace shallotdrift {

// A maintenance that the planner wants started.
struct PlannedMaintenance {
    std::string wave;
    std::string instance;
    uint64_t epoch = 0;
    std::string reason;
};

// Maintenances that every running wave may start now within the budgets, racks and its own limit. Pure.
std::vector<PlannedMaintenance> planMaintenance(const FleetState&);

} // namespace shallotdrift
