#include "TaskPlacement.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace shallotdrift::internal {

TaskPlacement::TaskPlacement(const FleetState& state, InstanceLoads& loads, TaskPlan& plan)
    : state_(state)
    , loads_(loads)
    , plan_(plan)
{
    for (const auto& [id, task] : state.tasks)
        placedOfTeam_[task.team] += task.status == TaskStatus::Placed ? 1 : 0;
}

static std::string describe(const Task& task)
{
    return fmt::format(
        "{}: {} cores, {} MB, {} accelerators", task.kind, task.cores, task.memoryMegabytes, task.accelerators);
}

void TaskPlacement::run()
{
    for (const auto* task : waitingTasks()) {
        if (!state_.configuration.kinds.count(task->kind) || isQuotaUsedUp(*task))
            continue;
        if (auto* load = choose(*task))
            place(*task, *load);
        else if (isImpossible(*task))
            plan_.impossible.push_back(
                { task->id, task->token, describe(*task) + "; too large for, or failed on, every instance" });
    }
}

// Urgent kinds first, then in the order of acceptance.
std::vector<const Task*> TaskPlacement::waitingTasks() const
{
    std::vector<const Task*> waiting;
    for (const auto& [id, task] : state_.tasks) {
        if (task.status == TaskStatus::Waiting)
            waiting.push_back(&task);
    }
    auto rank = [&](const Task* task) { return std::make_tuple(urgencyOf(state_, *task), task->acceptedAt); };
    std::stable_sort(waiting.begin(), waiting.end(), [&](const Task* a, const Task* b) { return rank(a) < rank(b); });
    return waiting;
}

const std::string& TaskPlacement::poolOf(const Task& task) const
{
    return state_.configuration.kinds.at(task.kind).pool;
}

// A placed task counts as one slot of its team.
bool TaskPlacement::isQuotaUsedUp(const Task& task) const
{
    auto team = state_.configuration.teams.find(task.team);
    if (team == state_.configuration.teams.end() || team->second.slotQuota == 0)
        return false;
    return placedOfTeam_.at(task.team) >= team->second.slotQuota;
}

bool TaskPlacement::mayRunOn(const Task& task, const Instance& instance) const
{
    return instance.available() && instance.pool == poolOf(task) && !task.failedInstances.count(instance.id);
}

// Prefers instances whose accelerators the task does not leave idle, then the one with the most free cores, which
// leaves the most room for requests on each.
InstanceLoad* TaskPlacement::choose(const Task& task)
{
    InstanceLoad* best = nullptr;
    auto rank = [&](const InstanceLoad& load) {
        return std::make_tuple(load.instance->shape.accelerators - task.accelerators, -load.freeCores());
    };
    for (auto& [id, load] : loads_) {
        if (!mayRunOn(task, *load.instance) || !load.fits(task))
            continue;
        if (!best || rank(load) < rank(*best))
            best = &load;
    }
    return best;
}

void TaskPlacement::place(const Task& task, InstanceLoad& load)
{
    auto reason = fmt::format("{}; {:.1f} cores free", describe(task), load.freeCores());
    load.add(task);
    ++placedOfTeam_[task.team];
    plan_.placements.push_back({ task.id, load.instance->id, load.instance->epoch, task.token, std::move(reason) });
}

// Whether instances of the pool are known and none of them could run the task even when empty. Lost and lent ones
// count, as they may return.
bool TaskPlacement::isImpossible(const Task& task) const
{
    bool known = false;
    for (const auto& [id, instance] : state_.instances) {
        if (instance.pool != poolOf(task) && instance.homePool != poolOf(task))
            continue;
        known = true;
        InstanceLoad empty;
        empty.instance = &instance;
        if (empty.fits(task) && !task.failedInstances.count(id))
            return false;
    }
    return known;
}

} // namespace shallotdrift::internal
