#include "Closing.h"

#include <fmt/format.h>

namespace shallotdrift::internal {

std::vector<Closing> closingsToAcknowledge(const FleetState& state, const std::string& entry)
{
    std::vector<Closing> closings;
    for (const auto& [id, move] : state.moves) {
        if (move.status == MoveStatus::Closing && move.pendingGates.count(entry))
            closings.push_back({ id, move.instance, move.proposedOffset });
    }
    for (const auto& [id, wave] : state.waves) {
        for (const auto& [instance, maintenance] : wave.active) {
            if (maintenance.pendingGates.count(entry))
                closings.push_back({ fmt::format("{}/{}", id, instance), instance, maintenance.startedOffset });
        }
    }
    return closings;
}

bool isMember(const FleetState& state, const std::string& entry, uint64_t boot)
{
    auto member = state.entries.find(entry);
    return member != state.entries.end() && member->second.boot == boot;
}

} // namespace shallotdrift::internal
