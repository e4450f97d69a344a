#include "TaskPreemption.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace shallotdrift::internal {

// A throttled task is expected to use half of its declared cores.
static constexpr double throttledShare = 0.5;

TaskPreemption::TaskPreemption(const FleetState& state, TaskPlan& plan)
    : state_(state)
    , plan_(plan)
{
}

void TaskPreemption::run(const InstanceLoad& load)
{
    // Nothing can be checkpointed on a lost instance.
    if (load.tasks.empty() || load.instance->lost)
        return;
    if (load.instance->available())
        relieve(load);
    else
        stopAll(load);
}

void TaskPreemption::stopAll(const InstanceLoad& load)
{
    const char* reason
        = load.instance->status == InstanceStatus::Active ? "the instance is leaving" : "the instance is closing";
    for (const auto* task : load.tasks)
        plan_.preemptions.push_back({ task->id, true, reason });
}

void TaskPreemption::relieve(const InstanceLoad& load)
{
    double used = load.usage.cores > 0 ? load.usage.cores : load.declaredCores;
    double excess = used + load.urgentCores() - load.instance->shape.cores;
    if (load.usage.urgentSlots > 0 && excess > 0)
        preempt(load, used, excess);
}

// Share of a task in what the tasks of an instance use; tasks that declared no cores count as one core.
static double weightOf(const Task& task) { return std::max<uint32_t>(1, task.cores); }

// Throttles when that frees enough. Tasks that already use no more than a throttled task are stopped, as throttling
// them again would free nothing.
void TaskPreemption::preempt(const InstanceLoad& load, double used, double excess)
{
    double totalWeight = 0;
    for (const auto* task : load.tasks)
        totalWeight += weightOf(*task);
    auto tasks = preemptableTasks(load);
    double usedPerWeight = used / totalWeight;
    double freedPerWeight = std::max(0.0, usedPerWeight - throttledShare);
    double throttling = 0;
    for (const auto* task : tasks)
        throttling += weightOf(*task) * freedPerWeight;
    bool stop = throttling < excess;
    for (const auto* task : tasks) {
        if (excess <= 0)
            return;
        plan_.preemptions.push_back({ task->id, stop,
            fmt::format("{:.1f} cores used, {} urgent slots, {} cores", used, load.usage.urgentSlots,
                load.instance->shape.cores) });
        excess -= weightOf(*task) * (stop ? usedPerWeight : freedPerWeight);
    }
}

// Least urgent first; among equals the one that was placed last, which loses the least work.
std::vector<const Task*> TaskPreemption::preemptableTasks(const InstanceLoad& load) const
{
    std::vector<const Task*> tasks;
    for (const auto* task : load.tasks) {
        if (urgencyOf(state_, *task) != Urgency::Urgent)
            tasks.push_back(task);
    }
    auto rank = [&](const Task* task) { return std::make_tuple(urgencyOf(state_, *task), task->token); };
    std::stable_sort(tasks.begin(), tasks.end(), [&](const Task* a, const Task* b) { return rank(a) > rank(b); });
    return tasks;
}

} // namespace shallotdrift::internal
