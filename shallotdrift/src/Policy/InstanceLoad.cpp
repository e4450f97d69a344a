#include "InstanceLoad.h"

#include <algorithm>

namespace shallotdrift::internal {

double InstanceLoad::urgentCores() const
{
    const auto& shape = instance->shape;
    return shape.slots ? static_cast<double>(usage.urgentSlots) * shape.cores / shape.slots : 0;
}

double InstanceLoad::freeCores() const
{
    return instance->shape.cores - std::max(usage.cores, declaredCores) - urgentCores();
}

bool InstanceLoad::fits(const Task& task) const
{
    const auto& shape = instance->shape;
    auto memory = std::max(usage.memoryMegabytes, declaredMemory);
    auto accelerators = std::max<uint64_t>(usage.accelerators, declaredAccelerators);
    // Compared by subtraction, as a declared size may be anything up to the largest number.
    return task.cores <= freeCores() && memory <= shape.memoryMegabytes
        && task.memoryMegabytes <= shape.memoryMegabytes - memory && accelerators <= shape.accelerators
        && task.accelerators <= shape.accelerators - accelerators;
}

void InstanceLoad::add(const Task& task)
{
    tasks.push_back(&task);
    declaredCores += task.cores;
    declaredMemory += task.memoryMegabytes;
    declaredAccelerators += task.accelerators;
}

InstanceLoads loadsOf(const FleetState& state, const std::map<std::string, InstanceUsage>& usages)
{
    InstanceLoads loads;
    for (const auto& [id, instance] : state.instances) {
        auto& load = loads[id];
        load.instance = &instance;
        if (auto usage = usages.find(id); usage != usages.end())
            load.usage = usage->second;
    }
    for (const auto& [id, task] : state.tasks) {
        auto load = loads.find(task.instance);
        if (task.status == TaskStatus::Placed && load != loads.end())
            load->second.add(task);
    }
    return loads;
}

Urgency urgencyOf(const FleetState& state, const Task& task)
{
    auto kind = state.configuration.kinds.find(task.kind);
    return kind == state.configuration.kinds.end() ? Urgency::Bulk : kind->second.urgency;
}

} // namespace shallotdrift::internal
