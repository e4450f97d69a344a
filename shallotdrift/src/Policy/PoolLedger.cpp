#include "PoolLedger.h"

#include <algorithm>

namespace shallotdrift::internal {

PoolLedger::PoolLedger(const FleetState& state)
{
    for (const auto& [name, configuration] : state.configuration.pools) {
        auto& pool = pools_[name];
        pool.configuration = &configuration;
        pool.name = name;
    }
    for (const auto& [name, kind] : state.configuration.kinds) {
        if (auto* pool = find(kind.pool))
            pool->urgency = std::min(pool->urgency, kind.urgency);
    }
    countInstances(state);
    countMoves(state);
    noteWaves(state);
}

void PoolLedger::noteWaves(const FleetState& state)
{
    for (const auto& [id, wave] : state.waves) {
        if (wave.status != WaveStatus::Running)
            continue;
        for (const auto& name : wave.pending) {
            auto instance = state.instances.find(name);
            auto* pool = instance == state.instances.end() ? nullptr : find(instance->second.pool);
            if (pool)
                pool->waveWaits = true;
        }
    }
}

PoolLedger::Pool* PoolLedger::find(const std::string& name)
{
    auto position = pools_.find(name);
    return position == pools_.end() ? nullptr : &position->second;
}

void PoolLedger::countInstances(const FleetState& state)
{
    std::map<std::string, uint32_t> slots;
    std::map<std::string, uint32_t> counts;
    for (const auto& [id, instance] : state.instances) {
        if (auto* home = find(instance.homePool))
            ++home->home;
        auto* pool = find(instance.pool);
        if (!pool)
            continue;
        slots[instance.pool] += instance.shape.slots;
        ++counts[instance.pool];
        if (instance.available()) {
            ++pool->available;
            if (instance.operationId.empty())
                pool->movable.push_back(&instance);
        }
    }
    for (auto& [name, pool] : pools_) {
        pool.budget = poolBudget(state, name);
        if (counts[name] && slots[name])
            pool.slotsPerInstance = static_cast<double>(slots[name]) / counts[name];
    }
}

void PoolLedger::countMoves(const FleetState& state)
{
    for (const auto& [id, move] : state.moves) {
        if (move.status != MoveStatus::Closing && move.status != MoveStatus::Closed)
            continue;
        if (move.invocationId.empty())
            ++movesUnderWay_;
        if (auto* pool = find(move.toPool))
            ++pool->incoming;
    }
}

bool PoolLedger::mayLeave(const Pool& pool, const Instance& instance)
{
    return checkPlannedWork(pool.budget, instance).code == ResultCode::Ok;
}

void PoolLedger::recordMove(Pool& from, Pool& to, const Instance& instance)
{
    --from.available;
    ++to.incoming;
    takePlannedWork(from.budget, instance);
    from.movable.erase(std::find(from.movable.begin(), from.movable.end(), &instance));
    ++movesUnderWay_;
}

} // namespace shallotdrift::internal
