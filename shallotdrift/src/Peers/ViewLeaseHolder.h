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
    std::string zone; // own zone; needs no lease
    Milliseconds renewInterval { 1000 };
};

// Holder side of the view leases of other zones. No sockets or clocks of its own.
class ViewLeaseHolder {
public:
    explicit ViewLeaseHolder(ViewLeaseHolderOptions);
    ~ViewLeaseHolder();
    ViewLeaseHolder(const ViewLeaseHolder&) = delete;
    ViewLeaseHolder& operator=(const ViewLeaseHolder&) = delete;

    // Requests to send now, addressed to gate entries of other zones (receiver is set). inFlight has the instances on
    // which this entry has work under way.
    std::vector<proto::PeerMessage> requests(
        const FleetState&, Offset folded, const std::set<std::string>& inFlight, Instant now);
    void granted(const std::string& gateEntry, const proto::ViewLease&, Instant now);

    // Whether the entry may send to instances of the zone now: always for its own zone, otherwise under a valid lease.
    bool maySend(const std::string& zone, Offset folded, Instant now) const;
    // When the permission for the zone lapses; Instant::max() for the own zone, Instant::min() without a lease.
    Instant validUntil(const std::string& zone, Offset folded) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
