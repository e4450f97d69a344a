#include "PlacementHolds.h"

#include <algorithm>

namespace shallotdrift {

void PlacementHolds::set(const TaskId& task, std::string worker, const Resources& resources)
{
    release(task);
    byWorker_[worker][task] = resources;
    holds_[task] = { std::move(worker), resources };
}

void PlacementHolds::release(const TaskId& task)
{
    auto found = holds_.find(task);
    if (found == holds_.end())
        return;
    auto worker = byWorker_.find(found->second.worker);
    worker->second.erase(task);
    if (worker->second.empty())
        byWorker_.erase(worker);
    holds_.erase(found);
}

const PlacementHolds::Hold* PlacementHolds::find(const TaskId& task) const
{
    auto found = holds_.find(task);
    return found == holds_.end() ? nullptr : &found->second;
}

Resources PlacementHolds::held(const std::string& worker) const
{
    Resources sum;
    if (auto found = byWorker_.find(worker); found != byWorker_.end())
        for (const auto& [task, resources] : found->second)
            sum += resources;
    return sum;
}

size_t PlacementHolds::countOn(const std::string& worker) const
{
    auto found = byWorker_.find(worker);
    return found == byWorker_.end() ? 0 : found->second.size();
}

size_t PlacementHolds::holdsOfStep(const std::string& worker, const TaskId& task) const
{
    auto found = byWorker_.find(worker);
    if (found == byWorker_.end())
        return 0;
    return static_cast<size_t>(std::count_if(found->second.begin(), found->second.end(), [&](const auto& entry) {
        const auto& other = entry.first;
        return other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
            && other.index != task.index;
    }));
}

} // namespace shallotdrift
