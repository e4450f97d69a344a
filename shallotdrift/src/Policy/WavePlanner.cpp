#include "WavePlanner.h"

#include "../Fold/PlannedWork.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallotdrift::internal {

using Budgets = std::map<std::string, PoolBudget>;

// Budget of the pool, read once and lowered by what is planned.
static PoolBudget& budgetOf(const FleetState& state, const std::string& pool, Budgets& budgets)
{
    auto known = budgets.find(pool);
    if (known == budgets.end())
        known = budgets.emplace(pool, poolBudget(state, pool)).first;
    return known->second;
}

// Instances of one pool that a wave has still to maintain, grouped by rack.
struct PoolRemainder {
    std::map<std::string, std::vector<const Instance*>> racks;
    size_t instances = 0;
    size_t rounds = 0; // of maintenances, one after the other, that the pool needs at least
};

using Remainders = std::map<std::string, PoolRemainder>;

static Remainders remaindersOf(const FleetState& state, const Wave& wave)
{
    Remainders remainders;
    for (const auto& id : wave.pending) {
        auto instance = state.instances.find(id);
        if (instance == state.instances.end() || !instance->second.available())
            continue;
        auto& remainder = remainders[instance->second.pool];
        remainder.racks[instance->second.rack].push_back(&instance->second);
        ++remainder.instances;
    }
    return remainders;
}

// Racks of a pool are maintained one after the other, each in rounds of what the budget lets go at once.
static size_t roundsOf(const PoolRemainder& remainder, const PoolBudget& budget)
{
    size_t parallel = budget.available > budget.minimum ? budget.available - budget.minimum : 1;
    if (!budget.severalRacks)
        return (remainder.instances + parallel - 1) / parallel;
    size_t rounds = 0;
    for (const auto& [rack, instances] : remainder.racks)
        rounds += (instances.size() + parallel - 1) / parallel;
    return rounds;
}

// Pools that need the most rounds come first: under a limit on parallel work they determine how long the wave
// lasts.
static std::vector<std::pair<const std::string*, const PoolRemainder*>> orderPools(
    const FleetState& state, Remainders& remainders, Budgets& budgets)
{
    std::vector<std::pair<const std::string*, const PoolRemainder*>> order;
    for (auto& [pool, remainder] : remainders) {
        remainder.rounds = roundsOf(remainder, budgetOf(state, pool, budgets));
        order.emplace_back(&pool, &remainder);
    }
    std::stable_sort(
        order.begin(), order.end(), [](const auto& a, const auto& b) { return a.second->rounds > b.second->rounds; });
    return order;
}

// The rack under work comes first, then the one with the most instances to maintain.
static std::vector<const Instance*> orderInstances(const PoolRemainder& remainder, const PoolBudget& budget)
{
    std::vector<std::pair<const std::string*, const std::vector<const Instance*>*>> racks;
    for (const auto& [rack, instances] : remainder.racks)
        racks.emplace_back(&rack, &instances);
    auto busy = [&](const std::string& rack) { return budget.rackBusy && budget.busyRack == rack; };
    std::stable_sort(racks.begin(), racks.end(), [&](const auto& a, const auto& b) {
        if (busy(*a.first) != busy(*b.first))
            return busy(*a.first);
        return a.second->size() > b.second->size();
    });
    std::vector<const Instance*> ordered;
    for (const auto& [rack, instances] : racks)
        ordered.insert(ordered.end(), instances->begin(), instances->end());
    return ordered;
}

static size_t freePlaces(const Wave& wave)
{
    if (wave.maximumParallel == 0)
        return wave.pending.size();
    return wave.maximumParallel > wave.active.size() ? wave.maximumParallel - wave.active.size() : 0;
}

static void planPool(const Wave& wave, const PoolRemainder& remainder, PoolBudget& budget, size_t places,
    std::vector<PlannedMaintenance>& plan)
{
    size_t limit = plan.size() + places;
    for (const auto* instance : orderInstances(remainder, budget)) {
        if (plan.size() >= limit)
            return;
        auto verdict = checkPlannedWork(budget, *instance);
        if (verdict.code != ResultCode::Ok)
            continue;
        takePlannedWork(budget, *instance);
        plan.push_back({ wave.id, instance->id, instance->epoch,
            fmt::format("{}; wave has {} to do", verdict.figures, wave.pending.size()) });
    }
}

static void planWave(const FleetState& state, const Wave& wave, Budgets& budgets, std::vector<PlannedMaintenance>& plan)
{
    size_t limit = plan.size() + freePlaces(wave);
    auto remainders = remaindersOf(state, wave);
    for (const auto& [pool, remainder] : orderPools(state, remainders, budgets))
        planPool(wave, *remainder, budgetOf(state, *pool, budgets), limit - plan.size(), plan);
}

} // namespace shallotdrift::internal

namespace shallotdrift {

std::vector<PlannedMaintenance> planMaintenance(const FleetState& state)
{
    std::vector<PlannedMaintenance> plan;
    internal::Budgets budgets;
    for (const auto& [id, wave] : state.waves) {
        if (wave.status == WaveStatus::Running)
            internal::planWave(state, wave, budgets, plan);
    }
    return plan;
}

} // namespace shallotdrift
