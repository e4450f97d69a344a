#pragma once

#include "FleetState.h"

#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift {

// Ids of the member entries in the order in which they take on the duty that the salt names. Equal states give equal
// orders, and different salts spread duties over the entries.
std::vector<std::string> rankEntries(const FleetState&, std::string_view salt);

} // namespace shallotdrift
