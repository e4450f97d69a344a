#pragma once

#include "InstanceLoad.h"

#include <map>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// Plans placements of waiting tasks onto free resources, and names the tasks that can never be placed.
class TaskPlacement {
public:
    TaskPlacement(const FleetState&, InstanceLoads&, TaskPlan&);

    void run();

private:
    std::vector<const Task*> waitingTasks() const;
    const std::string& poolOf(const Task&) const;
    bool isQuotaUsedUp(const Task&) const;
    bool mayRunOn(const Task&, const Instance&) const;
    InstanceLoad* choose(const Task&);
    void place(const Task&, InstanceLoad&);
    bool isImpossible(const Task&) const;

    const FleetState& state_;
    InstanceLoads& loads_;
    TaskPlan& plan_;
    std::map<std::string, uint32_t> placedOfTeam_;
};

} // namespace shallotdrift::internal
