#include "TaskPlanner.h"

#include "TaskPlacement.h"
#include "TaskPreemption.h"

namespace shallotdrift {

TaskPlan planTasks(const FleetState& state, const std::map<std::string, InstanceUsage>& usages)
{
    TaskPlan plan;
    auto loads = internal::loadsOf(state, usages);
    internal::TaskPreemption preemption(state, plan);
    for (const auto& [id, load] : loads)
        preemption.run(load);
    internal::TaskPlacement(state, loads, plan).run();
    return plan;
}

} // namespace shallotdrift
