#pragma once

#include "PoolState.h"
#include "SchedulingRules.h"

#include <random>

namespace shallotdrift::internal {

// Strategy for the choice of an instance.
class Placement {
public:
    virtual ~Placement() = default;

    // An instance that can take the work now; null when there is none. Instances on which the work failed are used
    // only when no other is left in the pool.
    virtual std::shared_ptr<TargetInstance> choose(
        const PoolState&, const WorkItem&, Instant now, std::mt19937_64&) const = 0;
};

const Placement& placement(PlacementRule);

} // namespace shallotdrift::internal
