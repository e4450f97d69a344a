#pragma once

#include "ChangeOutcome.h"
#include "EarlierOutcome.h"
#include "OperatorHandler.h"

#include <functional>
#include <optional>
#include <vector>

namespace shallotdrift::internal {

// Runs a change of an operator: reports the outcome of an earlier call with the same change id, or plans, submits and
// reports the verdicts.
class ChangeRunner {
public:
    // Copies what the plan needs; called while the state cannot change, so it has to be short.
    using Look = std::function<void(const FleetState&)>;
    using Plan = std::function<std::vector<PlannedStep>(const OperatorChange&)>;
    // Outcome of an earlier call with the same change id; empty when there was none.
    using KnownOutcome
        = std::function<std::optional<proto::ChangeReply>(const std::string& changeId, const FleetState&)>;

    ChangeRunner(EntryAccess&, Milliseconds timeout);

    proto::ChangeReply run(
        const proto::Change&, const Look&, const Plan&, const KnownOutcome& knownOutcome = earlierOutcome);
    // Submits the records of the steps and reports every step.
    proto::ChangeReply submit(const std::string& changeId, const std::vector<PlannedStep>&);

private:
    bool isReady();

    EntryAccess& entry_;
    Milliseconds timeout_;
};

} // namespace shallotdrift::internal
