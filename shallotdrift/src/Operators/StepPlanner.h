#pragma once

#include "../Settings/HandbookPlan.h"
#include "FoldTrial.h"
#include "OperatorChange.h"

#include <optional>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// One step of a change: a record for the log, or the reason why there is none.
struct PlannedStep {
    std::string id; // of the move or wave
    std::string action;
    std::optional<proto::Record> record;
    Verdict expected; // of the record on the planner's copy of the state, or why there is no record

    static PlannedStep refused(std::string action, ResultCode, std::string message);
};

// Turns steps of operators into records. Ids of moves and waves are derived from the change id, so that the fold
// refuses the second copy of a change that was repeated through another entry instance.
class StepPlanner {
public:
    // The records are applied to the trial, so that each step sees what the earlier ones leave. The invocation id is
    // empty for direct calls.
    StepPlanner(FoldTrial&, const OperatorChange&, std::string invocationId);

    std::vector<PlannedStep> plan(const HandbookStep&, const std::string& idPrefix) const;
    // Steps of a handbook entry, in order.
    std::vector<PlannedStep> plan(const HandbookPlan&) const;
    PlannedStep planDrainOfInstances(const std::vector<std::string>& instances) const;

private:
    std::vector<PlannedStep> planLend(const HandbookStep&, const std::string& idPrefix) const;
    std::vector<PlannedStep> planReturn(const HandbookStep&, const std::string& idPrefix) const;
    std::vector<PlannedStep> planDrain(const HandbookStep&, const std::string& id) const;
    std::vector<PlannedStep> planWave(const HandbookStep&, const std::string& id) const;
    PlannedStep planSelection(const HandbookStep&, const std::string& id, bool keepDrained) const;
    PlannedStep move(const std::string& instance, const std::string& toPool, const std::string& id) const;
    PlannedStep tried(PlannedStep) const;

    FoldTrial& trial_;
    const OperatorChange& change_;
    std::string invocationId_;
};

} // namespace shallotdrift::internal
