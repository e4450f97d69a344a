#include "SnapshotRules.h"

#include "Names.h"
#include "PlannedWork.h"

#include <algorithm>

namespace shallotdrift::internal {

static bool areMembers(const FleetState& state, const std::set<std::string>& gate)
{
    return std::all_of(gate.begin(), gate.end(), [&](const auto& entry) { return state.entries.count(entry) > 0; });
}

// Whether the instance is closing or closed for the operation, as the missing acknowledgements say.
static bool isHeldBy(const FleetState& state, const std::string& id, const std::string& operationId,
    const std::set<std::string>& pendingGates)
{
    auto instance = state.instances.find(id);
    if (instance == state.instances.end() || instance->second.operationId != operationId)
        return false;
    auto expected = pendingGates.empty() ? InstanceStatus::Closed : InstanceStatus::Closing;
    return instance->second.status == expected && areMembers(state, pendingGates);
}

static bool isConsistent(const FleetState& state, const Move& move)
{
    if (hasEnded(move))
        return move.pendingGates.empty();
    bool closing = move.status == MoveStatus::Closing;
    return closing != move.pendingGates.empty() && isHeldBy(state, move.instance, move.id, move.pendingGates)
        && state.configuration.pools.count(move.toPool) > 0;
}

static bool isConsistent(const FleetState& state, const Wave& wave)
{
    return std::all_of(wave.active.begin(), wave.active.end(), [&](const auto& item) {
        const auto& maintenance = item.second;
        return item.first == maintenance.instance
            && isHeldBy(state, item.first, maintenanceId(wave.id, item.first), maintenance.pendingGates);
    });
}

static bool isConsistent(const FleetState& state, const Task& task)
{
    if (task.status == TaskStatus::Placed)
        return !task.instance.empty() && !task.owner.empty() && task.token > 0;
    return hasEnded(task) || (task.instance.empty() && task.owner.empty()) || state.instances.count(task.instance) > 0;
}

static bool hasOperation(const FleetState& state, const Instance& instance)
{
    if (auto move = state.moves.find(instance.operationId); move != state.moves.end())
        return !hasEnded(move->second) && move->second.instance == instance.id;
    if (isDrained(state, instance))
        return true;
    auto wave = state.waves.find(instance.operationId.substr(0, instance.operationId.find('/')));
    return wave != state.waves.end() && wave->second.active.count(instance.id) > 0;
}

static bool isConsistent(const FleetState& state, const Instance& instance)
{
    const auto& pools = state.configuration.pools;
    if (!pools.count(instance.pool) || !pools.count(instance.homePool) || instance.epoch == 0)
        return false;
    if (instance.status == InstanceStatus::Active)
        return instance.operationId.empty();
    return hasOperation(state, instance);
}

template <typename Map> static bool allConsistent(const FleetState& state, const Map& objects)
{
    return std::all_of(
        objects.begin(), objects.end(), [&](const auto& item) { return isConsistent(state, item.second); });
}

std::string findInconsistency(const FoldData& data)
{
    const auto& state = data.state;
    if (!allConsistent(state, state.instances))
        return "an instance does not fit its pool or operation";
    if (!allConsistent(state, state.moves))
        return "a move does not fit its instance";
    if (!allConsistent(state, state.waves))
        return "a wave does not fit its instances";
    if (!allConsistent(state, state.tasks))
        return "a task does not fit its placement";
    bool bounded = data.endedMoves.size() <= maximumEndedMoves && data.endedWaves.size() <= maximumEndedWaves
        && data.endedTasks.size() <= maximumEndedTasks;
    return bounded ? "" : "too many ended operations";
}

} // namespace shallotdrift::internal
