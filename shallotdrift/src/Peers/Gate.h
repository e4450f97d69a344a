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
    uint64_t boot = 0; // of this process; it grants only once the folded state shows it as a member with this boot
    // Added to every wait for a holder. Clocks of two machines differ in rate by less than 1 in 1,000.
    Milliseconds clockMargin { 100 };
    Milliseconds repeatInterval { 5000 }; // before an operation that is still unacknowledged is returned again
};

// Gate side of the view leases: grants leases for the entry's own zone and decides when it may acknowledge that an
// instance of the zone is closed. No sockets or clocks of its own.
class Gate {
public:
    explicit Gate(GateOptions);
    ~Gate();
    Gate(const Gate&) = delete;
    Gate& operator=(const Gate&) = delete;

    // Answers a request for a lease; empty when it is for another zone or this process may not grant. The time must be
    // read after the request arrived.
    std::optional<proto::ViewLease> grant(
        const std::string& holder, const proto::ViewLeaseRequest&, const FleetState&, Offset folded, Instant now);

    // Operations (move ids, "<wave>/<instance>") that this entry may acknowledge now and has not yet. ownInFlight has
    // the instances on which this entry still has work under way.
    std::vector<std::string> acknowledgements(const FleetState&, const std::set<std::string>& ownInFlight, Instant now);

    // Ends granting for good, for a graceful stop.
    void stopGranting();
    // Whether no holder can still have work in flight under a lease of this process. Asked before EntryLeft is
    // appended, because nobody waits for the leases of an entry that is no member.
    bool released(Instant now) const;
    // How long an entry has to be gone from the platform's list before EntryRemoved is appended for it: until then,
    // the leases that it granted can still be in use.
    static Duration removalDelay(const GateOptions&);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
