#include "MoveHistory.h"

namespace shallotdrift::internal {

static constexpr double learningWeight = 0.2; // of the newest move

void MoveHistory::observe(const FleetState& state, Instant now)
{
    for (const auto& [id, instance] : state.instances) {
        auto [position, added] = instances_.try_emplace(id, Seen { instance.pool, now, false });
        auto& seen = position->second;
        if (!added && seen.pool != instance.pool)
            seen = { instance.pool, now, true };
    }
    for (auto seen = instances_.begin(); seen != instances_.end();)
        seen = state.instances.count(seen->first) ? std::next(seen) : instances_.erase(seen);
    for (const auto& [id, move] : state.moves) {
        if (move.status == MoveStatus::Closing || move.status == MoveStatus::Closed)
            moves_.try_emplace(id, now);
    }
    for (auto seen = moves_.begin(); seen != moves_.end();) {
        auto move = state.moves.find(seen->first);
        bool underWay = move != state.moves.end()
            && (move->second.status == MoveStatus::Closing || move->second.status == MoveStatus::Closed);
        if (underWay) {
            ++seen;
            continue;
        }
        if (move != state.moves.end() && move->second.status == MoveStatus::Granted) {
            double seconds = std::chrono::duration<double>(now - seen->second).count();
            moveSeconds_ += learningWeight * (seconds - moveSeconds_);
        }
        seen = moves_.erase(seen);
    }
}

bool MoveHistory::heldFor(const std::string& instance, Duration duration, Instant now) const
{
    auto seen = instances_.find(instance);
    return seen == instances_.end() || !seen->second.changed || now - seen->second.changedAt >= duration;
}

} // namespace shallotdrift::internal
