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
        Lend, // lends count instances of one pool (or of any) to another
        ReturnLent, // returns the instances lent to a pool (or to any) to the pools they came from
        Drain, // takes all instances of a zone or pool out of service as the pools' budgets allow
        Wave, // rolling restart of the instances of a zone or pool
    };
    Action action = Action::Lend;
    std::string fromPool;
    std::string toPool;
    std::string pool;
    std::string zone;
    uint32_t count = 0;
    uint32_t maximumParallel = 0; // 0: a quarter of the instances
};

// Parsed handbook entry.
struct HandbookPlan {
    std::string title;
    std::string whenToUse; // shown to the operator before the entry is invoked
    std::vector<HandbookStep> steps;
};

// Parses and validates a handbook entry. Fails with InvalidHandbook and a message that lists all errors, each with the
// source and line.
Result<HandbookPlan> parseHandbook(std::string_view ini, std::string_view source);

// One error message for each pool or zone that the plan names and that is not among those given.
std::vector<std::string> unknownPoolsAndZones(
    const HandbookPlan&, const std::set<std::string>& pools, const std::set<std::string>& zones);

} // namespace shallotdrift
