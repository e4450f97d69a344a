#include "WorkerPacking.h"

#include <algorithm>

namespace shallotdrift {

static double shareOf(int64_t needed, int64_t available)
{
    return available > 0 ? static_cast<double>(needed) / static_cast<double>(available) : 0;
}

static double largestShare(const Resources& needed, const Resources& worker)
{
    return std::max({ shareOf(needed.milliCores, worker.milliCores),
        shareOf(needed.memoryMegabytes, worker.memoryMegabytes), shareOf(needed.accelerators, worker.accelerators) });
}

// Takes as many tasks as fit from the free room and returns their number.
static uint32_t takeTasks(const PackedStep& step, uint32_t remaining, Resources& free)
{
    uint32_t limit = step.maximumTasksPerWorker > 0 ? std::min(step.maximumTasksPerWorker, remaining) : remaining;
    uint32_t taken = 0;
    for (; taken < limit && step.taskResources.fitsIn(free); ++taken)
        free -= step.taskResources;
    return taken;
}

uint32_t workersForTasks(std::vector<PackedStep> steps, const Resources& worker)
{
    std::sort(steps.begin(), steps.end(), [&](const PackedStep& left, const PackedStep& right) {
        return largestShare(left.taskResources, worker) > largestShare(right.taskResources, worker);
    });
    std::vector<Resources> freeOfWorkers;
    for (const auto& step : steps) {
        if (!step.taskResources.fitsIn(worker))
            continue;
        uint32_t remaining = step.count;
        for (auto& free : freeOfWorkers)
            remaining -= takeTasks(step, remaining, free);
        while (remaining > 0) {
            freeOfWorkers.push_back(worker);
            remaining -= takeTasks(step, remaining, freeOfWorkers.back());
        }
    }
    return static_cast<uint32_t>(freeOfWorkers.size());
}

} // namespace shallotdrift
