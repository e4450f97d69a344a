#pragma once

#include "OperatorHandler.h"

namespace shallotdrift::internal {

// Plans the steps of a handbook entry on a copy of the state and shows steps, verdicts and budgets without submitting.
proto::RehearseReply rehearse(EntryAccess&, const proto::RehearseRequest&);

} // namespace shallotdrift::internal
