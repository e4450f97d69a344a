#include "ServiceScheduler.h"

#include <algorithm>

namespace shallotdrift {

ServiceScheduler::ServiceScheduler(std::string service, const ServiceSchedulerOptions& options, Instant now)
    : service_(std::move(service))
    , options_(options)
    , takeoverAt_(now)
    , ledger_(service_, options_.lease, now)
    , cordons_(service_)
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

std::optional<JobStatus> ServiceScheduler::statusOf(const std::string& id, bool* started) const
{
    auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        if (started)
            *started = found->second.mayHaveStarted();
        return found->second.status();
    }
    auto ended = ended_.find(id);
    if (ended == ended_.end())
        return std::nullopt;
    if (started)
        *started = ended->second.started;
    return ended->second.status;
}

std::optional<ServiceScheduler::JobOrigin> ServiceScheduler::originOf(const std::string& id) const
{
    auto found = jobs_.find(id);
    if (found != jobs_.end())
        return JobOrigin { found->second.account(), found->second.queue() };
    auto ended = ended_.find(id);
    return ended == ended_.end() ? std::nullopt : std::optional(ended->second.origin);
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
    auto latencyTarget = queue == queues_.end() ? Milliseconds { 0 } : queue->second.latencyTarget;
    auto dueTime = job.recurring() && !job.openOccurrences().empty() ? job.dueTime(job.openOccurrences().begin()->first)
                                                                     : job.submittedAt();
    return dueTime + latencyTarget
        + Milliseconds { static_cast<int64_t>(stretch * static_cast<double>(job.criticalPath().count())) };
}

// Workers

Worker& ServiceScheduler::findOrAddWorker(const std::string& id)
{
    auto found = workers_.find(id);
    if (found != workers_.end())
        return found->second;
    auto worker = ledger_.makeWorker(id);
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
    auto& worker = findOrAddWorker(info.id);
    auto bootTime = worker.info.bootTime;
    if (info.draining && !worker.info.draining)
        worker.drainingSince = now;
    worker.info = info;
    worker.registered = true;
    applyCordons(worker);
    if (bootTime != 0)
        worker.info.bootTime = bootTime; // onReport() compares it with the worker's own value
}

void ServiceScheduler::unregisterWorker(const std::string& id)
{
    auto found = workers_.find(id);
    if (found != workers_.end())
        found->second.registered = false;
}

bool ServiceScheduler::setCordons(const std::map<std::string, std::string>& cordoned,
    const std::set<std::string>& maintenanceDue, Instant until, uint64_t managerToken)
{
    if (!cordons_.set(cordoned, maintenanceDue, until, managerToken))
        return false;
    for (auto& [id, worker] : workers_)
        applyCordons(worker);
    return true;
}

void ServiceScheduler::applyCordons(Worker& worker) const
{
    worker.cordoned = cordons_.appliesTo(worker.info.instance);
    worker.maintenanceDue = cordons_.isMaintenanceDue(worker.info.instance);
}

std::set<std::string> ServiceScheduler::cordonedInstances() const
{
    std::set<std::string> instances;
    for (const auto& [id, worker] : workers_)
        if (worker.cordoned && (worker.registered || !worker.runs.empty()))
            instances.insert(worker.info.instance);
    return instances;
}

void ServiceScheduler::assign(Worker& worker, const TaskId& id, JobTask& task, const StepSpec& step, uint32_t runNumber)
{
    task.runNumber = runNumber;
    task.startNumber = ledger_.makeStartNumber();
    task.worker = worker.info.id;
    addRun(worker, id, task, step);
    const auto& run = worker.runs.at(id);
    quotas_.addUsed(run.account, run.held);
}

void ServiceScheduler::addRun(Worker& worker, const TaskId& id, JobTask& task, const StepSpec& step)
{
    Worker::Run run;
    run.number = task.runNumber;
    run.startNumber = task.startNumber;
    run.allocated = step.reservedResources();
    run.held = step.taskResources;
    const auto* job = find(id.job);
    if (job && !step.longRunning)
        run.expectedDuration = runTimes_.predict(kindOf(*job, id.step), step.estimatedDuration);
    run.account = job ? quotas_.indexOf(job->account()) : QuotaLedger::noAccount;
    run.bestEffort = step.bestEffort;
    run.longRunning = step.longRunning;
    run.tailLatencyTarget = step.tailLatencyTarget;
    run.estimatedDuration = step.estimatedDuration;
    worker.allocated += run.allocated;
    worker.runs.insert_or_assign(id, run);
    task.state = TaskState::Placed;
    task.available = false;
    task.restored = false;
}

bool ServiceScheduler::onReport(
    const std::string& workerId, const WorkerReport& report, const SentCall& call, const Now& now)
{
    auto& worker = findOrAddWorker(workerId);
    bool restarted = report.bootTime != 0 && worker.info.bootTime != 0 && report.bootTime != worker.info.bootTime;
    if (!restarted && call.stage != worker.lease.stage())
        return false; // a response to another call has shown since then that the worker has started again
    if (restarted)
        beginIncarnation(worker, report, call.sentAt, now);
    else if (worker.lease.isOtherClock(report.clock, call.sentAt))
        worker.lease.beginIncarnation(now.steady); // the worker was paused, and its lease with it
    bool asRecorded = !worker.reported && worker.recordedBootTime && *worker.recordedBootTime == report.bootTime;
    worker.lease.confirmStage(call.stage, asRecorded, now.steady);
    if (report.bootTime != 0)
        worker.info.bootTime = report.bootTime;
    worker.lease.sampleClock(report.clock, now.steady);
    worker.lastResponseAt = now.steady;
    bool changed = !worker.reported || worker.unresponsive;
    if (!worker.reported)
        for (auto& [id, run] : worker.runs)
            run.doubtfulSinceTakeover = false; // the worker rejects orders of previous owners from now on
    worker.reported = true;
    worker.unresponsive = false;

    ++worker.reportCount;
    for (const auto& progress : report.running)
        applyProgress(worker, progress, now);
    for (const auto& ended : report.ended)
        if (ended.sequenceNumber > worker.lastAppliedEnd) {
            applyEnd(worker, ended, now);
            worker.lastAppliedEnd = ended.sequenceNumber;
            changed = true;
        }
    // After this time a start order without a response takes effect nowhere.
    auto isSettled = [&](const Worker::Run& run) {
        return run.unansweredStarts == 0 || call.sentAt >= run.startSentAt + options_.lease.lateCallLimit;
    };
    for (auto& [id, run] : worker.runs)
        if (run.lastReportNumber == worker.reportCount && isSettled(run))
            run.unansweredStarts = 0;
    std::vector<std::pair<TaskId, uint32_t>> absent;
    if (!report.endsTruncated) // otherwise a run that the report does not list may have ended in any way
        for (const auto& [id, run] : worker.runs)
            if (run.confirmed && run.confirmedAt <= call.sentAt && run.lastReportNumber != worker.reportCount
                && isSettled(run))
                absent.emplace_back(id, run.number);
    for (const auto& [id, run] : absent)
        endRun(workerId, id, run, RunOutcome::Stopped, {}, now);
    return changed || !absent.empty() || !staleRuns_.empty();
}

bool ServiceScheduler::onClockReading(
    const std::string& workerId, Milliseconds clock, const SentCall& call, const Now& now)
{
    auto found = workers_.find(workerId);
    if (found == workers_.end() || call.stage != found->second.lease.stage()
        || !found->second.lease.isOtherClock(clock, call.sentAt))
        return true;
    found->second.lease.beginIncarnation(now.steady); // its next report will show its runs
    return false;
}

void ServiceScheduler::beginIncarnation(Worker& worker, const WorkerReport& report, Instant requestedAt, const Now& now)
{
    endRunsOfFormerIncarnation(worker, report, requestedAt, now);
    worker.lastAppliedEnd = 0;
    worker.lease.beginIncarnation(now.steady);
}

// A new incarnation with the same id has none of the runs of the former one, but it accepts start orders that were sent
// to the former one. Runs that it may have started, or may still start, are kept: those that it reports as they are,
// the others until a stop makes it reject them.
void ServiceScheduler::endRunsOfFormerIncarnation(
    Worker& worker, const WorkerReport& report, Instant requestedAt, const Now& now)
{
    std::set<std::pair<TaskId, uint32_t>> reported;
    for (const auto& running : report.running)
        reported.emplace(running.task, running.runNumber);
    for (const auto& ended : report.ended)
        reported.emplace(ended.task, ended.runNumber);
    std::vector<std::pair<TaskId, uint32_t>> lost;
    for (auto& [id, run] : worker.runs) {
        if (reported.count({ id, run.number }) != 0)
            continue;
        if (run.unansweredStarts == 0 && (!run.confirmed || run.confirmedAt <= requestedAt)) {
            lost.emplace_back(id, run.number);
            continue;
        }
        run.confirmed = false;
        run.stopRequested = true;
        run.stopSentAt = {};
    }
    for (const auto& [id, run] : lost)
        endRun(worker.info.id, id, run, RunOutcome::LeaseExpired, {}, now);
}

void ServiceScheduler::applyProgress(Worker& worker, const RunProgress& progress, const Now& now)
{
    auto* job = find(progress.task.job);
    if (job)
        job->setStarted();
    auto found = worker.runs.find(progress.task);
    if (found == worker.runs.end() || found->second.number < progress.runNumber) {
        // An unexpected run, for example one that a previous owner's order started late. It is stopped.
        Worker::Run unexpected;
        unexpected.number = progress.runNumber;
        if (job && progress.task.step < job->spec().steps.size())
            unexpected.allocated = job->spec().steps[progress.task.step].taskResources;
        unexpected.held = unexpected.allocated;
        if (job)
            unexpected.account = quotas_.indexOf(job->account());
        if (found != worker.runs.end())
            worker.allocated -= found->second.allocated;
        worker.allocated += unexpected.allocated;
        unexpected.stopRequested = true;
        found = worker.runs.insert_or_assign(progress.task, unexpected).first;
    }
    auto& run = found->second;
    run.lastReportNumber = worker.reportCount;
    if (run.number != progress.runNumber) { // the order of an older, abandoned run of the task took effect late
        staleRuns_.push_back({ worker.info.id, progress.task, progress.runNumber, true });
        return;
    }
    run.startSent = true;
    run.startUncertain = false;
    if (!run.confirmed) {
        run.confirmed = true;
        run.confirmedAt = now.steady;
        run.lastProgressAt = now.steady;
    }
    if (progress.progressPercent > run.progressPercent)
        run.lastProgressAt = now.steady;
    run.progressPercent = progress.progressPercent;
    if (run.tailLatencyTarget.count() > 0)
        run.tailLatency = Milliseconds { progress.load };
    auto* task = job ? job->findTask(progress.task) : nullptr;
    if (!task || task->runNumber != progress.runNumber || task->worker != worker.info.id) {
        run.stopRequested = true; // the task has another run or is completed
        return;
    }
    task->state = TaskState::Running;
    task->available = progress.progressPercent >= 100 && !run.stopRequested;
    if (!progress.checkpoint.empty())
        task->checkpoint = progress.checkpoint; // stored with the next change of the job
}

void ServiceScheduler::applyEnd(Worker& worker, const EndedRun& ended, const Now& now)
{
    auto* job = find(ended.task.job);
    if (job)
        job->setStarted(); // a worker lists ends only of runs that it has started
    auto* task = job ? job->findTask(ended.task) : nullptr;
    auto run = worker.runs.find(ended.task);
    if (task && ended.outcome == RunOutcome::Completed && run != worker.runs.end() && run->second.confirmed
        && run->second.number == ended.runNumber && !run->second.longRunning && run->second.startTimeKnown)
        runTimes_.record(kindOf(*job, ended.task.step), run->second.estimatedDuration,
            std::chrono::duration_cast<Milliseconds>(now.steady - run->second.confirmedAt));
    if (task && task->runNumber == ended.runNumber)
        updateFailureScore(worker, *task, ended.outcome, now);
    endRun(worker.info.id, ended.task, ended.runNumber, ended.outcome, ended.checkpoint, now);
}

void ServiceScheduler::endRun(const std::string& workerId, const TaskId& id, uint32_t runNumber, RunOutcome outcome,
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
        // A run whose lease was taken for expired, or with speculation an earlier one. The first run to complete
        // counts, and so does each failure.
        if (!job->active())
            return;
        if (outcome == RunOutcome::Completed && !job->spec().steps[id.step].longRunning) {
            stopNewestRuns(*job, id);
            completeTask(*job, id, now);
        } else if (outcome == RunOutcome::Failed) {
            job->dirty = true;
            recordFailure(*job, id, *task, runNumber, now);
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
    if (outcome == RunOutcome::Completed && !job->spec().steps[id.step].longRunning)
        completeTask(*job, id, now);
    else if (outcome == RunOutcome::Failed)
        recordFailure(*job, id, *task, runNumber, now);
}

// Stops the newest run of the task, or those of all members of its gang.
void ServiceScheduler::stopNewestRuns(Job& job, const TaskId& id)
{
    const auto& step = job.spec().steps[id.step];
    for (uint32_t index = 0; index < step.count; ++index) {
        if (!step.gang && index != id.index)
            continue;
        TaskId memberId { id.job, id.occurrence, id.step, index };
        const auto* member = job.findTask(memberId);
        if (auto* run = member ? findRun(member->worker, memberId, member->runNumber) : nullptr)
            run->stopRequested = true;
    }
}

// When one member of a gang completes, all members count as completed.
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

// Number of runs of a gang that failed. The members share the run number, so a run that several of them report as
// failed counts once. Failures without a number are counted as the fewest runs that explain them.
static uint32_t countFailedRuns(const std::vector<JobTask>& gang)
{
    std::set<uint32_t> numbers;
    ptrdiff_t withoutNumber = 0;
    for (const auto& member : gang) {
        numbers.insert(member.failedRuns.begin(), member.failedRuns.end());
        withoutNumber = std::max(withoutNumber, std::count(member.failedRuns.begin(), member.failedRuns.end(), 0U));
    }
    numbers.erase(0);
    return static_cast<uint32_t>(numbers.size()) + static_cast<uint32_t>(withoutNumber);
}

void ServiceScheduler::recordFailure(Job& job, const TaskId& id, JobTask& task, uint32_t runNumber, const Now& now)
{
    const auto& step = job.spec().steps[id.step];
    auto& failedRuns = task.failedRuns;
    if (step.longRunning || std::find(failedRuns.begin(), failedRuns.end(), runNumber) != failedRuns.end())
        return;
    failedRuns.push_back(runNumber);
    auto failures = static_cast<uint32_t>(failedRuns.size());
    if (step.gang)
        failures = countFailedRuns(job.openOccurrences().at(id.occurrence).steps[id.step].tasks);
    if (failures >= job.maximumAttempts()) {
        job.setStatus(JobStatus::Failed, now.wall);
        stopRuns(job);
        return;
    }
    auto backoff = options_.initialBackoff * (1 << std::min(failures - 1, 6U));
    task.notBefore = now.steady + std::min(backoff, options_.maximumBackoff);
}

bool ServiceScheduler::beginStart(const StartOrder& order, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.runNumber);
    if (!run)
        return false;
    auto* job = find(order.task.job);
    bool obsolete = !run->startSent && (!job || !job->active() || run->stopRequested);
    if (obsolete || !workers_.at(order.worker).mayExtendLease()) {
        withholdStart(order, now);
        return false;
    }
    run->startSent = true;
    run->startSentAt = now.steady;
    run->resendAt = Instant::max();
    if (run->stopRequested)
        return false;
    ++run->unansweredStarts;
    return true;
}

void ServiceScheduler::withholdStart(const StartOrder& order, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.runNumber);
    if (!run)
        return;
    if (!run->startSent) {
        endRun(order.worker, order.task, order.runNumber, RunOutcome::Stopped, {}, now);
        return;
    }
    run->resendAt = now.steady + options_.orderRetryInterval;
    hasUncertainStarts_ = true;
}

void ServiceScheduler::onStartResponse(const StartOrder& order, StartRefusal refusal, const Now& now)
{
    auto* job = find(order.task.job);
    if (job && refusal == StartRefusal::None)
        job->setStarted();
    auto* run = findRun(order.worker, order.task, order.runNumber);
    if (!run)
        return;
    if (run->unansweredStarts > 0)
        --run->unansweredStarts;
    auto* task = job ? job->findTask(order.task) : nullptr;
    if (refusal == StartRefusal::None || refusal == StartRefusal::StaleRun) {
        // A stale run has already ended on the worker; the next report shows its outcome.
        run->startUncertain = false;
        run->startTimeKnown = refusal == StartRefusal::None;
        run->confirmed = true;
        run->confirmedAt = now.steady;
        run->lastProgressAt = now.steady;
        if (task && task->runNumber == order.runNumber && task->worker == order.worker) // no newer run
            task->state = TaskState::Running;
        return;
    }
    if (refusal == StartRefusal::LeaseExpired && run->unansweredStarts > 0) {
        // On the clock of another incarnation, the lease end of an earlier copy may not have passed.
        run->stopRequested = true;
        return;
    }
    if (refusal == StartRefusal::LeaseExpired) {
        endRun(order.worker, order.task, order.runNumber, RunOutcome::Stopped, {}, now);
        return;
    }
    if (refusal == StartRefusal::Fenced) { // by a later stage of this owner, see WorkerLease
        run->startUncertain = !run->confirmed;
        run->resendAt = now.steady + options_.orderRetryInterval;
        hasUncertainStarts_ = true;
        return;
    }
    auto worker = workers_.find(order.worker);
    if (refusal == StartRefusal::Unhealthy)
        worker->second.quarantinedUntil = now.steady + options_.quarantineDuration / 2;
    if (refusal == StartRefusal::NoCapacity)
        worker->second.quarantinedUntil
            = now.steady + options_.orderRetryInterval; // until a report shows the runs on the worker
    if (run->startUncertain) {
        run->stopRequested = true; // an earlier copy of the order may still take effect
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

void ServiceScheduler::onStartNotSent(const StartOrder& order, const Now& now)
{
    auto* run = findRun(order.worker, order.task, order.runNumber);
    if (!run)
        return;
    if (run->unansweredStarts > 0)
        --run->unansweredStarts;
    auto& worker = workers_.at(order.worker);
    worker.quarantinedUntil = std::max(worker.quarantinedUntil, now.steady + options_.orderRetryInterval);
    if (run->confirmed)
        return;
    run->startSent = run->unansweredStarts > 0 || run->startUncertain; // by an earlier order
    withholdStart(order, now);
}

// After the stop, the worker refuses to start the run, so any report requested from now on shows whether the run is
// active.
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

std::vector<ServiceScheduler::ExpiredRun> ServiceScheduler::expireLeases(const Now& now)
{
    if (cordons_.haveExpired(now.steady))
        setCordons({}, {}, now.steady); // the manager that set them is gone
    std::vector<std::string> removed;
    std::vector<ExpiredRun> expired;
    for (auto& [id, worker] : workers_) {
        if (now.steady < worker.lease.expiresAt())
            continue;
        if (now.steady - worker.lastResponseAt > options_.contactTimeout) {
            auto silence = worker.reported
                ? std::chrono::duration_cast<Milliseconds>(now.steady - worker.lastResponseAt)
                : Milliseconds { 0 };
            for (const auto& [task, run] : worker.runs)
                if (now.steady >= RunLedger::latestEnd(worker, run))
                    expired.push_back({ id, task, run.number, run.doubtful(), silence });
        }
        if (!worker.registered && worker.runs.empty() && now.steady >= worker.lease.unseenExpiresAt())
            removed.push_back(id);
    }
    for (const auto& run : expired)
        endRun(run.worker, run.task, run.runNumber, RunOutcome::LeaseExpired, {}, now);
    for (const auto& id : removed) {
        ledger_.onRemoved(workers_.at(id));
        workers_.erase(id);
    }
    return expired;
}

// Records

void ServiceScheduler::onRecordsStored()
{
    ledger_.onRecordsStored(workers_);
    cordons_.onRecordStored();
}

std::vector<StateRecord> ServiceScheduler::takeChangedRecords(const Now& now)
{
    auto records = ledger_.takeChangedRecords(workers_, now.steady);
    if (auto cordoned = cordons_.takeChangedRecord(cordonedInstances()))
        records.push_back(std::move(*cordoned));
    std::vector<std::string> endedJobs;
    for (auto& [id, job] : jobs_) {
        if (!job.dirty && (job.active() || job.hasRuns()))
            continue;
        addChangedRecords(job, options_.maximumRecordBytes, records);
        if (!job.active() && !job.hasRuns())
            endedJobs.push_back(id);
    }
    for (const auto& id : endedJobs) {
        const auto& job = jobs_.at(id);
        ended_[id] = { job.status(), job.started(), job.endedAt(), { job.account(), job.queue() } };
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

void ServiceScheduler::failUnstorable(const std::string& id, const Now& now)
{
    auto* job = find(id);
    if (!job)
        return;
    std::fill(job->storedParts.begin(), job->storedParts.end(), 0);
    job->dirty = true;
    if (!job->active())
        return;
    job->setStatus(JobStatus::Failed, now.wall);
    stopRuns(*job);
}

void ServiceScheduler::restore(Job&& job)
{
    auto id = job.id();
    jobs_.insert_or_assign(id, std::move(job));
}

void ServiceScheduler::restoreEnded(const Job& job)
{
    ended_[job.id()] = { job.status(), job.started(), job.endedAt(), { job.account(), job.queue() } };
    endedByExpiry_[job.endedAt() + options_.statusRetention].push_back(job.id());
}

void ServiceScheduler::finishRestore(const Now& now)
{
    settledAt_ = takeoverAt_ + options_.takeoverSettleTime;
    for (auto& [id, job] : jobs_)
        job.forEachTask([&](const TaskId& taskId, JobTask& task) {
            if (task.worker.empty())
                return;
            auto& worker = findOrAddWorker(task.worker);
            addRun(worker, taskId, task, jobs_.at(taskId.job).spec().steps[taskId.step]);
            task.restored = true;
            auto& run = worker.runs.at(taskId);
            run.startSent = true;
            run.doubtfulSinceTakeover = ledger_.restoreStart(task.startNumber);
            run.startTimeKnown = false;
            run.confirmed = true; // the first report under this owner's fencing token shows whether the run is active
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

// Multiplicative decrease and additive increase: latency recovers fast, the speed of best-effort tasks slowly.
std::vector<ThrottleOrder> ServiceScheduler::throttleBestEffort(const Now& now)
{
    static constexpr double slowDownThreshold = 0.85; // of the latency target
    static constexpr double speedUpThreshold = 0.6; // of the latency target
    static constexpr Milliseconds minimumChangeInterval { 700 }; // tail latencies cover the last half second
    static constexpr uint32_t speedUpStepPercent = 15;
    std::vector<ThrottleOrder> orders;
    for (auto& [workerId, worker] : workers_) {
        double worstLatencyRatio = 0;
        bool hasBestEffort = false;
        for (const auto& [id, run] : worker.runs) {
            hasBestEffort = hasBestEffort || run.bestEffort;
            if (run.tailLatencyTarget.count() > 0 && run.progressPercent >= 100)
                worstLatencyRatio = std::max(worstLatencyRatio,
                    static_cast<double>(run.tailLatency.count()) / static_cast<double>(run.tailLatencyTarget.count()));
        }
        if (!hasBestEffort)
            continue;
        for (auto& [id, run] : worker.runs) {
            if (!run.bestEffort || !run.confirmed || run.stopRequested
                || now.steady - run.speedChangedAt < minimumChangeInterval)
                continue;
            uint32_t speed = run.speedPercent;
            if (worstLatencyRatio > 1)
                speed = run.speedPercent / 4;
            else if (worstLatencyRatio > slowDownThreshold)
                speed = run.speedPercent * 2 / 3;
            else if (worstLatencyRatio < speedUpThreshold)
                speed = std::min(100U, run.speedPercent + speedUpStepPercent);
            if (speed == run.speedPercent)
                continue;
            run.speedPercent = speed;
            run.speedChangedAt = now.steady;
            orders.push_back({ workerId, id, run.number, speed });
        }
    }
    return orders;
}

// Adds what the jobs of an account require, as far as its quota lets them run at the same time.
void ServiceScheduler::addWithinQuota(const Demand& required, const std::string& account, Demand& demand) const
{
    auto quotaCores = static_cast<double>(quotas_.quotaOf(account).milliCores) / 1000;
    double part = quotaCores > 0 ? std::min(1.0, quotaCores / std::max(required.requiredCores, quotaCores)) : 1;
    demand.requiredCores += part * required.requiredCores;
    demand.overdueCores += part * required.overdueCores;
    demand.requiredMemory += part * required.requiredMemory;
}

ServiceScheduler::Demand ServiceScheduler::demand(const Now& now) const
{
    Demand demand;
    std::map<std::string, Demand> byAccount;
    for (const auto& [id, worker] : workers_)
        demand.allocatedCores += static_cast<double>(worker.allocated.milliCores) / 1000;
    for (const auto& [id, job] : jobs_) {
        if (!job.active())
            continue;
        Milliseconds criticalPathTime { 0 };
        for (const auto& [number, occurrence] : job.openOccurrences()) {
            criticalPathTime = std::max(criticalPathTime, job.remainingCriticalPath(occurrence));
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& spec = job.spec().steps[step];
                if (spec.longRunning)
                    demand.longRunningMemory += static_cast<double>(spec.taskResources.memoryMegabytes) * spec.count;
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
        // Overdue jobs are of little value and only use the capacity that other jobs leave. The demand includes them at
        // a rate at which they are still completed.
        auto remainingTime = softDeadline(job) - now.wall;
        bool overdue = remainingTime < criticalPathTime || job.beyondShare();
        if (overdue)
            remainingTime = std::max(criticalPathTime, options_.overdueCompletionTime);
        if (remainingTime.count() > 0) {
            double cores = job.remainingWork() / static_cast<double>(remainingTime.count());
            double memory = job.remainingMemoryTime() / static_cast<double>(remainingTime.count());
            auto& required = byAccount[job.account()];
            required.requiredCores += cores;
            required.overdueCores += overdue ? cores : 0;
            required.requiredMemory += memory;
        }
    }
    for (const auto& [account, required] : byAccount)
        addWithinQuota(required, account, demand);
    demand.minimumWorkers = workersForLongRunningTasks(now.steady);
    return demand;
}

} // namespace shallotdrift
