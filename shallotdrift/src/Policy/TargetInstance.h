#pragma once

#include "InstanceHealth.h"
#include "SlotShare.h"

#include <string>

namespace shallotdrift::internal {

// One instance under one epoch. An instance that returns under another epoch is a new object, since its attempts of
// the old epoch are gone after the reboot.
struct TargetInstance {
    std::string id;
    std::string pool;
    uint64_t epoch = 0;
    bool sameZone = false;
    bool usable = false;
    uint32_t inFlight = 0;
    double slowness = 1; // run time relative to the learned mean of the work it ran
    InstanceHealth health;
    SlotShare share;

    bool canTake(Instant now) const
    {
        return inFlight < share.limit(now) && !share.blocked(now) && (!health.ejected() || health.probeDue(now));
    }
};

} // namespace shallotdrift::internal
