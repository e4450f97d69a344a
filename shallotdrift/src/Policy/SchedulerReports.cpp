// Outcomes of attempts, retries and cancellation.
#include "SchedulerImplementation.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace shallotdrift {

// Different instances on which a job fails before it is taken as one that cannot run.
static constexpr size_t differentFailuresLimit = 3;
// Sends of a request whose attempts may have run.
static constexpr uint32_t executedSendsLimit = 4;
// Sends of a request to instances that cannot be reached. Busy answers are not limited, since each of them pauses its
// instance and the deadline ends the request.
static constexpr uint32_t sendsLimit = 32;
static constexpr double slownessWeight = 0.05; // of one completion
// Part of a pool that may be ejected at once: faults of the work itself must not empty the pool.
static constexpr size_t ejectedDivisor = 3;

void Scheduler::Implementation::report(const AttemptReport& report, Instant now, SchedulerEffects& effects)
{
    auto position = attempts_.find(report.attempt);
    if (position == attempts_.end())
        return; // of a cancelled request
    Attempt attempt = position->second;
    attempts_.erase(position);
    auto& pool = *attempt.item->kind->pool;
    releaseSlot(attempt, now);
    learn(attempt, report, now);
    bool notRun = executionOf(report.code) == Execution::NotRun || !report.bytesSent;
    if (report.code == ResultCode::Ok) {
        handleSuccess(attempt, now);
        complete(*attempt.item, report.attempt, report.code, effects);
    } else if (notRun) {
        handleNotRun(attempt, report, now, effects);
    } else {
        handleExecutedFailure(attempt, report, now, effects);
    }
    dispatchPool(pool, now, effects);
}

void Scheduler::Implementation::releaseSlot(const Attempt& attempt, Instant now)
{
    --attempt.target->inFlight;
    auto& usage = attempt.item->kind->usage;
    usage.set(usage.current() - 1, now);
    attempt.item->lastAttempt = attempt.item->attempt;
    attempt.item->attempt = 0;
}

void Scheduler::Implementation::learn(const Attempt& attempt, const AttemptReport& report, Instant now)
{
    auto& item = *attempt.item;
    auto& cost = item.kind->cost;
    if (report.code != ResultCode::TargetBusy)
        attempt.target->share.recordAnswer();
    if (report.code == ResultCode::Ok) {
        double mean = cost.estimate(item.sizeClass, now).meanSeconds;
        double ratio = std::chrono::duration<double>(report.runtime).count() / std::max(mean, 1e-4);
        double bounded = std::clamp(ratio, 0.1, 10.0);
        attempt.target->slowness += slownessWeight * (bounded - attempt.target->slowness);
        cost.recordSuccess(item.sizeClass, report.runtime, now);
    } else if (report.code == ResultCode::JobFailed) {
        cost.recordFailure(item.sizeClass, now);
    } else if (report.code == ResultCode::AnswerTimeout) {
        cost.recordAtLeast(item.sizeClass, report.runtime, now);
    }
}

void Scheduler::Implementation::handleSuccess(const Attempt& attempt, Instant now)
{
    auto& health = attempt.target->health;
    if (attempt.probe)
        health.reinstate();
    health.recordSuccess();
    attempt.item->kind->pool->retries.recordSuccess();
    blameFailedInstances(*attempt.item, now);
}

void Scheduler::Implementation::handleNotRun(
    const Attempt& attempt, const AttemptReport& report, Instant now, SchedulerEffects& effects)
{
    auto& item = *attempt.item;
    auto& target = *attempt.target;
    if (report.code == ResultCode::TargetBusy) {
        target.share.recordBusy(target.inFlight, now);
        --item.sends;
        if (attempt.probe)
            target.health.probeAbandoned();
    } else {
        recordFailure(target, attempt.probe, now);
    }
    item.avoid = &target;
    // Work that no instance took costs no capacity of the pool, so that it is sent again without a token.
    if (item.sends >= sendsLimit) {
        endWithoutRunning(item, executionOf(report.code) == Execution::NotRun ? report.code : ResultCode::NoInstance,
            fmt::format("{} instances did not take the work", item.sends), effects);
        return;
    }
    enqueue(item, now);
}

void Scheduler::Implementation::handleExecutedFailure(
    const Attempt& attempt, const AttemptReport& report, Instant now, SchedulerEffects& effects)
{
    auto& item = *attempt.item;
    item.executedCode = report.code;
    bool jobFailed = report.code == ResultCode::JobFailed;
    if (jobFailed && item.request.resendAllowed) {
        // Counted against the instances once the work turns out to run elsewhere or is given up.
        item.failedOn.push_back(attempt.target);
        if (attempt.probe)
            attempt.target->health.probeFailed(now);
        if (item.failedOn.size() >= differentFailuresLimit) {
            complete(item, report.attempt, ResultCode::CannotRun, effects);
            return;
        }
    } else {
        recordFailure(*attempt.target, attempt.probe, now);
    }
    const auto& instances = item.kind->pool->instances;
    bool otherInstance = std::any_of(instances.begin(), instances.end(), [&item](const auto& instance) {
        return std::find(item.failedOn.begin(), item.failedOn.end(), instance) == item.failedOn.end();
    });
    bool timeLeft = now < item.request.deadline;
    if (item.request.resendAllowed && item.sends < executedSendsLimit && timeLeft && otherInstance
        && item.kind->pool->retries.take()) {
        item.avoid = attempt.target.get();
        enqueue(item, now);
        return;
    }
    blameFailedInstances(item, now);
    complete(item, report.attempt, report.code, effects);
}

void Scheduler::Implementation::recordFailure(TargetInstance& target, bool probe, Instant now)
{
    auto& health = target.health;
    health.recordFailure();
    if (health.ejected()) {
        if (probe)
            health.probeFailed(now);
        return;
    }
    auto pool = pools_.find(target.pool);
    if (!health.failing() || !target.usable || pool == pools_.end())
        return;
    if ((pool->second.ejectedCount() + size_t { 1 }) * ejectedDivisor <= pool->second.instances.size())
        health.eject(now);
}

void Scheduler::Implementation::blameFailedInstances(WorkItem& item, Instant now)
{
    for (const auto& target : item.failedOn)
        recordFailure(*target, false, now);
    item.failedOn.clear();
}

void Scheduler::Implementation::cancel(uint64_t request, Instant now, SchedulerEffects& effects)
{
    auto position = items_.find(request);
    if (position == items_.end())
        return;
    auto& item = position->second;
    auto* pool = item.kind->pool;
    if (!item.attempt) {
        item.kind->queue.remove(item);
        endWithoutRunning(item, ResultCode::Cancelled, "cancelled while it waited for a slot", effects);
        return;
    }
    uint64_t number = item.attempt;
    Attempt attempt = attempts_[number];
    attempts_.erase(number);
    releaseSlot(attempt, now);
    if (attempt.probe)
        attempt.target->health.probeAbandoned();
    effects.cancelledAttempts.push_back(number);
    complete(item, number, ResultCode::OutcomeUnknown, effects);
    dispatchPool(*pool, now, effects);
}

} // namespace shallotdrift
