// How the quotas and shares of client accounts bear on the tasks of a service.
#include "ServiceScheduler.h"

#include <algorithm>

namespace shallotdrift {

void ServiceScheduler::setAccounts(const ClientAccounts& accounts)
{
    quotas_.setAccounts(accounts);
    shares_.setAccounts(accounts);
}

Milliseconds ServiceScheduler::backlog(Instant now)
{
    static constexpr Milliseconds backlogAge { 50 };
    static constexpr double maximumBacklog = 3'600'000; // ms
    if (now - backlogUpdatedAt_ < backlogAge)
        return backlog_;
    backlogUpdatedAt_ = now;
    double work = 0;
    for (const auto& [id, job] : jobs_)
        if (job.active())
            work += job.remainingWork();
    double cores = capacity(now).schedulableCores;
    backlog_ = Milliseconds { static_cast<int64_t>(cores > 0 ? std::min(work / cores, maximumBacklog) : 0) };
    return backlog_;
}

// Every run that may be active on a worker counts, also one that is being stopped or whose start got no response.
void ServiceScheduler::countUsedQuotas()
{
    if (!quotas_.hasQuotas())
        return;
    quotas_.clearUsed();
    for (const auto& [id, worker] : workers_)
        for (const auto& [task, run] : worker.runs)
            quotas_.addUsed(run.account, run.held);
}

bool ServiceScheduler::withinQuota(const Job& job, const Resources& resources)
{
    return !quotas_.hasQuotas() || quotas_.mayStart(quotas_.indexOf(job.account()), resources);
}

void ServiceScheduler::updateQuotaHoldings(const Now& now)
{
    if (!quotas_.hasQuotas())
        return;
    countUsedQuotas();
    quotas_.clearWanted();
    // A part for tasks that find no worker would lie idle here while tasks of another service wait for it.
    Resources room;
    for (auto* worker : schedulableWorkers(now.steady))
        room += largestOf(worker->freeResources() - worker->held, {});
    for (const auto& [id, job] : jobs_) {
        if (!job.active() || job.account().empty())
            continue;
        auto account = quotas_.indexOf(job.account());
        for (const auto& [number, occurrence] : job.openOccurrences())
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& spec = job.spec().steps[step];
                if (occurrence.steps[step].remainingTasks == 0 || !job.stepReady(occurrence, step))
                    continue;
                Resources waiting;
                for (const auto& task : occurrence.steps[step].tasks)
                    if (task.state == TaskState::Waiting && task.notBefore <= now.steady)
                        waiting += spec.taskResources;
                if (!waiting.isZero())
                    quotas_.addWanted(account, waiting, spec.gang ? waiting : spec.taskResources);
            }
    }
    quotas_.limitWanted(room);
}

} // namespace shallotdrift
