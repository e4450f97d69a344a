#pragma once

#include "ChangeRunner.h"

namespace shallotdrift::internal {

// Invokes an approved handbook entry: records the invocation, then plans and submits its steps.
class HandbookInvocation {
public:
    HandbookInvocation(EntryAccess&, Milliseconds timeout);

    proto::ChangeReply run(const proto::InvokeRequest&);

private:
    // The invocation was recorded but its entry instance stopped before it submitted a step.
    static bool wasInterrupted(const std::string& changeId, const FleetState&);
    static std::optional<proto::ChangeReply> outcomeOfInvocation(const std::string& changeId, const FleetState&);
    proto::ChangeReply submitSteps(const OperatorChange&);
    void look(const FleetState&, const proto::InvokeRequest&);

    EntryAccess& entry_;
    ChangeRunner runner_;
    ResultCode refusal_ = ResultCode::Ok;
    std::string refusalMessage_;
    std::string ini_;
    uint64_t version_ = 0;
};

} // namespace shallotdrift::internal
