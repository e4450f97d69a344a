#pragma once

#include "../Base/Time.h"
#include "../Fold/FleetState.h"

#include <map>
#include <string>

namespace shallotdrift::internal {

// What the planner has seen of moves: how long they take, and when an instance last changed its pool.
class MoveHistory {
public:
    // To be called with each new state.
    void observe(const FleetState&, Instant now);

    // From the first sight of a move to its grant.
    double moveSeconds() const { return moveSeconds_; }
    // The instance changed its pool longer ago than the time, or was not seen to.
    bool heldFor(const std::string& instance, Duration, Instant now) const;

private:
    struct Seen {
        std::string pool;
        Instant changedAt {};
        bool changed = false;
    };

    std::map<std::string, Seen> instances_;
    std::map<std::string, Instant> moves_; // under way, by id
    double moveSeconds_ = 5; // until a move was seen: drain and reboot take a few seconds
};

} // namespace shallotdrift::internal
