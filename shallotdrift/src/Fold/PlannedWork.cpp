#include "PlannedWork.h"

#include <fmt/format.h>

namespace shallotdrift {

bool isDrained(const FleetState& state, const Instance& instance)
{
    auto separator = instance.operationId.find('/');
    if (separator == std::string::npos)
        return false;
    auto wave = state.waves.find(instance.operationId.substr(0, separator));
    return wave != state.waves.end() && wave->second.keepDrained && wave->second.done.count(instance.id) > 0;
}

// A drained instance does not keep its rack busy; otherwise a drain could not go on to a second rack of the pool.
static bool underPlannedWork(const FleetState& state, const Instance& instance)
{
    return instance.status != InstanceStatus::Active && !isDrained(state, instance);
}

PoolBudget poolBudget(const FleetState& state, const std::string& pool)
{
    PoolBudget budget;
    budget.pool = pool;
    if (auto settings = state.configuration.pools.find(pool); settings != state.configuration.pools.end())
        budget.minimum = settings->second.minimumAvailable;
    const std::string* firstRack = nullptr;
    for (const auto& [id, instance] : state.instances) {
        if (instance.pool != pool)
            continue;
        bool busy = underPlannedWork(state, instance);
        if (busy) {
            budget.rackBusy = true;
            budget.busyRack = instance.rack;
        }
        if (instance.lost && !busy)
            continue;
        ++budget.instances;
        budget.available += instance.available() ? 1 : 0;
        if (!firstRack)
            firstRack = &instance.rack;
        budget.severalRacks |= *firstRack != instance.rack;
    }
    return budget;
}

Verdict checkPlannedWork(const PoolBudget& budget, const Instance& instance)
{
    auto figures = fmt::format(
        "pool {}: {} available, minimum {}, rack {}", budget.pool, budget.available, budget.minimum, instance.rack);
    if (budget.available < uint64_t { budget.minimum } + 1)
        return { ResultCode::BudgetExceeded, std::move(figures) };
    if (budget.severalRacks && budget.rackBusy && budget.busyRack != instance.rack)
        return { ResultCode::FailureDomainBusy, figures + ", work under way on rack " + budget.busyRack };
    return { ResultCode::Ok, std::move(figures) };
}

void takePlannedWork(PoolBudget& budget, const Instance& instance)
{
    budget.available -= instance.available() ? 1 : 0;
    budget.rackBusy = true;
    budget.busyRack = instance.rack;
}

} // namespace shallotdrift
