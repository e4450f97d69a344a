#pragma once

#include "../Fold/FleetState.h"

#include <operator.pb.h>

namespace shallotdrift::internal {

// Fills in what the folded state knows: pools, entries, and the moves and waves under way.
void fillStatusFromState(const FleetState&, Offset, proto::StatusReply&);

} // namespace shallotdrift::internal
