// Placement: which worker runs which waiting task.
#include "ServiceScheduler.h"

#include <algorithm>
#include <limits>

namespace shallotdrift {

bool ServiceScheduler::isSchedulable(const Worker& worker, Instant now) const
{
    return worker.registered && worker.reported && !worker.unresponsive && worker.lease.hasClockSample()
        && !worker.info.draining && !worker.cordoned && worker.quarantinedUntil <= now
        && now - worker.lastResponseAt < options_.contactTimeout;
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

// Jobs with long-running tasks come first, since they are of value as long as they run. Jobs are then ordered by
// priority, then jobs of which a task has been placed, then by soft deadline. Jobs that will miss their soft deadline
// come after those: they are of little value, and running them first would delay other jobs beyond their soft
// deadlines. What an account sends beyond its share comes last, so that its flood delays nobody else.
std::vector<Job*> ServiceScheduler::jobsInSchedulingOrder(const Now& now)
{
    struct Rank {
        bool longRunning;
        bool beyondShare;
        bool overdue;
        uint32_t priority;
        WallTime deadline;
        Job* job;
    };
    std::vector<Rank> ranks;
    for (auto& [id, job] : jobs_) {
        if (!job.active() || !hasWaitingTask(job))
            continue;
        auto queue = queues_.find(job.queue());
        auto deadline = softDeadline(job);
        auto remaining = job.openOccurrences().empty()
            ? Milliseconds { 0 }
            : job.remainingCriticalPath(job.openOccurrences().begin()->second);
        ranks.push_back({ job.longRunning(), job.beyondShare(), now.wall + remaining > deadline,
            queue == queues_.end() ? 0 : queue->second.priority, deadline, &job });
    }
    std::sort(ranks.begin(), ranks.end(), [](const Rank& left, const Rank& right) {
        auto key = [](const Rank& rank) {
            return std::make_tuple(
                !rank.longRunning, rank.beyondShare, rank.overdue, rank.priority, !rank.job->placed(), rank.deadline);
        };
        return key(left) < key(right);
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

// Whether the label and the limit of tasks per worker allow the task there. A superseded run of the task keeps its room
// until it has ended, so the next run cannot take its place in Worker::runs.
bool ServiceScheduler::hasPlaceFor(const Worker& worker, const StepSpec& spec, const TaskId& id) const
{
    if (worker.runs.count(id) != 0)
        return false;
    if (!spec.requiredLabel.empty() && !hasLabel(worker, spec.requiredLabel))
        return false;
    return spec.maximumTasksPerWorker == 0
        || runsOfStep(worker, id.job, id.occurrence, id.step) + holds_.holdsOfStep(worker.info.id, id)
        < spec.maximumTasksPerWorker;
}

// Best fit: packs the workers one after another, so that whole instances become free for other pools. Serving and
// best-effort tasks interfere with each other and are spread instead. Null if no worker fits.
Worker* ServiceScheduler::chooseWorker(
    const StepSpec& spec, const TaskId& id, const std::vector<Worker*>& workers, Instant endsAt, bool* barred) const
{
    auto needed = spec.reservedResources();
    Worker* best = nullptr;
    std::tuple<bool, double, double> bestScore { true, std::numeric_limits<double>::max(), 0 };
    const auto* ownHold = spec.longRunning ? holds_.find(id) : nullptr;
    for (auto* worker : workers) {
        auto available = worker->freeResources();
        available -= worker->held;
        if (ownHold && ownHold->worker == worker->info.id)
            available += ownHold->resources;
        if (spec.bestEffort) // needs no cores, also where more are held than are free
            available.milliCores = std::max<int64_t>(available.milliCores, 0);
        if (!needed.fitsIn(available) || !hasPlaceFor(*worker, spec, id))
            continue;
        if (!reservations_.allows(worker->info.id, id.job, needed, endsAt)) {
            if (barred)
                *barred = true;
            continue;
        }
        bool remoteData = !spec.dataRack.empty() && !hasLabel(*worker, spec.dataRack);
        // Maintenance would soon evict a long-running task again, and few tasks of a step may be unavailable at once.
        double interference = spec.longRunning && worker->maintenanceDue ? 100 : 0;
        if (spec.bestEffort || spec.tailLatencyTarget.count() > 0)
            for (const auto& [other, run] : worker->runs)
                interference
                    += spec.bestEffort ? (run.tailLatencyTarget.count() > 0 ? 1 : 0.3) : (run.bestEffort ? 1 : 0);
        std::tuple<bool, double, double> score { remoteData, interference,
            spec.bestEffort ? -static_cast<double>(available.milliCores) : static_cast<double>(available.milliCores) };
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

// Places all tasks of a gang or none. They share a run number and a checkpoint.
bool ServiceScheduler::placeGang(Job& job, Occurrence& occurrence, uint32_t step, std::vector<Worker*>& workers,
    std::vector<StartOrder>& orders, const Now& now)
{
    const auto& spec = job.spec().steps[step];
    auto& tasks = occurrence.steps[step].tasks;
    uint32_t run = 0;
    std::string checkpoint;
    for (const auto& task : tasks) {
        if (!task.worker.empty())
            return false; // the previous run of a member has not ended yet
        run = std::max(run, task.runNumber);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    Resources needed;
    for (uint32_t member = 0; member < spec.count; ++member)
        needed += spec.taskResources;
    if (!withinQuota(job, needed))
        return false;
    auto endsAt = now.steady + runTimes_.predict(kindOf(job, step), spec.estimatedDuration);
    auto tryPlace = [&](const std::vector<Worker*>& candidates) {
        std::vector<std::pair<Worker*, TaskId>> placed;
        for (uint32_t index = 0; index < tasks.size(); ++index) {
            TaskId id { job.id(), occurrence.number, step, index };
            auto* worker = chooseWorker(spec, id, candidates, endsAt);
            if (!worker)
                break;
            assign(*worker, id, tasks[index], spec, run + 1);
            tasks[index].checkpoint = checkpoint;
            placed.emplace_back(worker, id);
        }
        if (placed.size() == tasks.size())
            return true;
        for (auto& [worker, id] : placed) {
            const auto& placedRun = worker->runs.at(id);
            worker->allocated -= placedRun.allocated;
            quotas_.removeUsed(placedRun.account, placedRun.held);
            worker->runs.erase(id);
            auto& task = tasks[id.index];
            task.state = TaskState::Waiting;
            task.worker.clear();
            task.runNumber = run;
        }
        return false;
    };
    bool placedInRack = false;
    if (spec.prefersSameRack) {
        std::map<std::string, std::vector<Worker*>> racks;
        for (auto* worker : workers)
            racks[worker->info.rack.value_or("")].push_back(worker);
        for (const auto& rack : racks)
            if ((placedInRack = tryPlace(rack.second)))
                break;
    }
    if (!placedInRack && !tryPlace(workers))
        return false;
    for (uint32_t index = 0; index < tasks.size(); ++index) {
        reservations_.onPlaced(tasks[index].worker, job.id(), spec.reservedResources(), endsAt);
        orders.push_back(makeStartOrder(job, { job.id(), occurrence.number, step, index }, tasks[index]));
    }
    return true;
}

static bool includesSmaller(const std::vector<Resources>& requests, const Resources& needed)
{
    return std::any_of(
        requests.begin(), requests.end(), [&](const Resources& smaller) { return smaller.fitsIn(needed); });
}

bool ServiceScheduler::Candidates::isTooLarge(const Resources& needed) const
{
    return includesSmaller(tooLarge, needed);
}

bool ServiceScheduler::Candidates::isUnreservable(const Resources& needed) const
{
    return includesSmaller(unreservable, needed);
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
            placeGang(job, occurrence, step, candidates.workers, orders, now);
        return;
    }
    if (spec.longRunning) {
        placeLongRunningStep(job, occurrence, step, candidates.workers, orders, now);
        return;
    }
    auto endsAt = now.steady + runTimes_.predict(kindOf(job, step), spec.estimatedDuration);
    bool reserves = options_.maximumReservations > 0 && !spec.bestEffort && !job.beyondShare();
    // One request that does not fit rules out larger requests only if free resources are the sole criterion.
    bool resourcesOnly = !spec.bestEffort && spec.requiredLabel.empty() && spec.maximumTasksPerWorker == 0;
    if (resourcesOnly && candidates.isTooLarge(spec.taskResources)) {
        if (reserves)
            reserveRoom(job, occurrence, step, candidates, now);
        return;
    }
    for (uint32_t index = 0; index < tasks.size(); ++index) {
        auto& task = tasks[index];
        if (task.state != TaskState::Waiting || task.notBefore > now.steady)
            continue;
        if (!withinQuota(job, spec.taskResources))
            return;
        TaskId id { job.id(), occurrence.number, step, index };
        bool barred = false;
        auto* worker = chooseWorker(spec, id, candidates.workers, endsAt, &barred);
        if (!worker) {
            if (resourcesOnly && !barred)
                candidates.tooLarge.push_back(spec.taskResources);
            if (reserves)
                reserveRoom(job, occurrence, step, candidates, now);
            return;
        }
        assign(*worker, id, task, spec, task.runNumber + 1);
        reservations_.onPlaced(worker->info.id, id.job, spec.reservedResources(), endsAt);
        orders.push_back(makeStartOrder(job, id, task));
    }
}

void ServiceScheduler::placeJob(Job& job, Candidates& candidates, std::vector<StartOrder>& orders, const Now& now)
{
    size_t ordersBefore = orders.size();
    for (auto& [number, occurrence] : job.openOccurrences())
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step)
            if (occurrence.steps[step].remainingTasks != 0 && job.stepReady(occurrence, step))
                placeStep(job, occurrence, step, candidates, orders, now);
    if (orders.size() > ordersBefore) {
        job.setPlaced();
        job.dirty = true;
    }
}

// Adds the starts that got no response and are due to be sent again, with the same run number. Starts on unresponsive
// workers wait, since the next incarnation of such a worker would accept them. On draining workers the runs are stopped
// instead, so that they end or never start, and their tasks are placed elsewhere.
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
            if (run.resendAt > now.steady || worker.unresponsive)
                continue;
            if (worker.info.draining) {
                run.stopRequested = true;
                continue;
            }
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
    // Stalled runs and unresponsive workers cannot be detected in less than half a second, so this is frequent enough.
    static constexpr Milliseconds healthCheckInterval { 50 };
    std::vector<StartOrder> orders;
    resendStarts(orders, now);
    for (auto& [id, job] : jobs_)
        if (job.active() && job.hasFutureOccurrences())
            job.openDueOccurrences(now.wall);
    if (now.steady - healthCheckedAt_ >= healthCheckInterval) {
        healthCheckedAt_ = now.steady;
        checkWorkerHealth(now);
    }
    countUsedQuotas();
    releaseObsoleteHolds(now);
    unplaced_.clear();
    renewReservations(now);
    planEvictions(now);
    Candidates candidates { schedulableWorkers(now.steady), {}, {} };
    if (candidates.workers.empty())
        return orders;
    for (auto* job : jobsInSchedulingOrder(now))
        placeJob(*job, candidates, orders, now);
    return orders;
}

} // namespace shallotdrift
