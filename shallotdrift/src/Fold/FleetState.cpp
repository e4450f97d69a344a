#include "FleetState.h"

#include <algorithm>

namespace shallotdrift {

bool hasEnded(const Move& move) { return move.status == MoveStatus::Granted || move.status == MoveStatus::Aborted; }

bool hasEnded(const Wave& wave)
{
    return (wave.status == WaveStatus::Aborted || wave.status == WaveStatus::Done) && wave.active.empty();
}

bool hasEnded(const Task& task) { return task.status != TaskStatus::Waiting && task.status != TaskStatus::Placed; }

uint32_t availableInPool(const FleetState& state, const std::string& pool)
{
    return static_cast<uint32_t>(std::count_if(state.instances.begin(), state.instances.end(),
        [&](const auto& item) { return item.second.pool == pool && item.second.available(); }));
}

} // namespace shallotdrift
