#pragma once

#include "../Base/Time.h"
#include "../Fold/FleetState.h"

#include <peer.pb.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift {

struct GateOptions {
    std::string entry;
    std::string zone;
    Milliseconds leaseDuration { 3000 };
    Milliseconds longestRequest { 30000 };
};

// Gate side of the view leases: grants leases for the entry's own zone and decides when it may acknowledge that an
// instance of the zone is closed. No sockets or clocks of its own.
class Gate {
public:
    explicit Gate(GateOptions);
    ~Gate();
    Gate(const Gate&) = delete;
    Gate& operator=(const Gate&) = delete;

    // Answers a request for a lease; empty when it is for another zone.
    std::optional<proto::ViewLease> grant(
        const std::string& holder, const proto::ViewLeaseRequest&, const FleetState&, Offset folded, Instant now);

    // Operations (move ids, "<wave>/<instance>") that this entry may acknowledge now and has not yet. ownInFlight has
    // the instances on which this entry still has work under way.
    std::vector<std::string> acknowledgements(const FleetState&, const std::set<std::string>& ownInFlight, Instant now);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
