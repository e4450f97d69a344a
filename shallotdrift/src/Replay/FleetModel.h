#pragma once

#include "../Policy/LendingPlanner.h"
#include "../Policy/WavePlanner.h"
#include "Trace.h"

#include <memory>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// The fleet's state as the replay changes it through the fold.
class FleetModel {
public:
    virtual ~FleetModel() = default;

    virtual const FleetState& state() const = 0;

    virtual ResultCode proposeMove(const std::string& moveId, const PlannedMove&, Instant now) = 0;
    virtual ResultCode startWave(const std::string& waveId, const TraceEvent&, Instant now) = 0;
    virtual std::vector<PlannedMaintenance> planMaintenance() const = 0;
    virtual ResultCode startMaintenance(const PlannedMaintenance&, Instant now) = 0;
    // All gate entries acknowledge the closing of a move or maintenance.
    virtual void acknowledgeClose(const std::string& operationId, Instant now) = 0;
    virtual void grantMove(const std::string& moveId, Instant now) = 0;
    virtual void abortMove(const std::string& moveId, Instant now) = 0;
    virtual void finishMaintenance(const std::string& waveId, const std::string& instance, bool completed, Instant now)
        = 0;
    virtual void loseInstance(const std::string& instance, Instant now) = 0;
    virtual void observeInstance(const std::string& instance, Instant now) = 0;
    // The entries of a zone stop or start.
    virtual void removeEntries(const std::string& zone, Instant now) = 0;
    virtual void joinEntries(const std::string& zone, Instant now) = 0;
};

std::unique_ptr<FleetModel> makeFleetModel(const Trace&);

} // namespace shallotdrift::internal
