#pragma once

#include "FleetState.h"
#include "Fold.h"

#include <string>

namespace shallotdrift {

// Availability budget of a pool and the rack on which it has planned work.
struct PoolBudget {
    std::string pool;
    uint32_t instances = 0; // without those that are lost and not under planned work
    uint32_t available = 0;
    uint32_t minimum = 0;
    bool severalRacks = false;
    bool rackBusy = false; // planned work is under way on busyRack
    std::string busyRack;
};

PoolBudget poolBudget(const FleetState&, const std::string& pool);

// Whether planned work may take the instance out of service: Ok, BudgetExceeded or FailureDomainBusy, with the figures.
Verdict checkPlannedWork(const PoolBudget&, const Instance&);

// Counts the instance as taken by planned work.
void takePlannedWork(PoolBudget&, const Instance&);

// A drained instance stays closed until its wave is ended, without further work on it.
bool isDrained(const FleetState&, const Instance&);

} // namespace shallotdrift
