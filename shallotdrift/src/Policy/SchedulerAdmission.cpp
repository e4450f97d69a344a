// Admission, queues and dispatch of the scheduler.
#include "SchedulerImplementation.h"

#include <algorithm>
#include <cmath>
#include <spdlog/fmt/fmt.h>

namespace shallotdrift {

using internal::CostModel;

// Requests passed over in one round because no suitable instance is free for them; bounds the cost of a round.
static constexpr size_t setAsideLimit = 16;

static double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }
static long millisecondsOf(double seconds) { return std::lround(seconds * 1000); }

void Scheduler::Implementation::submit(const WorkRequest& request, Instant now, SchedulerEffects& effects)
{
    auto kind = kinds_.find(request.kind);
    if (kind == kinds_.end() || !kind->second.configured) {
        effects.refusals.push_back({ request.id, ResultCode::UnknownKind, "no kind " + request.kind });
        return;
    }
    if (items_.count(request.id)) {
        effects.refusals.push_back({ request.id, ResultCode::BadRequest, "the request id is in use" });
        return;
    }
    auto sizeClass = CostModel::sizeClassOf(request.declaredRuntime);
    kind->second.offered.add(kind->second.cost.estimate(sizeClass, now).meanSeconds, now);
    auto* team = teamNamed(request.team);
    if (auto objection = objectionTo(request, kind->second, team, now)) {
        effects.refusals.push_back({ request.id, objection->code, std::move(objection->reason) });
        return;
    }
    auto& item = items_[request.id];
    item.request = request;
    item.kind = &kind->second;
    item.team = team;
    item.sizeClass = sizeClass;
    item.sequence = nextSequence_++;
    item.submittedAt = now;
    if (team)
        ++team->held;
    enqueue(item, now);
    dispatchPool(*item.kind->pool, now, effects);
}

std::optional<Scheduler::Implementation::Objection> Scheduler::Implementation::objectionTo(
    const WorkRequest& request, const KindState& kind, const TeamState* team, Instant now) const
{
    const auto& pool = *kind.pool;
    if (request.deadline <= now)
        return Objection { ResultCode::DeadlinePassed, "the deadline had passed on arrival" };
    if (pool.instances.empty())
        return Objection { ResultCode::NoInstance, fmt::format("pool {} has no usable instance", pool.name) };
    // Every admitted request waits for or holds a slot, so both count towards the quota.
    if (team && team->quota && team->held >= team->quota) {
        return Objection { ResultCode::QuotaExceeded,
            fmt::format("team {} holds {} of {} slots of this entry", request.team, team->held, team->quota) };
    }
    if (kind.queue.size() >= kind.configuration.queueLimit) {
        return Objection { ResultCode::QueueFull,
            fmt::format("{} requests of kind {} wait, limit {}", kind.queue.size(), request.kind,
                kind.configuration.queueLimit) };
    }
    if (order_.refusesEarly())
        return lateness(request, kind, now);
    return std::nullopt;
}

std::optional<Scheduler::Implementation::Objection> Scheduler::Implementation::lateness(
    const WorkRequest& request, const KindState& kind, Instant now) const
{
    double wait = expectedWaitSeconds(request, kind, now);
    auto cost = kind.cost.estimate(CostModel::sizeClassOf(request.declaredRuntime), now);
    double left = secondsOf(request.deadline - now);
    if (wait + cost.likelySeconds() <= left)
        return std::nullopt;
    return Objection { ResultCode::WouldBeLate,
        fmt::format("expected wait {} ms + run time {} ms > {} ms left; {} waiting, {} slots of pool {}",
            millisecondsOf(wait), millisecondsOf(cost.likelySeconds()), millisecondsOf(left), kind.queue.size(),
            kind.pool->effectiveSlots(), kind.pool->name) };
}

double Scheduler::Implementation::expectedWaitSeconds(const WorkRequest& request, const KindState& kind, Instant now)
{
    const auto& pool = *kind.pool;
    if (kind.queue.empty() && pool.hasFreeSlot(now))
        return 0;
    double ownAhead = kind.queue.workSecondsBefore(request.deadline);
    double otherAhead = 0;
    for (const auto* other : pool.kinds) {
        if (other == &kind)
            continue;
        if (other->configuration.urgency < kind.configuration.urgency)
            otherAhead += other->queue.workSeconds();
        else if (other->configuration.urgency == kind.configuration.urgency)
            otherAhead += other->queue.workSecondsBefore(request.deadline);
    }
    double slots = pool.effectiveSlots();
    double inTurn = (ownAhead + otherAhead) / slots;
    double guaranteed = kind.configuration.guaranteedShare * slots;
    // The work starts through the guaranteed share or in its turn, whichever comes first.
    return guaranteed > 0 ? std::min(inTurn, ownAhead / guaranteed) : inTurn;
}

void Scheduler::Implementation::enqueue(WorkItem& item, Instant now)
{
    item.attempt = 0;
    auto cost = item.kind->cost.estimate(item.sizeClass, now);
    item.expectedSeconds = cost.meanSeconds;
    item.likelySeconds = cost.likelySeconds();
    item.kind->queue.insert(item);
}

void Scheduler::Implementation::expire(KindState& kind, Instant now, SchedulerEffects& effects)
{
    while (auto* item = kind.queue.first()) {
        if (!kind.configured) {
            kind.queue.remove(*item);
            endWithoutRunning(*item, ResultCode::UnknownKind, "the kind was removed from the configuration", effects);
            continue;
        }
        double left = secondsOf(item->request.deadline - now);
        bool late = order_.refusesEarly() && left < item->likelySeconds;
        if (left > 0 && !late)
            return;
        kind.queue.remove(*item);
        double waited = secondsOf(now - item->submittedAt);
        if (kind.pool->instances.empty()) {
            endWithoutRunning(*item, ResultCode::NoInstance,
                fmt::format("pool {} had no usable instance; waited {} ms", kind.pool->name, millisecondsOf(waited)),
                effects);
        } else if (left <= 0) {
            endWithoutRunning(*item, ResultCode::DeadlinePassed,
                fmt::format("waited {} ms for a slot of pool {}", millisecondsOf(waited), kind.pool->name), effects);
        } else {
            endWithoutRunning(*item, ResultCode::WouldBeLate,
                fmt::format("waited {} ms; run time {} ms > {} ms left", millisecondsOf(waited),
                    millisecondsOf(item->likelySeconds), millisecondsOf(left)),
                effects);
        }
    }
}

void Scheduler::Implementation::dispatchPool(PoolState& pool, Instant now, SchedulerEffects& effects)
{
    // Requests for which only instances are free on which they failed; they wait without blocking others.
    std::vector<WorkItem*> setAside;
    while (setAside.size() < setAsideLimit && pool.hasFreeSlot(now)) {
        auto* kind = order_.next(pool, now);
        if (!kind)
            break;
        auto* item = kind->queue.first();
        expire(*kind, now, effects);
        if (kind->queue.first() != item)
            continue;
        kind->queue.remove(*item);
        if (auto target = placement_.choose(pool, *item, now, random_))
            send(*item, target, now, effects);
        else
            setAside.push_back(item);
    }
    for (auto* item : setAside)
        enqueue(*item, now);
}

void Scheduler::Implementation::send(
    WorkItem& item, const std::shared_ptr<TargetInstance>& target, Instant now, SchedulerEffects& effects)
{
    uint64_t number = nextAttempt_++;
    bool probe = target->health.ejected();
    if (probe)
        target->health.probeStarted();
    ++target->inFlight;
    item.attempt = number;
    ++item.sends;
    item.kind->usage.set(item.kind->usage.current() + 1, now);
    attempts_[number] = { &item, target, now, probe };
    effects.dispatches.push_back(
        { number, item.request.id, target->id, target->pool, target->epoch, item.request.deadline });
}

void Scheduler::Implementation::tick(Instant now, SchedulerEffects& effects)
{
    for (auto& [name, kind] : kinds_)
        expire(kind, now, effects);
    for (auto& [name, pool] : pools_)
        dispatchPool(pool, now, effects);
}

void Scheduler::Implementation::endWithoutRunning(
    WorkItem& item, ResultCode code, std::string reason, SchedulerEffects& effects)
{
    if (item.executedCode) {
        complete(item, 0, *item.executedCode, effects);
        return;
    }
    effects.refusals.push_back({ item.request.id, code, std::move(reason) });
    forget(item);
}

void Scheduler::Implementation::complete(WorkItem& item, uint64_t attempt, ResultCode code, SchedulerEffects& effects)
{
    effects.completions.push_back({ item.request.id, attempt ? attempt : item.lastAttempt, code });
    forget(item);
}

void Scheduler::Implementation::forget(WorkItem& item)
{
    if (item.team)
        --item.team->held;
    items_.erase(item.request.id);
}

} // namespace shallotdrift
