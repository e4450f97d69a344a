#pragma once

#include "../Policy/SchedulingRules.h"
#include "ReplayReport.h"
#include "Trace.h"

#include <optional>
#include <string>
#include <vector>

namespace shallotdrift {

// Policies that a trace can be replayed with.
struct ReplayPolicy {
    std::string name;
    bool lending = true;
    AdmissionRule admission = AdmissionRule::SharesAndUrgency;
    PlacementRule placement = PlacementRule::ExpectedWait;
};

// ours, static, fifo, least-outstanding
const std::vector<ReplayPolicy>& replayPolicies();
const ReplayPolicy* findReplayPolicy(const std::string& name);

// Replays a trace through the schedulers and the lending planner on a simulated fleet. Equal traces and policies give
// equal reports.
ReplayReport replayTrace(const Trace&, const ReplayPolicy&);

} // namespace shallotdrift
