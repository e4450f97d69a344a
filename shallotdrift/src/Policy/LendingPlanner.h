#pragma once

#include "../Base/Time.h"
#include "../Fold/FleetState.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift {

// Demand of a pool over all entries, in slots.
using PoolDemands = std::map<std::string, double>;

// A move that the planner wants proposed to the log.
struct PlannedMove {
    std::string instance;
    uint64_t epoch = 0;
    std::string toPool;
    std::string reason; // with the figures that led to it
};

// Decides which instances are lent to flooded pools and when they return.
class LendingPlanner {
public:
    LendingPlanner();
    ~LendingPlanner();
    LendingPlanner(const LendingPlanner&) = delete;
    LendingPlanner& operator=(const LendingPlanner&) = delete;

    // To be called about once a second with the summed demand of all entries. Zones in silentZones have a gate entry
    // that is not heard from; moves of their instances would wait, so others are preferred.
    std::vector<PlannedMove> plan(
        const FleetState&, const PoolDemands&, const std::set<std::string>& silentZones, Instant now);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
