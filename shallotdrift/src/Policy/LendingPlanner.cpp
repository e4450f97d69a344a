#include "LendingPlanner.h"

namespace shallotdrift {

class LendingPlanner::Implementation { };

LendingPlanner::LendingPlanner()
    : implementation_(std::make_unique<Implementation>())
{
}

LendingPlanner::~LendingPlanner() = default;

std::vector<PlannedMove> LendingPlanner::plan(
    const FleetState&, const PoolDemands&, const std::set<std::string>&, Instant)
{
    return {};
}

} // namespace shallotdrift
