#pragma once

#include "CoreContext.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift {

// What the last heartbeats told about the other entries.
class PeerDirectory {
public:
    struct Peer {
        uint64_t boot = 0;
        std::string zone;
        Instant lastHeard {};
        Offset foldedOffset = 0;
        bool stopping = false;
        std::map<std::string, double> demand; // slots by pool
    };

    explicit PeerDirectory(CoreContext& context)
        : context_(context)
    {
    }

    void heard(const std::string& entry, uint64_t boot, const proto::Heartbeat&, Instant now);
    bool isLive(const std::string& entry, Instant now) const;
    const std::map<std::string, Peer>& peers() const { return peers_; }
    // Live entries, this one included.
    uint32_t liveCount(Instant now) const;
    // Summed demand of the other live entries.
    std::map<std::string, double> otherDemand(Instant now) const;
    // Zones with a gate entry that is not heard from.
    std::set<std::string> silentZones(Instant now) const;

    // Place of this entry among the live members for a subject: 0 acts at once, others after rankDelay each.
    size_t rank(const std::string& subject, Instant now) const;
    // Whether this entry may act on a subject that has been due since the given time.
    bool mayAct(const std::string& subject, Instant dueSince, Instant now) const;

private:
    CoreContext& context_;
    std::map<std::string, Peer> peers_;
};

} // namespace shallotdrift
