#pragma once

#include "../Fold/FleetState.h"

#include <string>
#include <vector>

namespace shallotdrift::internal {

// A closing of an instance that an entry has still to acknowledge.
struct Closing {
    std::string operationId;
    std::string instance;
    Offset offset = 0; // of the record that closed the instance
};

std::vector<Closing> closingsToAcknowledge(const FleetState&, const std::string& entry);

// Whether the folded state shows the process as a member of its zone's gate.
bool isMember(const FleetState&, const std::string& entry, uint64_t boot);

} // namespace shallotdrift::internal
