#pragma once

#include "../Fold/Fold.h"
#include "StepPlanner.h"

#include <string>
#include <vector>

namespace shallotdrift::internal {

// Whether the state already holds what the record asks for, because an earlier copy of the same change was accepted.
bool isInForce(const proto::Record&, const FleetState&);

// Reply to a change of which nothing was submitted.
proto::ChangeReply refusal(const std::string& changeId, ResultCode, const std::string& message);

// Reply to a change with one or more steps. Verdicts belong to the steps that have records, in order; steps without a
// verdict were not taken by the log in time. Steps whose record is in force count as accepted.
proto::ChangeReply outcomeOf(const std::string& changeId, const std::vector<PlannedStep>&,
    const std::vector<FoldedRecord>& verdicts, const FleetState&);

// Text for a verdict: what the code means and the figures that it rests on.
std::string textOf(const Verdict&);

// Sets result code and message of a reply from its steps: accepted when at least one step is.
void summarize(proto::ChangeReply&);

} // namespace shallotdrift::internal
