#pragma once

#include "FoldTrial.h"

#include <cstdint>
#include <map>
#include <string>

namespace shallotdrift::internal {

// Instances of a pool, as status and rehearsal show them.
struct PoolFigures {
    uint32_t instances = 0;
    uint32_t available = 0;
    uint32_t minimum = 0;
    uint32_t lentIn = 0;
    uint32_t lentOut = 0;

    bool allowsPlannedWork() const { return available > minimum; }
};

// Figures of all pools, by name.
std::map<std::string, PoolFigures> figuresOfPools(const FleetState&);

// Instance that can be lent to the pool next: from the given pool, or when it is empty from any pool that lends, the
// spare pools first. Null when planned work may take none.
const Instance* pickLender(const FleetState&, const std::string& fromPool, const std::string& toPool);

} // namespace shallotdrift::internal
