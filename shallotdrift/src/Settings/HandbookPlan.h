#pragma once

#include "../Base/Error.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift {

// One step of a handbook entry, read from its section [step N].
struct HandbookStep {
    enum class Action : uint8_t {
        Lend, // lends count instances of fromPool to toPool
        ReturnLent, // ends the loans to pool: the instances go back to the pools that lent them
        Drain, // takes the instances of pool in zone out of service, as far as the pools' budgets allow
        Wave, // restarts the instances of pool in zone, maximumParallel at a time
    };
    Action action = Action::Lend;
    std::string fromPool; // empty: any pool
    std::string toPool;
    std::string pool; // empty: all pools
    std::string zone; // empty: all zones
    uint32_t count = 0;
    uint32_t maximumParallel = 0; // for Drain and Wave; 0: a quarter of the selected instances
};

// Parsed handbook entry.
struct HandbookPlan {
    std::string title;
    std::string whenToUse; // shown to the operator before the entry is invoked
    std::vector<HandbookStep> steps;
};

// Parses and validates a handbook entry. Fails with InvalidHandbook and a message that lists all errors, each with the
// source (the name of the text) and the line number.
Result<HandbookPlan> parseHandbook(std::string_view ini, std::string_view source);

// Returns one error message for each pool of the plan that is not in pools, and for each zone of the plan that is not
// in zones.
std::vector<std::string> unknownPoolsAndZones(
    const HandbookPlan&, const std::set<std::string>& pools, const std::set<std::string>& zones);

} // namespace shallotdrift
