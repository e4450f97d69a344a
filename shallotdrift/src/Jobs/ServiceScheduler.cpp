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
    , takenOver_(now)
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
            *begun = found->second.begun();
        return found->second.status();
    }
    auto ended = ended_.find(id);
    if (ended == ended_.end())
        return std::nullopt;
    if (begun)
        *begun = ended->second.begun;
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

size_t ServiceScheduler::pending(const std::string& queue) const
{
    return std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& entry) {
        const Job& job = entry.second;
        return job.active() && !job.begun() && !job.timed() && job.queue() == queue;
    });
}

void ServiceScheduler::stopRuns(Job& job)
{
    job.forEachTask([this](const TaskId& id, JobTask& task) {
        if (task.worker.empty())
            return;
        if (auto* run = findRun(task.worker, id, task.run))
            run->stopWanted = true;
    });
}

WallTime ServiceScheduler::objectiveOf(const Job& job) const
{
    auto queue = queues_.find(job.queue());
    double stretch = queue == queues_.end() ? 2 : queue->second.stretch;
    auto latency = queue == queues_.end() ? Milliseconds { 0 } : queue->second.latencyTarget;
    auto begin = job.timed() && !job.open().empty() ? job.dueTime(job.open().begin()->first) : job.arrived();
    return begin + latency
        + Milliseconds { static_cast<int64_t>(stretch * static_cast<double>(job.longestChain().count())) };
}

// Workers

Worker& ServiceScheduler::workerEntry(const std::string& id, Instant now)
{
    auto found = workers_.find(id);
    if (found != workers_.end())
        return found->second;
    Worker worker(WorkerLease(options_.lease, now));
    worker.info.id = id;
    worker.listed = false;
    return workers_.emplace(id, std::move(worker)).first->second;
}

Worker::Run* ServiceScheduler::findRun(const std::string& workerId, const TaskId& id, uint32_t run)
{
    auto worker = workers_.find(workerId);
    if (worker == workers_.end())
        return nullptr;
    auto found = worker->second.runs.find(id);
    return found == worker->second.runs.end() || found->second.run != run ? nullptr : &found->second;
}

void ServiceScheduler::updateWorker(const WorkerInfo& info, Instant now)
{
    auto& worker = workerEntry(info.id, now);
    auto bootTime = worker.info.bootTime;
    worker.info = info;
    worker.listed = true;
    applyCordons(worker);
    if (bootTime != 0)
        worker.info.bootTime = bootTime; // onReport() compares it with what the worker says itself
}

void ServiceScheduler::unlistWorker(const std::string& id)
{
    auto found = workers_.find(id);
    if (found != workers_.end())
        found->second.listed = false;
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
    run.run = runNumber;
    run.held = step.each;
    run.fills = step.fillsIdle;
    if (step.fillsIdle)
        run.held.milliCores = 0;
    run.lasting = step.lasting;
    run.tailTarget = step.tailTarget;
    run.estimate = step.estimate;
    worker.used += run.held;
    worker.runs.insert_or_assign(id, run);
    task.state = TaskState::Placed;
    task.run = runNumber;
    task.worker = worker.info.id;
    task.atWork = false;
}

bool ServiceScheduler::onReport(
    const std::string& workerId, const WorkerReport& report, Instant askedAt, const Now& now)
{
    auto& worker = workerEntry(workerId, now.steady);
    if (report.bootTime != 0 && worker.info.bootTime != 0 && report.bootTime != worker.info.bootTime) {
        loseRuns(workerId, now); // the same id after a restart: it knows nothing of before
        worker.noted = 0;
        worker.lease = WorkerLease(options_.lease, now.steady);
    }
    if (report.bootTime != 0)
        worker.info.bootTime = report.bootTime;
    worker.lease.sample(report.clock, now.steady);
    worker.answeredAt = now.steady;
    bool changed = !worker.reported || worker.silent;
    worker.reported = true;
    worker.silent = false;

    ++worker.reports;
    for (const auto& row : report.running)
        takeRunning(worker, row, now);
    for (const auto& row : report.ended)
        if (row.number > worker.noted) {
            takeEnd(worker, row, now);
            worker.noted = row.number;
            changed = true;
        }
    std::vector<std::pair<TaskId, uint32_t>> absent;
    for (const auto& [id, run] : worker.runs)
        if (run.confirmed && run.confirmedAt <= askedAt && run.seenIn != worker.reports)
            absent.emplace_back(id, run.run);
    for (const auto& [id, run] : absent)
        endRun(workerId, id, run, RunEnd::Stopped, {}, now);
    return changed || !absent.empty() || !outdatedRuns_.empty();
}

void ServiceScheduler::takeRunning(Worker& worker, const RunningRow& row, const Now& now)
{
    auto found = worker.runs.find(row.task);
    if (found == worker.runs.end() || found->second.run < row.run) {
        // A run that nobody asked for any more, for example one that an earlier owner started late.
        Worker::Run stray;
        stray.run = row.run;
        if (auto* job = find(row.task.job); job && row.task.step < job->spec().steps.size())
            stray.held = job->spec().steps[row.task.step].each;
        if (found != worker.runs.end())
            worker.used -= found->second.held;
        worker.used += stray.held;
        stray.stopWanted = true;
        found = worker.runs.insert_or_assign(row.task, stray).first;
    }
    auto& run = found->second;
    run.seenIn = worker.reports;
    if (run.run != row.run) { // an older run of the task, which was given up, has been started late
        outdatedRuns_.push_back({ worker.info.id, row.task, row.run, true });
        return;
    }
    run.sent = true;
    run.uncertain = false;
    if (!run.confirmed) {
        run.confirmed = true;
        run.confirmedAt = now.steady;
        run.progressAt = now.steady;
    }
    if (row.percent > run.percent)
        run.progressAt = now.steady;
    run.percent = row.percent;
    if (run.tailTarget.count() > 0)
        run.tail = Milliseconds { row.load };
    auto* job = find(row.task.job);
    auto* task = job ? job->find(row.task) : nullptr;
    if (!task || task->run != row.run || task->worker != worker.info.id)
        return;
    task->state = TaskState::Running;
    task->atWork = row.percent >= 100 && !run.stopWanted;
    if (!row.checkpoint.empty())
        task->checkpoint = row.checkpoint; // stored with the next change of the job
}

void ServiceScheduler::takeEnd(Worker& worker, const EndedRow& row, const Now& now)
{
    auto* job = find(row.task.job);
    auto* task = job ? job->find(row.task) : nullptr;
    if (task && task->run == row.run)
        countHealth(worker, *task, row.end, now);
    endRun(worker.info.id, row.task, row.run, row.end, row.checkpoint, now);
}

void ServiceScheduler::endRun(const std::string& workerId, const TaskId& id, uint32_t runNumber, RunEnd end,
    const std::string& checkpoint, const Now& now)
{
    auto worker = workers_.find(workerId);
    if (worker != workers_.end()) {
        auto run = worker->second.runs.find(id);
        if (run != worker->second.runs.end() && run->second.run == runNumber) {
            worker->second.used -= run->second.held;
            worker->second.runs.erase(run);
        }
    }
    auto* job = find(id.job);
    auto* task = job ? job->find(id) : nullptr;
    if (!task || task->state == TaskState::Done)
        return;
    if (task->run != runNumber || task->worker != workerId) {
        // An earlier copy of a task that may run twice: the first one to end counts, and so does each failure.
        if (!job->active() || !job->spec().steps[id.step].copiesAllowed)
            return;
        if (end == RunEnd::Done) {
            if (auto* newer = findRun(task->worker, id, task->run))
                newer->stopWanted = true;
            finishTask(*job, id, now);
        } else if (end == RunEnd::Failed) {
            job->dirty = true;
            countFailure(*job, id, *task, now);
        }
        return;
    }
    job->dirty = true;
    task->worker.clear();
    task->state = TaskState::Waiting;
    task->atWork = false;
    task->notBefore = {};
    if (!checkpoint.empty())
        task->checkpoint = checkpoint;
    if (!job->active())
        return;
    if (end == RunEnd::Done && !job->spec().steps[id.step].lasting)
        finishTask(*job, id, now);
    else if (end == RunEnd::Failed)
        countFailure(*job, id, *task, now);
}

// The end of one member of a gang stands for all of them.
void ServiceScheduler::finishTask(Job& job, const TaskId& id, const Now& now)
{
    if (!job.spec().steps[id.step].gang) {
        job.markDone(id, now.wall);
        return;
    }
    uint32_t members = job.spec().steps[id.step].count;
    for (uint32_t index = 0; index < members; ++index)
        job.markDone({ id.job, id.occurrence, id.step, index }, now.wall);
}

void ServiceScheduler::countFailure(Job& job, const TaskId& id, JobTask& task, const Now& now)
{
    const auto& step = job.spec().steps[id.step];
    if (step.lasting)
        return;
    ++task.failures;
    uint32_t failures = task.failures;
    if (step.gang) { // the gang fails as a whole
        failures = 0;
        for (const auto& member : job.open().at(id.occurrence).steps[id.step].tasks)
            failures += member.failures;
    }
    if (failures >= job.maximumAttempts()) {
        job.setStatus(JobStatus::Failed, now.wall);
        stopRuns(job);
        return;
    }
    auto pause = options_.failurePause * (1 << std::min(failures - 1, 6U));
    task.notBefore = now.steady + std::min(pause, options_.longestFailurePause);
}

bool ServiceScheduler::beginStart(const StartOrder& order, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.run);
    if (!run)
        return false;
    auto* job = find(order.task.job);
    if (!run->sent && (!job || !job->active() || run->stopWanted)) {
        endRun(order.worker, order.task, order.run, RunEnd::Stopped, {}, now);
        return false;
    }
    run->sent = true;
    run->resendAt = Instant::max();
    return !run->stopWanted;
}

void ServiceScheduler::onStartAnswer(const StartOrder& order, StartRefusal refusal, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.run);
    if (!run)
        return;
    auto* job = find(order.task.job);
    auto* task = job ? job->find(order.task) : nullptr;
    if (refusal == StartRefusal::None || refusal == StartRefusal::OldRun) {
        // An old run has ended there already: the next lists show how.
        run->uncertain = false;
        run->confirmed = true;
        run->confirmedAt = now.steady;
        run->progressAt = now.steady;
        if (task && task->run == order.run && task->worker == order.worker) // not superseded by a copy
            task->state = TaskState::Running;
        return;
    }
    if (refusal == StartRefusal::Late) {
        // The lease that the order asked for has ended, so no earlier copy of it can be carried out either.
        endRun(order.worker, order.task, order.run, RunEnd::Stopped, {}, now);
        return;
    }
    if (refusal == StartRefusal::Fenced)
        return; // the process finds out from the store whether it is still the owner
    auto worker = workers_.find(order.worker);
    if (refusal == StartRefusal::Unhealthy)
        worker->second.quarantinedUntil = now.steady + options_.quarantine / 2;
    if (refusal == StartRefusal::NoRoom)
        worker->second.quarantinedUntil = now.steady + options_.stopRepeat; // the lists will show what runs there
    if (run->uncertain) {
        run->stopWanted = true; // an earlier copy of the order may still arrive
        return;
    }
    endRun(order.worker, order.task, order.run, RunEnd::Stopped, {}, now);
}

void ServiceScheduler::onStartUnanswered(const StartOrder& order, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.run);
    if (!run || run->confirmed)
        return;
    run->uncertain = true;
    run->resendAt = now.steady + options_.stopRepeat;
    startsUncertain_ = true;
}

// From now on the worker refuses the run if it is not there, so lists that are asked for later settle it.
void ServiceScheduler::onStopAnswer(const StopOrder& order, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.run);
    if (!run || run->confirmed)
        return;
    run->confirmed = true;
    run->confirmedAt = now.steady;
}

void ServiceScheduler::markSilent(const std::string& workerId)
{
    auto found = workers_.find(workerId);
    if (found != workers_.end())
        found->second.silent = true;
}

void ServiceScheduler::loseRuns(const std::string& workerId, const Now& now)
{
    auto found = workers_.find(workerId);
    if (found == workers_.end())
        return;
    std::vector<std::pair<TaskId, uint32_t>> runs;
    for (const auto& [id, run] : found->second.runs)
        runs.emplace_back(id, run.run);
    for (const auto& [id, run] : runs)
        endRun(workerId, id, run, RunEnd::Lapsed, {}, now);
}

void ServiceScheduler::expireLeases(const Now& now)
{
    if (!cordons_.empty() && now.steady > cordonsUntil_)
        setCordons({}, {}, now.steady); // who asked for them is gone
    std::vector<std::string> gone;
    for (auto& [id, worker] : workers_) {
        if (now.steady < worker.lease.lapsesAt())
            continue;
        if (now.steady - worker.answeredAt > options_.contactTimeout && !worker.runs.empty())
            loseRuns(id, now);
        if (!worker.listed && worker.runs.empty())
            gone.push_back(id);
    }
    for (const auto& id : gone)
        workers_.erase(id);
}

// Records

std::string ServiceScheduler::silentKey() const { return silentPrefix + service_; }

// True when the set of silent workers has changed.
bool ServiceScheduler::updateSilent(const Now& now)
{
    std::map<std::string, WallTime> silent;
    for (const auto& [id, worker] : workers_) {
        auto known = silent_.find(id);
        // What an earlier owner has found holds until the worker has answered this one.
        bool silentNow = worker.silent || (known != silent_.end() && !worker.reported);
        if (!silentNow || worker.runs.empty())
            continue;
        silent[id] = known != silent_.end()
            ? known->second
            : now.wall + std::chrono::ceil<Milliseconds>(worker.lease.lapsesAt() - now.steady);
    }
    bool changed = silent != silent_;
    silent_ = std::move(silent);
    return changed;
}

void ServiceScheduler::restoreSilent(const std::string& value, const Now& now)
{
    static constexpr Milliseconds clockDifference { 200 }; // of the two owners
    auto silent = nlohmann::json::parse(value, nullptr, false);
    if (!silent.is_object())
        return;
    for (const auto& [id, at] : silent.items())
        if (at.is_number_integer()) {
            auto lapse = wallTimeFromUnix(Milliseconds { at.get<int64_t>() });
            silent_[id] = lapse;
            workerEntry(id, now.steady).lease.setLapse(now.steady + (lapse - now.wall) + clockDifference);
        }
}

std::vector<StateRecord> ServiceScheduler::collectRecords(const Now& now)
{
    std::vector<StateRecord> records;
    if (updateSilent(now)) {
        auto silent = nlohmann::json::object();
        for (const auto& [id, at] : silent_)
            silent[id] = unixMilliseconds(at);
        records.push_back({ silentKey(), silent_.empty() ? std::string() : silent.dump() });
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
        ended_[id] = { job.status(), job.begun(), job.ended() };
        expiry_[job.ended() + options_.statusKept].push_back(id);
        jobs_.erase(id);
    }
    while (!expiry_.empty() && expiry_.begin()->first < now.wall) {
        for (const auto& id : expiry_.begin()->second)
            if (ended_.erase(id) != 0)
                records.push_back({ stateKey(id), {} });
        expiry_.erase(expiry_.begin());
    }
    return records;
}

bool ServiceScheduler::isStateKey(const std::string& key) { return !key.empty() && key.back() == stateSuffix; }

std::string ServiceScheduler::jobOfKey(const std::string& key)
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
    expiry_[ended + options_.statusKept].push_back(id);
}

void ServiceScheduler::finishRestore(const Now& now)
{
    settledAt_ = takenOver_ + options_.settleTime;
    for (auto& [id, job] : jobs_)
        job.forEachTask([&](const TaskId& taskId, JobTask& task) {
            if (task.worker.empty())
                return;
            auto& worker = workerEntry(task.worker, now.steady);
            assign(worker, taskId, task, jobs_.at(taskId.job).spec().steps[taskId.step], task.run);
            auto& run = worker.runs.at(taskId);
            run.sent = true;
            run.confirmed = true; // the first lists under this owner's token settle it
            run.confirmedAt = now.steady;
            run.progressAt = now.steady;
            run.stopWanted = !jobs_.at(taskId.job).active();
        });
}

// Orders

std::vector<StopOrder> ServiceScheduler::stopsDue(const Now& now)
{
    std::vector<StopOrder> orders = std::move(outdatedRuns_);
    outdatedRuns_.clear();
    for (auto& [workerId, worker] : workers_)
        for (auto& [id, run] : worker.runs) {
            if (!run.stopWanted || !run.sent || now.steady - run.stopSent < options_.stopRepeat)
                continue;
            orders.push_back({ workerId, id, run.run, run.stopSent == Instant {} });
            run.stopSent = now.steady;
        }
    return orders;
}

// Slows down filling tasks beside a serving task that is near its target, and lets them recover slowly.
std::vector<PaceOrder> ServiceScheduler::pace(const Now& now)
{
    static constexpr double high = 0.85; // of the target: slow down
    static constexpr double low = 0.6; // of the target: speed up
    static constexpr Milliseconds betweenChanges { 700 }; // the tails cover the last half second
    static constexpr uint32_t raise = 15;
    std::vector<PaceOrder> orders;
    for (auto& [workerId, worker] : workers_) {
        double worst = 0;
        bool fills = false;
        for (const auto& [id, run] : worker.runs) {
            fills = fills || run.fills;
            if (run.tailTarget.count() > 0 && run.percent >= 100)
                worst = std::max(
                    worst, static_cast<double>(run.tail.count()) / static_cast<double>(run.tailTarget.count()));
        }
        if (!fills)
            continue;
        for (auto& [id, run] : worker.runs) {
            if (!run.fills || !run.confirmed || run.stopWanted || now.steady - run.paceChanged < betweenChanges)
                continue;
            uint32_t wanted = run.pace;
            if (worst > 1)
                wanted = run.pace / 4;
            else if (worst > high)
                wanted = run.pace * 2 / 3;
            else if (worst < low)
                wanted = std::min(100U, run.pace + raise);
            if (wanted == run.pace)
                continue;
            run.pace = wanted;
            run.paceChanged = now.steady;
            orders.push_back({ workerId, id, run.run, wanted });
        }
    }
    return orders;
}

ServiceScheduler::Demand ServiceScheduler::demand(const Now& now) const
{
    Demand demand;
    for (const auto& [id, worker] : workers_)
        demand.held += static_cast<double>(worker.used.milliCores) / 1000;
    for (const auto& [id, job] : jobs_) {
        if (!job.active())
            continue;
        Milliseconds chain { 0 };
        for (const auto& [number, occurrence] : job.open()) {
            chain = std::max(chain, job.remainingChain(occurrence));
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& spec = job.spec().steps[step];
                if (spec.lasting && spec.maximumPerWorker > 0)
                    demand.minimumWorkers = std::max(
                        demand.minimumWorkers, (spec.count + spec.maximumPerWorker - 1) / spec.maximumPerWorker);
                double cores = static_cast<double>(spec.each.milliCores) / 1000;
                if (spec.fillsIdle || occurrence.steps[step].remaining == 0 || !job.stepReady(occurrence, step))
                    continue;
                if (spec.lasting)
                    demand.lasting += cores * spec.count;
                for (const auto& task : occurrence.steps[step].tasks)
                    if (task.state == TaskState::Waiting)
                        demand.waiting += cores;
            }
        }
        // Late jobs are worth little: they get what the others leave, at a rate that still ends them.
        auto time = objectiveOf(job) - now.wall;
        if (time < chain)
            time = std::max(chain, options_.lateTime);
        if (time.count() > 0)
            demand.required += job.remainingWork() / static_cast<double>(time.count());
    }
    return demand;
}

} // namespace shallotdrift
