#pragma once

#include "../Settings/FleetConfiguration.h"
#include "AdmissionQueue.h"
#include "CostModel.h"
#include "OfferedLoad.h"
#include "RetryBudget.h"
#include "TargetInstance.h"
#include "UsageWindow.h"

#include <memory>
#include <string>
#include <vector>

namespace shallotdrift::internal {

struct PoolState;

struct KindState {
    explicit KindState(AdmissionQueue::Earlier earlier)
        : queue(earlier)
    {
    }

    KindConfiguration configuration;
    bool configured = true; // false: no longer in the configuration
    PoolState* pool = nullptr;
    AdmissionQueue queue;
    CostModel cost;
    UsageWindow usage;
    OfferedLoad offered;
};

struct TeamState {
    uint32_t quota = 0; // of this entry; 0: no limit
    uint32_t held = 0; // requests that wait for or hold a slot
};

struct PoolState {
    std::string name;
    std::vector<KindState*> kinds; // ordered by name
    std::vector<std::shared_ptr<TargetInstance>> instances; // usable ones, ordered by id
    RetryBudget retries;
    double peerDemand = 0;
    double fraction = 1; // of the slots that belong to this entry
    bool resendableWork = true; // some kind may be sent again

    // Slots of this entry's share.
    uint32_t shareSlots() const;
    // Share, or what is in use where that is more.
    uint32_t effectiveSlots() const;
    uint32_t ejectedCount() const;
    bool hasFreeSlot(Instant now) const;
    double demandSlots(Instant now) const;
    uint32_t running() const;
};

} // namespace shallotdrift::internal
