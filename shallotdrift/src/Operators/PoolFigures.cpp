#include "PoolFigures.h"

#include "../Fold/PlannedWork.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace shallotdrift::internal {

std::map<std::string, PoolFigures> figuresOfPools(const FleetState& state)
{
    std::map<std::string, PoolFigures> figures;
    for (const auto& [name, pool] : state.configuration.pools)
        figures[name].minimum = pool.minimumAvailable;
    for (const auto& [id, instance] : state.instances) {
        auto& pool = figures[instance.pool];
        pool.instances += instance.lost ? 0 : 1;
        pool.available += instance.available() ? 1 : 0;
        if (instance.lent()) {
            ++pool.lentIn;
            ++figures[instance.homePool].lentOut;
        }
    }
    return figures;
}

// Planned work holds one rack of a pool at a time, so instances of the rack with the most of them come first.
static const Instance* pickInstance(const FleetState& state, const std::string& pool)
{
    const auto budget = poolBudget(state, pool);
    std::map<std::string, uint32_t> candidatesOfRack;
    std::vector<const Instance*> candidates;
    for (const auto& [id, instance] : state.instances) {
        if (instance.pool != pool || !instance.available() || !instance.operationId.empty())
            continue;
        if (checkPlannedWork(budget, instance).code != ResultCode::Ok)
            continue;
        candidates.push_back(&instance);
        ++candidatesOfRack[instance.rack];
    }
    auto best = std::max_element(candidates.begin(), candidates.end(),
        [&](const Instance* a, const Instance* b) { return candidatesOfRack[a->rack] < candidatesOfRack[b->rack]; });
    return best != candidates.end() ? *best : nullptr;
}

const Instance* pickLender(const FleetState& state, const std::string& fromPool, const std::string& toPool)
{
    if (!fromPool.empty())
        return pickInstance(state, fromPool);
    const auto figures = figuresOfPools(state);
    std::vector<const PoolConfiguration*> lenders;
    for (const auto& [name, pool] : state.configuration.pools) {
        if (pool.lends && name != toPool && figures.at(name).allowsPlannedWork())
            lenders.push_back(&pool);
    }
    // The spare pools first, then the pool with the most instances above its minimum.
    auto order = [&](const PoolConfiguration* pool) {
        const auto& pools = figures.at(pool->name);
        return std::tuple(!pool->spare, -static_cast<int64_t>(pools.available - pools.minimum), pool->name);
    };
    std::sort(lenders.begin(), lenders.end(), [&](auto* a, auto* b) { return order(a) < order(b); });
    for (const auto* pool : lenders) {
        if (const auto* instance = pickInstance(state, pool->name))
            return instance;
    }
    return nullptr;
}

} // namespace shallotdrift::internal
