// Placement of long-running tasks: a task that fits on no worker holds room on one until the short tasks there have
// ended, and a task that has to leave its worker is stopped only once it holds room elsewhere.
//
// Alternatives that were considered: preempting short tasks throws away work of jobs that would have met their
// deadline; a reserve of free room in each pool has to be as large as the largest task, on many workers; stopping first
// and placing afterwards left tasks down for 12 s to 18 s, since short tasks took every gap.
#include "ServiceScheduler.h"
#include "WorkerPacking.h"

#include <algorithm>
#include <cmath>

namespace shallotdrift {

void ServiceScheduler::setHold(const TaskId& id, Worker& worker, const Resources& resources)
{
    releaseHold(id);
    holds_.set(id, worker.info.id, resources);
    worker.held = holds_.held(worker.info.id);
}

void ServiceScheduler::releaseHold(const TaskId& id)
{
    const auto* hold = holds_.find(id);
    if (!hold)
        return;
    auto worker = workers_.find(hold->worker);
    holds_.release(id);
    if (worker != workers_.end())
        worker->second.held = holds_.held(worker->first);
}

// Whether the task waits for a worker, or runs on one that it has to leave.
bool ServiceScheduler::mayStillNeedHold(const TaskId& id) const
{
    auto job = jobs_.find(id.job);
    if (job == jobs_.end() || !job->second.active())
        return false;
    const auto* task = job->second.findTask(id);
    if (!task || task->state == TaskState::Completed)
        return false;
    if (task->state == TaskState::Waiting)
        return true;
    auto worker = workers_.find(task->worker);
    if (worker == workers_.end())
        return true;
    auto run = worker->second.runs.find(id);
    return worker->second.cordoned || worker->second.info.draining
        || (run != worker->second.runs.end() && run->second.stopRequested);
}

void ServiceScheduler::releaseObsoleteHolds(const Now& now)
{
    std::vector<TaskId> obsolete;
    holds_.forEach([&](const TaskId& id, const PlacementHolds::Hold& hold) {
        auto worker = workers_.find(hold.worker);
        if (worker == workers_.end() || !isSchedulable(worker->second, now.steady) || !mayStillNeedHold(id))
            obsolete.push_back(id);
    });
    for (const auto& id : obsolete)
        releaseHold(id);
}

// Holds room on the worker that lacks the least for the task, if there is one that could run it beside its long-running
// tasks and the holds of other tasks.
void ServiceScheduler::holdRoom(const StepSpec& spec, const TaskId& id, const std::vector<Worker*>& workers)
{
    auto needed = spec.reservedResources();
    Worker* best = nullptr;
    std::pair<bool, double> bestScore;
    for (auto* worker : workers) {
        if (!hasPlaceFor(*worker, spec, id))
            continue;
        auto room = worker->info.capacity;
        room -= worker->held;
        for (const auto& [other, run] : worker->runs)
            if (run.longRunning)
                room -= run.allocated;
        if (!needed.fitsIn(room))
            continue;
        auto free = worker->freeResources();
        free -= worker->held;
        auto lacking = [](int64_t request, int64_t available, int64_t capacity) {
            return capacity > 0
                ? static_cast<double>(std::max<int64_t>(0, request - available)) / static_cast<double>(capacity)
                : 0;
        };
        std::pair<bool, double> score { worker->maintenanceDue,
            std::max(lacking(needed.milliCores, free.milliCores, worker->info.capacity.milliCores),
                lacking(needed.memoryMegabytes, free.memoryMegabytes, worker->info.capacity.memoryMegabytes)) };
        if (!best || score < bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    if (best)
        setHold(id, *best, needed);
    else
        unplaced_.push_back({ 1, needed, spec.maximumTasksPerWorker });
}

void ServiceScheduler::placeLongRunningStep(Job& job, Occurrence& occurrence, uint32_t step,
    const std::vector<Worker*>& workers, std::vector<StartOrder>& orders, const Now& now)
{
    const auto& spec = job.spec().steps[step];
    auto& tasks = occurrence.steps[step].tasks;
    bool full = false; // a task without a hold fits nowhere
    for (uint32_t index = 0; index < tasks.size(); ++index) {
        auto& task = tasks[index];
        if (task.state != TaskState::Waiting || task.notBefore > now.steady)
            continue;
        TaskId id { job.id(), occurrence.number, step, index };
        if (!withinQuota(job, spec.taskResources)) {
            releaseHold(id);
            continue;
        }
        bool holding = holds_.find(id) != nullptr;
        auto* worker = full && !holding ? nullptr : chooseWorker(spec, id, workers);
        if (worker) {
            releaseHold(id);
            assign(*worker, id, task, spec, task.runNumber + 1);
            orders.push_back(makeStartOrder(job, id, task));
        } else if (!holding) {
            full = true;
            holdRoom(spec, id, workers);
        }
    }
}

// A task on an unresponsive worker may have ended with the worker.
bool ServiceScheduler::isUnavailable(const JobTask& task) const
{
    if (!task.available)
        return true;
    auto worker = workers_.find(task.worker);
    return worker == workers_.end() || worker->second.unresponsive;
}

// Evicts long-running tasks from cordoned and draining workers, each once it holds room elsewhere. At most
// maximumUnavailable tasks of a step may be unavailable at once, but a draining worker goes away in any case, so its
// tasks are evicted without this limit, and after half of the time that it serves on also without room elsewhere: a
// stop saves their progress.
void ServiceScheduler::planEvictions(const Now& now)
{
    std::vector<Worker*> candidates;
    // A run that the previous owner ordered to stop may still be reported as available. Evictions from cordoned workers
    // wait until reports show such stops, so that these runs count as unavailable.
    bool settled = now.steady >= settledAt_;
    for (auto& [workerId, worker] : workers_) {
        if (!(worker.cordoned && settled) && !worker.info.draining)
            continue;
        bool leavesSoon = worker.info.draining && now.steady - worker.drainingSince > options_.drainTime / 2;
        for (auto& [id, run] : worker.runs) {
            if (!run.longRunning || run.stopRequested || !run.confirmed)
                continue;
            auto* job = find(id.job);
            if (!job || !job->active())
                continue;
            const auto& tasks = job->openOccurrences().at(id.occurrence).steps[id.step].tasks;
            const auto& spec = job->spec().steps[id.step];
            size_t unavailable = std::count_if(
                tasks.begin(), tasks.end(), [this](const JobTask& task) { return isUnavailable(task); });
            bool taskUnavailable = isUnavailable(tasks[id.index]);
            if (spec.maximumUnavailable > 0 && unavailable - (taskUnavailable ? 1 : 0) >= spec.maximumUnavailable
                && !worker.info.draining)
                continue;
            if (candidates.empty())
                candidates = schedulableWorkers(now.steady);
            auto* target = chooseWorker(spec, id, candidates);
            if (target)
                setHold(id, *target, spec.reservedResources());
            else if (!holds_.find(id))
                holdRoom(spec, id, candidates);
            if (!target && !leavesSoon)
                continue;
            run.stopRequested = true;
            job->findTask(id)->available = false;
        }
    }
}

uint32_t ServiceScheduler::workersForLongRunningTasks(Instant now) const
{
    Resources sum;
    int64_t workerCount = 0;
    for (const auto& [id, worker] : workers_)
        if (worker.registered && worker.info.capacity.memoryMegabytes > 0) {
            sum += worker.info.capacity;
            ++workerCount;
        }
    if (workerCount == 0)
        return 0;
    Resources average { sum.milliCores / workerCount, sum.memoryMegabytes / workerCount,
        sum.accelerators / workerCount };
    std::vector<PackedStep> steps;
    for (const auto& [jobId, job] : jobs_)
        if (job.active() && job.longRunning())
            for (size_t open = job.openOccurrences().size(); open > 0; --open)
                for (const auto& spec : job.spec().steps)
                    if (spec.longRunning)
                        steps.push_back({ spec.count, spec.reservedResources(), spec.maximumTasksPerWorker });
    // The tasks arrive one after another and stay where they are, which packs them less tightly than a fresh packing.
    static constexpr double packingMargin = 1.1;
    auto needed = static_cast<uint32_t>(std::ceil(packingMargin * workersForTasks(std::move(steps), average)));
    // Tasks for which no worker is large enough any more, since they are packed worse than that.
    if (!unplaced_.empty()) {
        auto usable = std::count_if(
            workers_.begin(), workers_.end(), [&](const auto& entry) { return isSchedulable(entry.second, now); });
        needed = std::max(needed, static_cast<uint32_t>(usable) + workersForTasks(unplaced_, average));
    }
    return needed;
}

} // namespace shallotdrift
