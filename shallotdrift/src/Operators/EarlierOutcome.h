#pragma once

#include "../Fold/FleetState.h"
#include "../Settings/HandbookPlan.h"

#include <operator.pb.h>
#include <optional>
#include <string>

namespace shallotdrift::internal {

// What an earlier call with the same change id did, from the moves, waves and audit events that carry the id. Empty
// when there was none, or when it left no trace.
std::optional<proto::ChangeReply> earlierOutcome(const std::string& changeId, const FleetState&);

// Adds the part of a lending step that an earlier call could not carry out; it left no record.
void addRemainder(const HandbookStep&, const std::string& idPrefix, proto::ChangeReply&);

} // namespace shallotdrift::internal
