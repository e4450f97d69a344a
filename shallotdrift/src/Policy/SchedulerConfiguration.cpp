// Configuration, instances and shares of the scheduler.
#include "SchedulerImplementation.h"

#include <algorithm>

namespace shallotdrift {

using internal::KindState;
using internal::PoolState;
using internal::TeamState;

Scheduler::Implementation::Implementation(SchedulerOptions options)
    : options_(std::move(options))
    , order_(internal::admissionOrder(options_.admission))
    , placement_(internal::placement(options_.placement))
    , random_(options_.seed)
{
}

PoolState& Scheduler::Implementation::poolNamed(const std::string& name)
{
    auto& pool = pools_[name];
    pool.name = name;
    return pool;
}

KindState& Scheduler::Implementation::kindNamed(const std::string& name)
{
    return kinds_.try_emplace(name, order_.earlier()).first->second;
}

TeamState* Scheduler::Implementation::teamNamed(const std::string& name)
{
    auto position = teams_.find(name);
    return position == teams_.end() ? nullptr : &position->second;
}

void Scheduler::Implementation::setConfiguration(const FleetConfiguration& configuration, Instant now)
{
    for (auto& [name, pool] : pools_)
        pool.kinds.clear();
    for (auto& [name, kind] : kinds_)
        kind.configured = false;
    for (const auto& [name, kindConfiguration] : configuration.kinds) {
        auto& kind = kindNamed(name);
        kind.configured = true;
        kind.configuration = kindConfiguration;
        kind.configuration.name = name;
        kind.cost.setExpectedRuntime(kindConfiguration.expectedRuntime);
        kind.pool = &poolNamed(kindConfiguration.pool);
    }
    for (auto& [name, kind] : kinds_) {
        kind.pool->kinds.push_back(&kind);
        kind.pool->resendableWork = false;
    }
    for (auto& [name, kind] : kinds_)
        kind.pool->resendableWork |= kind.configured && kind.configuration.idempotent;
    quotas_.clear();
    for (const auto& [name, team] : configuration.teams)
        quotas_[name] = team.slotQuota;
    setTeamQuotas();
    for (auto& [name, pool] : pools_)
        setFractions(pool, now);
}

void Scheduler::Implementation::setTeamQuotas()
{
    for (auto& [name, team] : teams_)
        team.quota = 0;
    // Callers reach the entries through a balancer, so each entry admits an equal part of the quota.
    for (const auto& [name, quota] : quotas_)
        teams_[name].quota = quota ? std::max(1U, (quota + liveEntries_ - 1) / liveEntries_) : 0;
}

std::shared_ptr<Scheduler::Implementation::TargetInstance> Scheduler::Implementation::knownInstance(
    const UsableInstance& instance) const
{
    std::shared_ptr<TargetInstance> known;
    auto present = instances_.find(instance.instance);
    auto departed = departed_.find(instance.instance);
    if (present != instances_.end())
        known = present->second;
    else if (departed != departed_.end())
        known = departed->second.lock();
    return known && known->epoch == instance.epoch && known->pool == instance.pool ? known : nullptr;
}

void Scheduler::Implementation::setInstances(
    const std::vector<UsableInstance>& usable, Instant now, SchedulerEffects& effects)
{
    std::map<std::string, std::shared_ptr<TargetInstance>> next;
    for (const auto& instance : usable) {
        auto target = knownInstance(instance);
        if (!target) {
            target = std::make_shared<TargetInstance>();
            target->id = instance.instance;
            target->pool = instance.pool;
            target->epoch = instance.epoch;
        }
        target->sameZone = instance.zone == options_.zone;
        target->share.setSlots(instance.slots);
        next[instance.instance] = std::move(target);
    }
    for (auto& [id, target] : instances_) {
        target->usable = false;
        departed_[id] = target;
    }
    instances_ = std::move(next);
    for (auto position = departed_.begin(); position != departed_.end();)
        position = instances_.count(position->first) || position->second.expired() ? departed_.erase(position)
                                                                                   : std::next(position);
    for (auto& [name, pool] : pools_)
        pool.instances.clear();
    for (auto& [id, target] : instances_) {
        target->usable = true;
        poolNamed(target->pool).instances.push_back(target);
    }
    for (auto& [name, pool] : pools_) {
        setFractions(pool, now);
        dispatchPool(pool, now, effects);
    }
}

void Scheduler::Implementation::setPeerDemand(
    const std::map<std::string, double>& slotsByPool, uint32_t liveEntries, Instant now)
{
    liveEntries_ = std::max(1U, liveEntries);
    setTeamQuotas();
    for (auto& [name, pool] : pools_) {
        auto peer = slotsByPool.find(name);
        pool.peerDemand = peer == slotsByPool.end() ? 0 : std::max(0.0, peer->second);
        setFractions(pool, now);
    }
}

void Scheduler::Implementation::setFractions(PoolState& pool, Instant now)
{
    double own = pool.demandSlots(now);
    double all = own + pool.peerDemand;
    // Without any demand the slots are split evenly.
    pool.fraction = all > 0 ? own / all : 1.0 / liveEntries_;
    for (const auto& instance : pool.instances)
        instance->share.setFraction(pool.fraction);
}

std::vector<PoolLoad> Scheduler::Implementation::load(Instant now) const
{
    std::vector<PoolLoad> result;
    for (const auto& [name, pool] : pools_) {
        PoolLoad load;
        load.pool = name;
        load.running = pool.running();
        load.demandSlots = pool.demandSlots(now);
        for (const auto* kind : pool.kinds) {
            load.queued += static_cast<uint32_t>(kind->queue.size());
            if (kind->configuration.urgency != Urgency::Urgent || kind->queue.empty())
                continue;
            double wait = std::chrono::duration<double>(now - kind->queue.oldestSubmission()).count();
            load.oldestWaitSeconds = std::max(load.oldestWaitSeconds, wait);
        }
        result.push_back(std::move(load));
    }
    return result;
}

} // namespace shallotdrift
