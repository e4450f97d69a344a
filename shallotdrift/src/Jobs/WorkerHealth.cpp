// Health of workers, judged by their runs: workers that fail tasks or make no progress are quarantined, and tasks of
// unresponsive workers are started again elsewhere.
#include "ServiceScheduler.h"

#include <algorithm>

namespace shallotdrift {

// Quarantines a worker on which tasks fail that have not failed before. Each such failure reduces the score by 10% and
// then adds 1; each completed run halves the score.
void ServiceScheduler::updateFailureScore(Worker& worker, const JobTask& task, RunOutcome outcome, const Now& now)
{
    static constexpr double quarantineThreshold = 2.5;
    if (outcome == RunOutcome::Completed)
        worker.failureScore *= 0.5;
    if (outcome != RunOutcome::Failed || !task.failedRuns.empty())
        return;
    worker.failureScore = worker.failureScore * 0.9 + 1;
    if (worker.failureScore < quarantineThreshold)
        return;
    quarantine(worker, now);
    worker.failureScore = quarantineThreshold - 1;
}

// False if the limit of quarantined workers is reached: problems on many workers at once are caused by the jobs, and a
// quarantine of all workers would stop the service.
bool ServiceScheduler::quarantine(Worker& worker, const Now& now)
{
    static constexpr size_t workersPerQuarantine = 3; // the limit is one in this many registered workers, rounded up
    if (worker.quarantinedUntil > now.steady)
        return true;
    size_t quarantined = 0;
    size_t registered = 0;
    for (const auto& [id, other] : workers_) {
        registered += other.registered ? 1 : 0;
        quarantined += other.registered && other.quarantinedUntil > now.steady ? 1 : 0;
    }
    if (quarantined * workersPerQuarantine >= registered)
        return false;
    worker.quarantinedUntil = now.steady + options_.quarantineDuration;
    return true;
}

// True if the run makes no progress. Slow runs cannot be detected, because estimated durations are off by more than the
// slowdown of a slow worker.
static bool isStalled(const Worker::Run& run, Instant now)
{
    static constexpr Milliseconds stallTimeout { 1500 }; // a change of the percentage is reported within half a second
    if (!run.confirmed || run.longRunning || run.stopRequested)
        return false;
    return now - run.lastProgressAt > stallTimeout;
}

void ServiceScheduler::checkWorkerHealth(const Now& now)
{
    static constexpr size_t minimumStalledRuns = 2; // a single stalled run may be due to a wrongly estimated task
    for (auto& [workerId, worker] : workers_) {
        if (worker.unresponsive) {
            releaseForSpeculation(worker, now);
            continue;
        }
        std::vector<Worker::Run*> stalled;
        size_t confirmedRuns = 0;
        for (auto& [id, run] : worker.runs) {
            if (run.longRunning || !run.confirmed)
                continue;
            ++confirmedRuns;
            if (isStalled(run, now.steady))
                stalled.push_back(&run);
        }
        if (stalled.size() < minimumStalledRuns || 2 * stalled.size() < confirmedRuns || !quarantine(worker, now))
            continue;
        for (auto* run : stalled)
            run->stopRequested = true;
    }
}

// Lets tasks that allow speculation be placed again before the lease of their unresponsive worker has expired.
void ServiceScheduler::releaseForSpeculation(Worker& worker, const Now& now)
{
    if (now.steady - worker.lastResponseAt < options_.speculationDelay)
        return;
    for (auto& [id, run] : worker.runs) {
        auto* job = find(id.job);
        auto* task = job ? job->findTask(id) : nullptr;
        if (!task || !job->active() || task->runNumber != run.number || task->worker != worker.info.id
            || !job->spec().steps[id.step].speculationAllowed || job->spec().steps[id.step].longRunning)
            continue;
        run.stopRequested = true; // superseded by the next run, but its result counts if it ends first
        task->state = TaskState::Waiting;
        task->worker.clear();
        job->dirty = true;
    }
}

} // namespace shallotdrift
