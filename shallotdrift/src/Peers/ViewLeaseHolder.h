#pragma once

#include "../Base/Time.h"
#include "../Fold/FleetState.h"

#include <peer.pb.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift {

struct ViewLeaseHolderOptions {
    std::string entry;
    std::string zone; // own zone; a member of its gate needs no lease
    Milliseconds renewInterval { 1000 };
    // Of this process, not 0: the entry is a member once the folded state shows it with this boot.
    uint64_t boot = 0;
    Milliseconds reportInterval { 100 }; // least distance of requests that report changes of closing instances
};

// Holder side of the view leases of other zones. No sockets or clocks of its own.
class ViewLeaseHolder {
public:
    explicit ViewLeaseHolder(ViewLeaseHolderOptions);
    ~ViewLeaseHolder();
    ViewLeaseHolder(const ViewLeaseHolder&) = delete;
    ViewLeaseHolder& operator=(const ViewLeaseHolder&) = delete;

    // Requests to send now, addressed to gate entries of other zones (receiver is set). inFlight has the instances on
    // which this entry has work under way, with the attempts that are handed over but not yet written. Called after
    // every fold, at least every 100 ms.
    std::vector<proto::PeerMessage> requests(
        const FleetState&, Offset folded, const std::set<std::string>& inFlight, Instant now);
    void granted(const std::string& gateEntry, const proto::ViewLease&, Instant now);

    // Whether the entry may send to instances of the zone now: for its own zone while it is a member of the gate,
    // otherwise under a valid lease.
    bool maySend(const std::string& zone, Offset folded, Instant now) const;
    // When the permission for the zone lapses; Instant::max() for a member's own zone, Instant::min() without
    // a lease.
    Instant validUntil(const std::string& zone, Offset folded) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
