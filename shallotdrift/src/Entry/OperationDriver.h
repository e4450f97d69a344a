#pragma once

#include "../Peers/Gate.h"
#include "../Policy/LendingPlanner.h"
#include "CoreContext.h"
#include "DutyLimiter.h"
#include "PeerDirectory.h"
#include "Proposals.h"

#include <map>
#include <set>
#include <string>

namespace shallotdrift {

// Carries moves and maintenance waves forward: gate acknowledgements, platform calls, grants, aborts, and the proposals
// of the planners. Every entry runs one; ranks spread the work and the fold judges what two of them propose.
class OperationDriver {
public:
    OperationDriver(CoreContext&, Proposals&, PeerDirectory&, Gate&);

    void tick(const std::map<std::string, double>& demand, const std::set<std::string>& ownInFlight, Instant now);
    void callDone(const PlatformCallResult&, Instant now);

private:
    void acknowledge(const std::set<std::string>& ownInFlight, Instant now);
    void driveMoves(Instant now);
    void driveMaintenances(Instant now);
    void driveMaintenance(const Wave&, const Maintenance&, Instant now);
    void endMaintenance(
        const std::string& wave, const std::string& instance, bool completed, const std::string& reason);
    void planLending(const std::map<std::string, double>& demand, Instant now);
    void planWaves(Instant now);
    void call(PlatformCall, const std::string& subject, Instant now);

    CoreContext& context_;
    Proposals& proposals_;
    PeerDirectory& peers_;
    Gate& gate_;
    LendingPlanner lending_;
    DutyLimiter duties_;
    std::set<std::string> callsUnderWay_;
    Instant nextLending_ {};
    Instant nextWave_ {};
    uint64_t moveNumber_ = 0;
};

} // namespace shallotdrift
