// Health of workers as their runs show it: workers that fail, stand still or are slow get no new work for a while, and
// runs that would end sooner elsewhere are started again.
#include "ServiceScheduler.h"

#include <algorithm>

namespace shallotdrift {

// A worker that fails tasks which have not failed elsewhere gets no new work for a while.
void ServiceScheduler::updateFailureScore(Worker& worker, const JobTask& task, RunOutcome end, const Now& now)
{
    static constexpr double failuresToQuarantine = 2.5;
    if (end == RunOutcome::Completed)
        worker.failureScore *= 0.5;
    if (end != RunOutcome::Failed || task.failures > 0)
        return;
    worker.failureScore = worker.failureScore * 0.9 + 1;
    if (worker.failureScore < failuresToQuarantine)
        return;
    quarantine(worker, now);
    worker.failureScore = failuresToQuarantine - 1;
}

// Trouble on many workers at once comes from the jobs, and avoiding all of them would stop the service.
bool ServiceScheduler::quarantine(Worker& worker, const Now& now)
{
    static constexpr size_t largestPart = 3; // one of so many workers
    if (worker.quarantinedUntil > now.steady)
        return true;
    size_t quarantined = 0;
    size_t listed = 0;
    for (const auto& [id, other] : workers_) {
        listed += other.registered ? 1 : 0;
        quarantined += other.registered && other.quarantinedUntil > now.steady ? 1 : 0;
    }
    if (quarantined * largestPart >= listed)
        return false;
    worker.quarantinedUntil = now.steady + options_.quarantineDuration;
    return true;
}

// A run without progress. Slow ones cannot be told: declared times are off by more than the slowness of a worker.
static bool standsStill(const Worker::Run& run, Instant now)
{
    static constexpr Milliseconds standstill { 1500 }; // shares of a percent are reported within half a second
    if (!run.confirmed || run.longRunning || run.stopRequested)
        return false;
    return now - run.lastProgressAt > standstill;
}

void ServiceScheduler::checkWorkerHealth(const Now& now)
{
    static constexpr size_t runsToJudge = 2; // a single run may be one whose declaration is wrong
    for (auto& [workerId, worker] : workers_) {
        if (worker.unresponsive) {
            releaseForSpeculation(worker, now);
            continue;
        }
        std::vector<Worker::Run*> still;
        size_t judged = 0;
        for (auto& [id, run] : worker.runs) {
            if (run.longRunning || !run.confirmed)
                continue;
            ++judged;
            if (standsStill(run, now.steady))
                still.push_back(&run);
        }
        if (still.size() < runsToJudge || 2 * still.size() < judged || !quarantine(worker, now))
            continue;
        for (auto* run : still)
            run->stopRequested = true;
    }
}

// Tasks that may run twice need not wait until the lease of a silent worker has lapsed.
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
        run.stopRequested = true; // the copy is superseded; what it has done counts if it ends first
        task->state = TaskState::Waiting;
        task->worker.clear();
        job->dirty = true;
    }
}

} // namespace shallotdrift
