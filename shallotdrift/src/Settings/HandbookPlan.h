#pragma once

#include "../Base/Error.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift {

// One step of a handbook entry, from a section [step N].
struct HandbookStep {
    enum class Action : uint8_t {
        Lend, // count instances from one pool (or any) to another
        ReturnLent, // lent instances of a pool (or all) go home
        Drain, // all instances of a zone or pool are taken out of service as the budgets allow
        Wave, // the instances of a zone or pool are restarted one after another
    };
    Action action = Action::Lend;
    std::string fromPool;
    std::string toPool;
    std::string pool;
    std::string zone;
    uint32_t count = 0;
    uint32_t maximumParallel = 0;
};

// Parsed text of a handbook entry.
struct HandbookPlan {
    std::string title;
    std::string whenToUse; // shown to the operator before the entry is invoked
    std::vector<HandbookStep> steps;
};

// Parses and checks a handbook entry as a whole; mistakes are reported as for the configuration.
Result<HandbookPlan> parseHandbook(std::string_view ini, std::string_view source);

// Pools and zones that the plan names and the fleet does not have, each as a sentence.
std::vector<std::string> unknownPoolsAndZones(
    const HandbookPlan&, const std::set<std::string>& pools, const std::set<std::string>& zones);

} // namespace shallotdrift
