// Placing: which waiting task goes to which worker, and which runs leave a worker that is to be emptied.
#include "ServiceScheduler.h"

#include <algorithm>
#include <limits>

namespace shallotdrift {

bool ServiceScheduler::isSchedulable(const Worker& worker, Instant now) const
{
    return worker.registered && worker.reported && !worker.unresponsive && !worker.info.draining && !worker.cordoned
        && worker.quarantinedUntil <= now && now - worker.lastResponseAt < options_.contactTimeout;
}

std::vector<Worker*> ServiceScheduler::schedulableWorkers(Instant now)
{
    std::vector<Worker*> usable;
    for (auto& [id, worker] : workers_)
        if (isSchedulable(worker, now))
            usable.push_back(&worker);
    return usable;
}

ServiceScheduler::Capacity ServiceScheduler::capacity(Instant now) const
{
    Capacity capacity;
    for (const auto& [id, worker] : workers_) {
        if (!worker.registered)
            continue;
        auto cores = static_cast<double>(worker.info.capacity.milliCores) / 1000;
        if (isSchedulable(worker, now)) {
            capacity.schedulableCores += cores;
            capacity.allocatedCores += static_cast<double>(worker.allocated.milliCores) / 1000;
        } else if (worker.cordoned || worker.info.draining)
            capacity.cordonedCores += cores;
        else if (worker.quarantinedUntil > now)
            capacity.quarantinedCores += cores;
        else
            capacity.unresponsiveCores += cores;
    }
    return capacity;
}

static bool hasWaitingTask(const Job& job)
{
    for (const auto& [number, occurrence] : job.openOccurrences())
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            bool waiting = occurrence.steps[step].remainingTasks != 0
                && std::any_of(
                    tasks.begin(), tasks.end(), [](const JobTask& task) { return task.state == TaskState::Waiting; });
            if (waiting && job.stepReady(occurrence, step))
                return true;
        }
    return false;
}

// Lasting tasks first, since they earn all the time; then by priority and objective. Jobs past their objective come
// last: they earn little, and running them first would make the others late as well.
std::vector<Job*> ServiceScheduler::jobsInSchedulingOrder(const Now& now)
{
    struct Rank {
        bool serving;
        bool late;
        uint32_t priority;
        WallTime objective;
        Job* job;
    };
    std::vector<Rank> ranks;
    for (auto& [id, job] : jobs_) {
        if (!job.active() || !hasWaitingTask(job))
            continue;
        auto queue = queues_.find(job.queue());
        auto objective = softDeadline(job);
        auto left = job.openOccurrences().empty() ? Milliseconds { 0 }
                                                  : job.remainingCriticalPath(job.openOccurrences().begin()->second);
        ranks.push_back({ job.longRunning(), now.wall + left > objective,
            queue == queues_.end() ? 0 : queue->second.priority, objective, &job });
    }
    std::sort(ranks.begin(), ranks.end(), [](const Rank& left, const Rank& right) {
        return std::make_tuple(!left.serving, left.late, left.priority, !left.job->started(), left.objective)
            < std::make_tuple(!right.serving, right.late, right.priority, !right.job->started(), right.objective);
    });
    std::vector<Job*> jobs;
    jobs.reserve(ranks.size());
    for (const auto& rank : ranks)
        jobs.push_back(rank.job);
    return jobs;
}

static bool hasLabel(const Worker& worker, const std::string& label)
{
    return std::find(worker.info.labels.begin(), worker.info.labels.end(), label) != worker.info.labels.end();
}

static size_t runsOfStep(const Worker& worker, const std::string& job, uint32_t occurrence, uint32_t step)
{
    size_t count = 0;
    for (auto run = worker.runs.lower_bound({ job, occurrence, step, 0 }); run != worker.runs.end(); ++run) {
        if (run->first.job != job || run->first.occurrence != occurrence || run->first.step != step)
            break;
        ++count;
    }
    return count;
}

// Fills the workers one after another, so that whole instances become free for other pools. Tasks that serve and tasks
// that fill disturb each other and are spread instead.
Worker* ServiceScheduler::chooseWorker(
    const Job& job, const Occurrence& occurrence, uint32_t step, const std::vector<Worker*>& workers) const
{
    const auto& spec = job.spec().steps[step];
    auto needed = spec.taskResources;
    if (spec.bestEffort)
        needed.milliCores = 0;
    Worker* best = nullptr;
    std::tuple<bool, double, double> bestScore { true, std::numeric_limits<double>::max(), 0 };
    for (auto* worker : workers) {
        auto room = worker->freeResources();
        if (!needed.fitsIn(room) || (!spec.requiredLabel.empty() && !hasLabel(*worker, spec.requiredLabel)))
            continue;
        if (spec.maximumTasksPerWorker > 0
            && runsOfStep(*worker, job.id(), occurrence.number, step) >= spec.maximumTasksPerWorker)
            continue;
        bool far = !spec.dataRack.empty() && !hasLabel(*worker, spec.dataRack);
        // A lasting task would have to leave again, and only a few of a step may be away at once.
        double disturbers = spec.longRunning && worker->maintenanceDue ? 100 : 0;
        if (spec.bestEffort || spec.tailLatencyTarget.count() > 0)
            for (const auto& [id, run] : worker->runs)
                disturbers
                    += spec.bestEffort ? (run.tailLatencyTarget.count() > 0 ? 1 : 0.3) : (run.bestEffort ? 1 : 0);
        std::tuple<bool, double, double> score { far, disturbers,
            spec.bestEffort ? -static_cast<double>(room.milliCores) : static_cast<double>(room.milliCores) };
        if (!best || score < bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

StartOrder ServiceScheduler::makeStartOrder(const Job& job, const TaskId& id, const JobTask& task) const
{
    return { task.worker, id, task.runNumber, job.spec().payload, task.checkpoint };
}

// All members of a gang or none; they share a run number and a checkpoint.
bool ServiceScheduler::placeGang(
    Job& job, Occurrence& occurrence, uint32_t step, std::vector<Worker*>& workers, std::vector<StartOrder>& orders)
{
    const auto& spec = job.spec().steps[step];
    auto& tasks = occurrence.steps[step].tasks;
    uint32_t run = 0;
    std::string checkpoint;
    for (const auto& task : tasks) {
        if (!task.worker.empty())
            return false; // members of the earlier run have not ended yet
        run = std::max(run, task.runNumber);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    auto tryOn = [&](const std::vector<Worker*>& candidates) {
        std::vector<std::pair<Worker*, TaskId>> placed;
        for (uint32_t index = 0; index < tasks.size(); ++index) {
            auto* worker = chooseWorker(job, occurrence, step, candidates);
            if (!worker)
                break;
            TaskId id { job.id(), occurrence.number, step, index };
            assign(*worker, id, tasks[index], spec, run + 1);
            tasks[index].checkpoint = checkpoint;
            placed.emplace_back(worker, id);
        }
        if (placed.size() == tasks.size())
            return true;
        for (auto& [worker, id] : placed) {
            worker->allocated -= worker->runs.at(id).allocated;
            worker->runs.erase(id);
            auto& task = tasks[id.index];
            task.state = TaskState::Waiting;
            task.worker.clear();
            task.runNumber = run;
        }
        return false;
    };
    bool done = false;
    if (spec.prefersSameRack) {
        std::map<std::string, std::vector<Worker*>> racks;
        for (auto* worker : workers)
            racks[worker->info.rack.value_or("")].push_back(worker);
        for (const auto& rack : racks)
            if ((done = tryOn(rack.second)))
                break;
    }
    if (!done && !tryOn(workers))
        return false;
    for (uint32_t index = 0; index < tasks.size(); ++index)
        orders.push_back(makeStartOrder(job, { job.id(), occurrence.number, step, index }, tasks[index]));
    return true;
}

bool ServiceScheduler::Candidates::isTooLarge(const Resources& needed) const
{
    return std::any_of(
        tooLarge.begin(), tooLarge.end(), [&](const Resources& smaller) { return smaller.fitsIn(needed); });
}

void ServiceScheduler::placeStep(Job& job, Occurrence& occurrence, uint32_t step, Candidates& candidates,
    std::vector<StartOrder>& orders, const Now& now)
{
    const auto& spec = job.spec().steps[step];
    auto& tasks = occurrence.steps[step].tasks;
    if (spec.gang) {
        bool waiting = std::all_of(tasks.begin(), tasks.end(),
            [&](const JobTask& task) { return task.state == TaskState::Waiting && task.notBefore <= now.steady; });
        if (waiting)
            placeGang(job, occurrence, step, candidates.workers, orders);
        return;
    }
    // Only where the room decides alone does one failure speak for others.
    bool plain = !spec.bestEffort && spec.requiredLabel.empty() && spec.maximumTasksPerWorker == 0;
    if (plain && candidates.isTooLarge(spec.taskResources))
        return;
    for (uint32_t index = 0; index < tasks.size(); ++index) {
        auto& task = tasks[index];
        if (task.state != TaskState::Waiting || task.notBefore > now.steady)
            continue;
        auto* worker = chooseWorker(job, occurrence, step, candidates.workers);
        if (!worker) {
            if (plain)
                candidates.tooLarge.push_back(spec.taskResources);
            return;
        }
        TaskId id { job.id(), occurrence.number, step, index };
        assign(*worker, id, task, spec, task.runNumber + 1);
        orders.push_back(makeStartOrder(job, id, task));
    }
}

void ServiceScheduler::placeJob(Job& job, Candidates& candidates, std::vector<StartOrder>& orders, const Now& now)
{
    size_t before = orders.size();
    for (auto& [number, occurrence] : job.openOccurrences())
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step)
            if (occurrence.steps[step].remainingTasks != 0 && job.stepReady(occurrence, step))
                placeStep(job, occurrence, step, candidates, orders, now);
    if (orders.size() > before) {
        job.setStarted();
        job.dirty = true;
    }
}

// Starts without an answer are sent again with the same number.
void ServiceScheduler::resendStarts(std::vector<StartOrder>& orders, const Now& now)
{
    if (!hasUncertainStarts_)
        return;
    hasUncertainStarts_ = false;
    for (auto& [workerId, worker] : workers_)
        for (auto& [id, run] : worker.runs) {
            if (!run.startUncertain || run.confirmed || run.stopRequested)
                continue;
            hasUncertainStarts_ = true;
            if (run.resendAt > now.steady)
                continue;
            auto* job = find(id.job);
            auto* task = job ? job->findTask(id) : nullptr;
            if (!task || task->runNumber != run.number)
                continue;
            run.resendAt = Instant::max();
            orders.push_back(makeStartOrder(*job, id, *task));
            orders.back().resend = true;
        }
}

std::vector<StartOrder> ServiceScheduler::plan(const Now& now)
{
    // What it looks for takes at least half a second to show.
    static constexpr Milliseconds reviewInterval { 50 };
    std::vector<StartOrder> orders;
    resendStarts(orders, now);
    for (auto& [id, job] : jobs_)
        if (job.active() && job.hasFutureOccurrences())
            job.openDueOccurrences(now.wall);
    if (now.steady - healthCheckedAt_ >= reviewInterval) {
        healthCheckedAt_ = now.steady;
        checkWorkerHealth(now);
    }
    planEvictions(now);
    Candidates candidates { schedulableWorkers(now.steady), {} };
    if (candidates.workers.empty())
        return orders;
    for (auto* job : jobsInSchedulingOrder(now))
        placeJob(*job, candidates, orders, now);
    return orders;
}

// A task on a worker that does not answer may have ended with it.
bool ServiceScheduler::isUnavailable(const JobTask& task) const
{
    if (!task.available)
        return true;
    auto worker = workers_.find(task.worker);
    return worker == workers_.end() || worker->second.unresponsive;
}

// Lasting tasks leave a worker that is draining or to be emptied, no more of a step at once than it may miss.
void ServiceScheduler::planEvictions(const Now& now)
{
    std::vector<Worker*> targets;
    // A run that the earlier owner has begun to stop is still listed as at work, but counts as away already.
    bool settled = now.steady >= settledAt_;
    for (auto& [workerId, worker] : workers_) {
        if (!(worker.cordoned && settled) && !worker.info.draining)
            continue;
        if (targets.empty())
            targets = schedulableWorkers(now.steady);
        for (auto& [id, run] : worker.runs) {
            if (!run.longRunning || run.stopRequested || !run.confirmed)
                continue;
            auto* job = find(id.job);
            if (!job || !job->active())
                continue;
            auto& occurrence = job->openOccurrences().at(id.occurrence);
            const auto& tasks = occurrence.steps[id.step].tasks;
            auto mayMiss = job->spec().steps[id.step].maximumUnavailable;
            size_t away = std::count_if(
                tasks.begin(), tasks.end(), [this](const JobTask& task) { return isUnavailable(task); });
            bool self = isUnavailable(tasks[id.index]);
            if (mayMiss > 0 && away - (self ? 1 : 0) >= mayMiss && !worker.info.draining)
                continue;
            if (!worker.info.draining && !chooseWorker(*job, occurrence, id.step, targets))
                continue; // nowhere to go yet
            run.stopRequested = true;
            job->findTask(id)->available = false;
        }
    }
}

} // namespace shallotdrift
