#include "PeerDirectory.h"

namespace shallotdrift {

// Five heartbeats of 500 ms and some scheduling delay.
static constexpr Milliseconds silenceLimit { 3000 };
// An entry that is first in rank but does not act is followed by the next after this time.
static constexpr Milliseconds rankDelay { 5000 };

void PeerDirectory::heard(const std::string& entry, uint64_t boot, const proto::Heartbeat& heartbeat, Instant now)
{
    auto& peer = peers_[entry];
    peer.boot = boot;
    peer.zone = heartbeat.zone();
    peer.lastHeard = now;
    peer.foldedOffset = heartbeat.folded_offset();
    peer.stopping = heartbeat.stopping();
    peer.demand.clear();
    for (const auto& demand : heartbeat.demand())
        peer.demand[demand.pool()] = demand.slots();
}

bool PeerDirectory::isLive(const std::string& entry, Instant now) const
{
    if (entry == context_.settings.id)
        return true;
    auto position = peers_.find(entry);
    return position != peers_.end() && now - position->second.lastHeard < silenceLimit;
}

uint32_t PeerDirectory::liveCount(Instant now) const
{
    uint32_t count = 1;
    for (const auto& [entry, peer] : peers_)
        count += now - peer.lastHeard < silenceLimit;
    return count;
}

std::map<std::string, double> PeerDirectory::otherDemand(Instant now) const
{
    std::map<std::string, double> sum;
    for (const auto& [entry, peer] : peers_) {
        if (now - peer.lastHeard >= silenceLimit)
            continue;
        for (const auto& [pool, slots] : peer.demand)
            sum[pool] += slots;
    }
    return sum;
}

std::set<std::string> PeerDirectory::silentZones(Instant now) const
{
    std::set<std::string> zones;
    for (const auto& [id, member] : context_.state().entries) {
        if (!isLive(id, now))
            zones.insert(member.zone);
    }
    return zones;
}

size_t PeerDirectory::rank(const std::string& subject, Instant now) const
{
    size_t place = 0;
    for (const auto& entry : rankEntries(context_.state(), subject)) {
        if (entry == context_.settings.id)
            return place;
        auto position = peers_.find(entry);
        if (isLive(entry, now) && !position->second.stopping)
            ++place;
    }
    return place;
}

bool PeerDirectory::mayAct(const std::string& subject, Instant dueSince, Instant now) const
{
    return now >= dueSince + rank(subject, now) * rankDelay;
}

} // namespace shallotdrift
