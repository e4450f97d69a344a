#include "ServiceScheduler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shallotdrift {

// The state record of a job has this suffix behind the job's id; the specification has none.
static constexpr char stateSuffix = '~';

// The record of silent workers; ids of jobs have hexadecimal digits only.
static constexpr char silentPrefix[] = "silent/";

static std::string stateKey(const std::string& id) { return id + stateSuffix; }

ServiceScheduler::ServiceScheduler(std::string service, const ServiceSchedulerOptions& options, Instant now)
    : service_(std::move(service))
    , options_(options)
    , takeoverAt_(now)
{
}

// Jobs

void ServiceScheduler::add(Job&& job)
{
    job.dirty = true;
    auto id = job.id();
    jobs_.insert_or_assign(id, std::move(job));
}

Job* ServiceScheduler::find(const std::string& id)
{
    auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

std::optional<JobStatus> ServiceScheduler::statusOf(const std::string& id, bool* begun) const
{
    auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        if (begun)
            *begun = found->second.started();
        return found->second.status();
    }
    auto ended = ended_.find(id);
    if (ended == ended_.end())
        return std::nullopt;
    if (begun)
        *begun = ended->second.started;
    return ended->second.status;
}

bool ServiceScheduler::cancel(const std::string& id, const Now& now)
{
    auto* job = find(id);
    if (!job)
        return ended_.count(id) != 0;
    if (job->active()) {
        job->setStatus(JobStatus::Cancelled, now.wall);
        stopRuns(*job);
    }
    return true;
}

size_t ServiceScheduler::pendingJobCount(const std::string& queue) const
{
    return std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& entry) {
        const Job& job = entry.second;
        return job.active() && !job.started() && !job.recurring() && job.queue() == queue;
    });
}

void ServiceScheduler::stopRuns(Job& job)
{
    job.forEachTask([this](const TaskId& id, JobTask& task) {
        if (task.worker.empty())
            return;
        if (auto* run = findRun(task.worker, id, task.runNumber))
            run->stopRequested = true;
    });
}

WallTime ServiceScheduler::softDeadline(const Job& job) const
{
    auto queue = queues_.find(job.queue());
    double stretch = queue == queues_.end() ? 2 : queue->second.stretch;
    auto latency = queue == queues_.end() ? Milliseconds { 0 } : queue->second.latencyTarget;
    auto begin = job.recurring() && !job.openOccurrences().empty() ? job.dueTime(job.openOccurrences().begin()->first)
                                                                   : job.submittedAt();
    return begin + latency
        + Milliseconds { static_cast<int64_t>(stretch * static_cast<double>(job.criticalPath().count())) };
}

// Workers

Worker& ServiceScheduler::findOrAddWorker(const std::string& id, Instant now)
{
    auto found = workers_.find(id);
    if (found != workers_.end())
        return found->second;
    Worker worker(WorkerLease(options_.lease, now));
    worker.info.id = id;
    worker.registered = false;
    return workers_.emplace(id, std::move(worker)).first->second;
}

Worker::Run* ServiceScheduler::findRun(const std::string& workerId, const TaskId& id, uint32_t run)
{
    auto worker = workers_.find(workerId);
    if (worker == workers_.end())
        return nullptr;
    auto found = worker->second.runs.find(id);
    return found == worker->second.runs.end() || found->second.number != run ? nullptr : &found->second;
}

void ServiceScheduler::updateWorker(const WorkerInfo& info, Instant now)
{
    auto& worker = findOrAddWorker(info.id, now);
    auto bootTime = worker.info.bootTime;
    worker.info = info;
    worker.registered = true;
    applyCordons(worker);
    if (bootTime != 0)
        worker.info.bootTime = bootTime; // onReport() compares it with what the worker says itself
}

void ServiceScheduler::unregisterWorker(const std::string& id)
{
    auto found = workers_.find(id);
    if (found != workers_.end())
        found->second.registered = false;
}

void ServiceScheduler::setCordons(
    const std::map<std::string, std::string>& cordoned, const std::set<std::string>& maintenanceDue, Instant until)
{
    cordons_ = cordoned;
    maintenanceDue_ = maintenanceDue;
    cordonsUntil_ = until;
    for (auto& [id, worker] : workers_)
        applyCordons(worker);
}

void ServiceScheduler::applyCordons(Worker& worker) const
{
    auto cordon = cordons_.find(worker.info.instance);
    worker.cordoned = cordon != cordons_.end() && cordon->second != service_;
    worker.maintenanceDue = maintenanceDue_.count(worker.info.instance) != 0;
}

void ServiceScheduler::assign(Worker& worker, const TaskId& id, JobTask& task, const StepSpec& step, uint32_t runNumber)
{
    Worker::Run run;
    run.number = runNumber;
    run.allocated = step.taskResources;
    run.bestEffort = step.bestEffort;
    if (step.bestEffort)
        run.allocated.milliCores = 0;
    run.longRunning = step.longRunning;
    run.tailLatencyTarget = step.tailLatencyTarget;
    run.estimatedDuration = step.estimatedDuration;
    worker.allocated += run.allocated;
    worker.runs.insert_or_assign(id, run);
    task.state = TaskState::Placed;
    task.runNumber = runNumber;
    task.worker = worker.info.id;
    task.available = false;
}

bool ServiceScheduler::onReport(
    const std::string& workerId, const WorkerReport& report, Instant askedAt, const Now& now)
{
    auto& worker = findOrAddWorker(workerId, now.steady);
    if (report.bootTime != 0 && worker.info.bootTime != 0 && report.bootTime != worker.info.bootTime) {
        endAllRuns(workerId, now); // the same id after a restart: it knows nothing of before
        worker.lastAppliedEnd = 0;
        worker.lease = WorkerLease(options_.lease, now.steady);
    }
    if (report.bootTime != 0)
        worker.info.bootTime = report.bootTime;
    worker.lease.sampleClock(report.clock, now.steady);
    worker.lastResponseAt = now.steady;
    bool changed = !worker.reported || worker.unresponsive;
    worker.reported = true;
    worker.unresponsive = false;

    ++worker.reportCount;
    for (const auto& row : report.running)
        applyProgress(worker, row, now);
    for (const auto& row : report.ended)
        if (row.sequenceNumber > worker.lastAppliedEnd) {
            applyEnd(worker, row, now);
            worker.lastAppliedEnd = row.sequenceNumber;
            changed = true;
        }
    std::vector<std::pair<TaskId, uint32_t>> absent;
    for (const auto& [id, run] : worker.runs)
        if (run.confirmed && run.confirmedAt <= askedAt && run.lastReportNumber != worker.reportCount)
            absent.emplace_back(id, run.number);
    for (const auto& [id, run] : absent)
        endRun(workerId, id, run, RunOutcome::Stopped, {}, now);
    return changed || !absent.empty() || !staleRuns_.empty();
}

void ServiceScheduler::applyProgress(Worker& worker, const RunProgress& row, const Now& now)
{
    auto found = worker.runs.find(row.task);
    if (found == worker.runs.end() || found->second.number < row.runNumber) {
        // A run that nobody asked for any more, for example one that an earlier owner started late.
        Worker::Run stray;
        stray.number = row.runNumber;
        if (auto* job = find(row.task.job); job && row.task.step < job->spec().steps.size())
            stray.allocated = job->spec().steps[row.task.step].taskResources;
        if (found != worker.runs.end())
            worker.allocated -= found->second.allocated;
        worker.allocated += stray.allocated;
        stray.stopRequested = true;
        found = worker.runs.insert_or_assign(row.task, stray).first;
    }
    auto& run = found->second;
    run.lastReportNumber = worker.reportCount;
    if (run.number != row.runNumber) { // an older run of the task, which was given up, has been started late
        staleRuns_.push_back({ worker.info.id, row.task, row.runNumber, true });
        return;
    }
    run.startSent = true;
    run.startUncertain = false;
    if (!run.confirmed) {
        run.confirmed = true;
        run.confirmedAt = now.steady;
        run.lastProgressAt = now.steady;
    }
    if (row.progressPercent > run.progressPercent)
        run.lastProgressAt = now.steady;
    run.progressPercent = row.progressPercent;
    if (run.tailLatencyTarget.count() > 0)
        run.tailLatency = Milliseconds { row.load };
    auto* job = find(row.task.job);
    auto* task = job ? job->findTask(row.task) : nullptr;
    if (!task || task->runNumber != row.runNumber || task->worker != worker.info.id)
        return;
    task->state = TaskState::Running;
    task->available = row.progressPercent >= 100 && !run.stopRequested;
    if (!row.checkpoint.empty())
        task->checkpoint = row.checkpoint; // stored with the next change of the job
}

void ServiceScheduler::applyEnd(Worker& worker, const EndedRun& row, const Now& now)
{
    auto* job = find(row.task.job);
    auto* task = job ? job->findTask(row.task) : nullptr;
    if (task && task->runNumber == row.runNumber)
        updateFailureScore(worker, *task, row.outcome, now);
    endRun(worker.info.id, row.task, row.runNumber, row.outcome, row.checkpoint, now);
}

void ServiceScheduler::endRun(const std::string& workerId, const TaskId& id, uint32_t runNumber, RunOutcome end,
    const std::string& checkpoint, const Now& now)
{
    auto worker = workers_.find(workerId);
    if (worker != workers_.end()) {
        auto run = worker->second.runs.find(id);
        if (run != worker->second.runs.end() && run->second.number == runNumber) {
            worker->second.allocated -= run->second.allocated;
            worker->second.runs.erase(run);
        }
    }
    auto* job = find(id.job);
    auto* task = job ? job->findTask(id) : nullptr;
    if (!task || task->state == TaskState::Completed)
        return;
    if (task->runNumber != runNumber || task->worker != workerId) {
        // An earlier copy of a task that may run twice: the first one to end counts, and so does each failure.
        if (!job->active() || !job->spec().steps[id.step].speculationAllowed)
            return;
        if (end == RunOutcome::Completed) {
            if (auto* newer = findRun(task->worker, id, task->runNumber))
                newer->stopRequested = true;
            completeTask(*job, id, now);
        } else if (end == RunOutcome::Failed) {
            job->dirty = true;
            recordFailure(*job, id, *task, now);
        }
        return;
    }
    job->dirty = true;
    task->worker.clear();
    task->state = TaskState::Waiting;
    task->available = false;
    task->notBefore = {};
    if (!checkpoint.empty())
        task->checkpoint = checkpoint;
    if (!job->active())
        return;
    if (end == RunOutcome::Completed && !job->spec().steps[id.step].longRunning)
        completeTask(*job, id, now);
    else if (end == RunOutcome::Failed)
        recordFailure(*job, id, *task, now);
}

// The end of one member of a gang stands for all of them.
void ServiceScheduler::completeTask(Job& job, const TaskId& id, const Now& now)
{
    if (!job.spec().steps[id.step].gang) {
        job.markCompleted(id, now.wall);
        return;
    }
    uint32_t members = job.spec().steps[id.step].count;
    for (uint32_t index = 0; index < members; ++index)
        job.markCompleted({ id.job, id.occurrence, id.step, index }, now.wall);
}

void ServiceScheduler::recordFailure(Job& job, const TaskId& id, JobTask& task, const Now& now)
{
    const auto& step = job.spec().steps[id.step];
    if (step.longRunning)
        return;
    ++task.failures;
    uint32_t failures = task.failures;
    if (step.gang) { // the gang fails as a whole
        failures = 0;
        for (const auto& member : job.openOccurrences().at(id.occurrence).steps[id.step].tasks)
            failures += member.failures;
    }
    if (failures >= job.maximumAttempts()) {
        job.setStatus(JobStatus::Failed, now.wall);
        stopRuns(job);
        return;
    }
    auto pause = options_.initialBackoff * (1 << std::min(failures - 1, 6U));
    task.notBefore = now.steady + std::min(pause, options_.maximumBackoff);
}

bool ServiceScheduler::beginStart(const StartOrder& order, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.runNumber);
    if (!run)
        return false;
    auto* job = find(order.task.job);
    if (!run->startSent && (!job || !job->active() || run->stopRequested)) {
        endRun(order.worker, order.task, order.runNumber, RunOutcome::Stopped, {}, now);
        return false;
    }
    run->startSent = true;
    run->resendAt = Instant::max();
    return !run->stopRequested;
}

void ServiceScheduler::onStartResponse(const StartOrder& order, StartRefusal refusal, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.runNumber);
    if (!run)
        return;
    auto* job = find(order.task.job);
    auto* task = job ? job->findTask(order.task) : nullptr;
    if (refusal == StartRefusal::None || refusal == StartRefusal::StaleRun) {
        // An old run has ended there already: the next lists show how.
        run->startUncertain = false;
        run->confirmed = true;
        run->confirmedAt = now.steady;
        run->lastProgressAt = now.steady;
        if (task && task->runNumber == order.runNumber && task->worker == order.worker) // not superseded by a copy
            task->state = TaskState::Running;
        return;
    }
    if (refusal == StartRefusal::LeaseExpired) {
        // The lease that the order asked for has ended, so no earlier copy of it can be carried out either.
        endRun(order.worker, order.task, order.runNumber, RunOutcome::Stopped, {}, now);
        return;
    }
    if (refusal == StartRefusal::Fenced)
        return; // the process finds out from the store whether it is still the owner
    auto worker = workers_.find(order.worker);
    if (refusal == StartRefusal::Unhealthy)
        worker->second.quarantinedUntil = now.steady + options_.quarantineDuration / 2;
    if (refusal == StartRefusal::NoCapacity)
        worker->second.quarantinedUntil
            = now.steady + options_.orderRetryInterval; // the lists will show what runs there
    if (run->startUncertain) {
        run->stopRequested = true; // an earlier copy of the order may still arrive
        return;
    }
    endRun(order.worker, order.task, order.runNumber, RunOutcome::Stopped, {}, now);
}

void ServiceScheduler::onNoStartResponse(const StartOrder& order, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.runNumber);
    if (!run || run->confirmed)
        return;
    run->startUncertain = true;
    run->resendAt = now.steady + options_.orderRetryInterval;
    hasUncertainStarts_ = true;
}

// From now on the worker refuses the run if it is not there, so lists that are asked for later settle it.
void ServiceScheduler::onStopResponse(const StopOrder& order, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.runNumber);
    if (!run || run->confirmed)
        return;
    run->confirmed = true;
    run->confirmedAt = now.steady;
}

void ServiceScheduler::markUnresponsive(const std::string& workerId)
{
    auto found = workers_.find(workerId);
    if (found != workers_.end())
        found->second.unresponsive = true;
}

void ServiceScheduler::endAllRuns(const std::string& workerId, const Now& now)
{
    auto found = workers_.find(workerId);
    if (found == workers_.end())
        return;
    std::vector<std::pair<TaskId, uint32_t>> runs;
    for (const auto& [id, run] : found->second.runs)
        runs.emplace_back(id, run.number);
    for (const auto& [id, run] : runs)
        endRun(workerId, id, run, RunOutcome::LeaseExpired, {}, now);
}

void ServiceScheduler::expireLeases(const Now& now)
{
    if (!cordons_.empty() && now.steady > cordonsUntil_)
        setCordons({}, {}, now.steady); // who asked for them is gone
    std::vector<std::string> gone;
    for (auto& [id, worker] : workers_) {
        if (now.steady < worker.lease.expiresAt())
            continue;
        if (now.steady - worker.lastResponseAt > options_.contactTimeout && !worker.runs.empty())
            endAllRuns(id, now);
        if (!worker.registered && worker.runs.empty())
            gone.push_back(id);
    }
    for (const auto& id : gone)
        workers_.erase(id);
}

// Records

std::string ServiceScheduler::unresponsiveKey() const { return silentPrefix + service_; }

// True when the set of silent workers has changed.
bool ServiceScheduler::updateUnresponsive(const Now& now)
{
    std::map<std::string, WallTime> silent;
    for (const auto& [id, worker] : workers_) {
        auto known = unresponsive_.find(id);
        // What an earlier owner has found holds until the worker has answered this one.
        bool silentNow = worker.unresponsive || (known != unresponsive_.end() && !worker.reported);
        if (!silentNow || worker.runs.empty())
            continue;
        silent[id] = known != unresponsive_.end()
            ? known->second
            : now.wall + std::chrono::ceil<Milliseconds>(worker.lease.expiresAt() - now.steady);
    }
    bool changed = silent != unresponsive_;
    unresponsive_ = std::move(silent);
    return changed;
}

void ServiceScheduler::restoreUnresponsive(const std::string& value, const Now& now)
{
    static constexpr Milliseconds clockDifference { 200 }; // of the two owners
    auto silent = nlohmann::json::parse(value, nullptr, false);
    if (!silent.is_object())
        return;
    for (const auto& [id, at] : silent.items())
        if (at.is_number_integer()) {
            auto lapse = wallTimeFromUnix(Milliseconds { at.get<int64_t>() });
            unresponsive_[id] = lapse;
            findOrAddWorker(id, now.steady).lease.limitExpiry(now.steady + (lapse - now.wall) + clockDifference);
        }
}

std::vector<StateRecord> ServiceScheduler::takeChangedRecords(const Now& now)
{
    std::vector<StateRecord> records;
    if (updateUnresponsive(now)) {
        auto silent = nlohmann::json::object();
        for (const auto& [id, at] : unresponsive_)
            silent[id] = unixMilliseconds(at);
        records.push_back({ unresponsiveKey(), unresponsive_.empty() ? std::string() : silent.dump() });
    }
    std::vector<std::string> finished;
    for (auto& [id, job] : jobs_) {
        if (!job.dirty && (job.active() || job.hasRuns()))
            continue;
        job.dirty = false;
        bool over = !job.active() && !job.hasRuns();
        if (!job.specStored && !over)
            records.push_back({ id, job.encodeSpec() });
        if (over && job.specStored)
            records.push_back({ id, {} });
        job.specStored = true;
        records.push_back({ stateKey(id), job.encodeState() });
        if (over)
            finished.push_back(id);
    }
    for (const auto& id : finished) {
        const auto& job = jobs_.at(id);
        ended_[id] = { job.status(), job.started(), job.endedAt() };
        endedByExpiry_[job.endedAt() + options_.statusRetention].push_back(id);
        jobs_.erase(id);
    }
    while (!endedByExpiry_.empty() && endedByExpiry_.begin()->first < now.wall) {
        for (const auto& id : endedByExpiry_.begin()->second)
            if (ended_.erase(id) != 0)
                records.push_back({ stateKey(id), {} });
        endedByExpiry_.erase(endedByExpiry_.begin());
    }
    return records;
}

bool ServiceScheduler::isStateKey(const std::string& key) { return !key.empty() && key.back() == stateSuffix; }

std::string ServiceScheduler::jobIdOfKey(const std::string& key)
{
    return isStateKey(key) ? key.substr(0, key.size() - 1) : key;
}

void ServiceScheduler::restore(Job&& job)
{
    auto id = job.id();
    jobs_.insert_or_assign(id, std::move(job));
}

void ServiceScheduler::restoreEnded(const std::string& id, JobStatus status, bool begun, WallTime ended)
{
    ended_[id] = { status, begun, ended };
    endedByExpiry_[ended + options_.statusRetention].push_back(id);
}

void ServiceScheduler::finishRestore(const Now& now)
{
    settledAt_ = takeoverAt_ + options_.takeoverSettleTime;
    for (auto& [id, job] : jobs_)
        job.forEachTask([&](const TaskId& taskId, JobTask& task) {
            if (task.worker.empty())
                return;
            auto& worker = findOrAddWorker(task.worker, now.steady);
            assign(worker, taskId, task, jobs_.at(taskId.job).spec().steps[taskId.step], task.runNumber);
            auto& run = worker.runs.at(taskId);
            run.startSent = true;
            run.confirmed = true; // the first lists under this owner's token settle it
            run.confirmedAt = now.steady;
            run.lastProgressAt = now.steady;
            run.stopRequested = !jobs_.at(taskId.job).active();
        });
}

// Orders

std::vector<StopOrder> ServiceScheduler::stopsDue(const Now& now)
{
    std::vector<StopOrder> orders = std::move(staleRuns_);
    staleRuns_.clear();
    for (auto& [workerId, worker] : workers_)
        for (auto& [id, run] : worker.runs) {
            if (!run.stopRequested || !run.startSent || now.steady - run.stopSentAt < options_.orderRetryInterval)
                continue;
            orders.push_back({ workerId, id, run.number, run.stopSentAt == Instant {} });
            run.stopSentAt = now.steady;
        }
    return orders;
}

// Slows down filling tasks beside a serving task that is near its target, and lets them recover slowly.
std::vector<ThrottleOrder> ServiceScheduler::throttleBestEffort(const Now& now)
{
    static constexpr double high = 0.85; // of the target: slow down
    static constexpr double low = 0.6; // of the target: speed up
    static constexpr Milliseconds betweenChanges { 700 }; // the tails cover the last half second
    static constexpr uint32_t raise = 15;
    std::vector<ThrottleOrder> orders;
    for (auto& [workerId, worker] : workers_) {
        double worst = 0;
        bool fills = false;
        for (const auto& [id, run] : worker.runs) {
            fills = fills || run.bestEffort;
            if (run.tailLatencyTarget.count() > 0 && run.progressPercent >= 100)
                worst = std::max(worst,
                    static_cast<double>(run.tailLatency.count()) / static_cast<double>(run.tailLatencyTarget.count()));
        }
        if (!fills)
            continue;
        for (auto& [id, run] : worker.runs) {
            if (!run.bestEffort || !run.confirmed || run.stopRequested
                || now.steady - run.speedChangedAt < betweenChanges)
                continue;
            uint32_t wanted = run.speedPercent;
            if (worst > 1)
                wanted = run.speedPercent / 4;
            else if (worst > high)
                wanted = run.speedPercent * 2 / 3;
            else if (worst < low)
                wanted = std::min(100U, run.speedPercent + raise);
            if (wanted == run.speedPercent)
                continue;
            run.speedPercent = wanted;
            run.speedChangedAt = now.steady;
            orders.push_back({ workerId, id, run.number, wanted });
        }
    }
    return orders;
}

ServiceScheduler::Demand ServiceScheduler::demand(const Now& now) const
{
    Demand demand;
    for (const auto& [id, worker] : workers_)
        demand.allocatedCores += static_cast<double>(worker.allocated.milliCores) / 1000;
    for (const auto& [id, job] : jobs_) {
        if (!job.active())
            continue;
        Milliseconds chain { 0 };
        for (const auto& [number, occurrence] : job.openOccurrences()) {
            chain = std::max(chain, job.remainingCriticalPath(occurrence));
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& spec = job.spec().steps[step];
                if (spec.longRunning && spec.maximumTasksPerWorker > 0)
                    demand.minimumWorkers = std::max(demand.minimumWorkers,
                        (spec.count + spec.maximumTasksPerWorker - 1) / spec.maximumTasksPerWorker);
                double cores = static_cast<double>(spec.taskResources.milliCores) / 1000;
                if (spec.bestEffort || occurrence.steps[step].remainingTasks == 0 || !job.stepReady(occurrence, step))
                    continue;
                if (spec.longRunning)
                    demand.longRunningCores += cores * spec.count;
                for (const auto& task : occurrence.steps[step].tasks)
                    if (task.state == TaskState::Waiting)
                        demand.waitingCores += cores;
            }
        }
        // Late jobs are worth little: they get what the others leave, at a rate that still ends them.
        auto time = softDeadline(job) - now.wall;
        if (time < chain)
            time = std::max(chain, options_.overdueCompletionTime);
        if (time.count() > 0)
            demand.requiredCores += job.remainingWork() / static_cast<double>(time.count());
    }
    return demand;
}

} // namespace shallotdrift
