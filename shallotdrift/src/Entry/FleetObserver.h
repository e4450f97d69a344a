#pragma once

#include "../Platform/PlatformClient.h"
#include "CoreContext.h"
#include "DutyLimiter.h"
#include "PeerDirectory.h"
#include "Proposals.h"

#include <map>
#include <set>
#include <string>

namespace shallotdrift {

// Compares the platform's lagging list with the folded state and proposes what changed: instances seen, lost, leaving
// or back, and entries whose process is gone.
class FleetObserver {
public:
    FleetObserver(CoreContext&, Proposals&, PeerDirectory&);

    void listed(const InstanceList&, Instant now);
    // Instances that the last list shows as leaving or gone; they get no new work, before the log says so.
    const std::set<std::string>& unfit() const { return unfit_; }

private:
    struct Absence {
        Instant since {};
        uint32_t lists = 0;
    };

    void observeTargets(const std::map<std::string, ListedInstance>&, Instant now);
    void observeEntries(const std::map<std::string, ListedInstance>&, Instant now);
    // Whether the instance has been missing long enough, counted in lists as well as in time.
    bool goneFor(const std::string& id, Duration limit, Instant now);
    void proposeSeen(const ListedInstance&, Instant now);
    void proposeLost(const Instance&, bool leaving, Instant now);

    CoreContext& context_;
    Proposals& proposals_;
    PeerDirectory& peers_;
    std::set<std::string> unfit_;
    std::map<std::string, Absence> absences_;
    DutyLimiter duties_;
    std::map<std::string, Instant> memberSince_; // "<entry>/<boot>" to when this process first saw it as a member
};

} // namespace shallotdrift
