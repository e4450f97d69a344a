#pragma once

#include "../Operators/OperatorHandler.h"
#include "Core.h"

namespace shallotdrift {

// Gives the operators' calls access to the decision loop, from gRPC's threads.
class OperatorAccess : public EntryAccess {
public:
    explicit OperatorAccess(Core& core)
        : core_(core)
    {
    }

    void readState(const std::function<void(const FleetState&, Offset)>&) override;
    std::vector<FoldedRecord> submit(std::vector<proto::Record>, Milliseconds timeout) override;
    void fillStatus(proto::StatusReply&) override;
    std::vector<std::string> localFacts(const std::string& subject) override;

private:
    // Runs the function on the core's thread and waits for it. False when the core has stopped.
    bool runOnCore(const std::function<void()>&);

    Core& core_;
};

} // namespace shallotdrift
