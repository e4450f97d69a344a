#include "ViewLeaseHolder.h"

#include "Closing.h"
#include "RequestNumber.h"

#include <algorithm>
#include <map>

namespace shallotdrift {

// Time for which a gate entry that was asked is sent reports. It covers the longest wait of a gate for a lease.
static constexpr std::chrono::seconds reportTime { 40 };
static constexpr std::chrono::hours longestLease { 1 };

class ViewLeaseHolder::Implementation {
public:
    explicit Implementation(ViewLeaseHolderOptions options)
        : options_(std::move(options))
        , lastNumber_(internal::firstRequestNumber(options_.entry, options_.boot))
    {
    }

    std::vector<proto::PeerMessage> requests(
        const FleetState& state, Offset folded, const std::set<std::string>& inFlight, Instant now)
    {
        member_ = internal::isMember(state, options_.entry, options_.boot);
        std::vector<proto::PeerMessage> messages;
        // Without a boot, answers to a previous process could not be told from answers to this one.
        if (!options_.boot)
            return messages;
        for (auto& [name, view] : viewsOf(state, inFlight)) {
            auto& zone = zones_[name];
            zone.forgetExpired(now);
            for (const auto& gate : gatesToAsk(zone, view, folded, now))
                messages.push_back(request(name, gate, zone, view, folded, now));
        }
        return messages;
    }

    void granted(const std::string& gate, const proto::ViewLease& lease)
    {
        auto zone = zones_.find(lease.zone());
        if (zone == zones_.end())
            return;
        auto asked = zone->second.asked.find(gate);
        if (asked == zone->second.asked.end())
            return;
        auto sent = asked->second.sentAt.find(lease.request_number());
        if (sent == asked->second.sentAt.end())
            return;
        auto duration = std::clamp<Duration>(
            Milliseconds(std::clamp<int64_t>(lease.duration_ms(), 0, Milliseconds(longestLease).count())),
            Duration::zero(), longestLease);
        // Counted from the sending of the request, as the gate's wait starts later, when it grants.
        zone->second.leases.push_back({ lease.gate_offset(), sent->second + duration });
        asked->second.answered = std::max(asked->second.answered, lease.request_number());
        asked->second.sentAt.erase(sent);
        if (zone->second.leases.size() > maximumLeases)
            zone->second.leases.erase(zone->second.leases.begin());
    }

    bool maySend(const std::string& zone, Offset folded, Instant now) const { return now < validUntil(zone, folded); }

    Instant validUntil(const std::string& name, Offset folded) const
    {
        if (member_ && name == options_.zone)
            return Instant::max();
        auto latest = Instant::min();
        auto zone = zones_.find(name);
        if (zone == zones_.end())
            return latest;
        for (const auto& lease : zone->second.leases) {
            if (lease.gateOffset <= folded)
                latest = std::max(latest, lease.until);
        }
        return latest;
    }

private:
    static constexpr size_t maximumLeases = 64; // per zone
    static constexpr size_t maximumUnanswered = 64; // requests per gate entry

    // What the folded state says of a zone.
    struct ZoneView {
        std::vector<std::string> gates;
        std::set<std::string> closing;
        std::set<std::string> busy; // closing, with work in flight

        bool operator!=(const ZoneView& other) const { return closing != other.closing || busy != other.busy; }
    };

    struct Lease {
        Offset gateOffset;
        Instant until;
    };

    struct Asked {
        Instant last;
        uint64_t lastNumber = 0;
        uint64_t answered = 0; // highest request number that was answered
        std::map<uint64_t, Instant> sentAt; // unanswered requests
    };

    struct Zone {
        std::vector<Lease> leases;
        std::map<std::string, Asked> asked;
        std::string preferred; // the gate entry that renews the lease
        Instant lastRound;
        ZoneView reported;

        void forgetExpired(Instant now)
        {
            leases.erase(
                std::remove_if(leases.begin(), leases.end(), [&](const Lease& lease) { return lease.until <= now; }),
                leases.end());
            for (auto gate = asked.begin(); gate != asked.end();)
                gate = now - gate->second.last > reportTime ? asked.erase(gate) : std::next(gate);
        }
    };

    // Zones with instances to which this entry sends under leases, by name. As long as it is no member, for example
    // because it started while the platform is down, its own zone is one of them.
    std::map<std::string, ZoneView> viewsOf(const FleetState& state, const std::set<std::string>& inFlight) const
    {
        std::map<std::string, ZoneView> views;
        for (const auto& [id, instance] : state.instances) {
            if (member_ && instance.zone == options_.zone)
                continue;
            auto& view = views[instance.zone];
            if (instance.status == InstanceStatus::Active)
                continue;
            view.closing.insert(id);
            if (inFlight.count(id))
                view.busy.insert(id);
        }
        for (const auto& [id, entry] : state.entries) {
            if (auto view = views.find(entry.zone); view != views.end() && id != options_.entry)
                view->second.gates.push_back(id);
        }
        // Each holder prefers another order, which spreads the requests over the gate entries.
        for (auto& [name, view] : views) {
            std::sort(view.gates.begin(), view.gates.end(), [&](const std::string& left, const std::string& right) {
                return digestOf(options_.entry + "/" + left) < digestOf(options_.entry + "/" + right);
            });
        }
        return views;
    }

    std::set<std::string> gatesToAsk(Zone& zone, const ZoneView& view, Offset folded, Instant now)
    {
        std::set<std::string> gates;
        bool changed = zone.reported != view;
        auto interval = changed ? options_.reportInterval : options_.renewInterval;
        if (view.gates.empty() || now - zone.lastRound < interval)
            return gates;
        zone.lastRound = now;
        zone.reported = view;
        if (!hasLease(zone, folded, now)) {
            // Any of them may be the one that answers.
            gates.insert(view.gates.begin(), view.gates.end());
        } else {
            gates.insert(choosePreferred(zone, view, now));
        }
        // Gate entries that may have granted earlier wait for a report, which each request carries.
        if (!view.closing.empty()) {
            for (const auto& gate : view.gates) {
                if (zone.asked.count(gate))
                    gates.insert(gate);
            }
        }
        return gates;
    }

    static bool hasLease(const Zone& zone, Offset folded, Instant now)
    {
        return std::any_of(zone.leases.begin(), zone.leases.end(),
            [&](const Lease& lease) { return lease.gateOffset <= folded && now < lease.until; });
    }

    // Keeps to one gate entry as long as it answers, then goes on to the next.
    const std::string& choosePreferred(Zone& zone, const ZoneView& view, Instant now) const
    {
        auto current = std::find(view.gates.begin(), view.gates.end(), zone.preferred);
        if (current == view.gates.end()) {
            current = view.gates.begin();
            // The gate entry whose lease is held is known to answer.
            for (auto gate = view.gates.begin(); gate != view.gates.end(); ++gate) {
                auto asked = zone.asked.find(*gate);
                if (asked != zone.asked.end() && asked->second.answered == asked->second.lastNumber) {
                    current = gate;
                    break;
                }
            }
        } else if (auto asked = zone.asked.find(*current); asked != zone.asked.end()
                   && asked->second.answered < asked->second.lastNumber
                   && now - asked->second.last >= options_.reportInterval) {
            current = std::next(current) == view.gates.end() ? view.gates.begin() : std::next(current);
        }
        zone.preferred = *current;
        return zone.preferred;
    }

    proto::PeerMessage request(const std::string& zoneName, const std::string& gate, Zone& zone, const ZoneView& view,
        Offset folded, Instant now)
    {
        auto& asked = zone.asked[gate];
        asked.last = now;
        asked.lastNumber = ++lastNumber_;
        asked.sentAt[lastNumber_] = now;
        if (asked.sentAt.size() > maximumUnanswered)
            asked.sentAt.erase(asked.sentAt.begin());
        proto::PeerMessage message;
        message.set_receiver(gate);
        auto* body = message.mutable_view_lease_request();
        body->set_zone(zoneName);
        body->set_folded_offset(folded);
        body->set_request_number(lastNumber_);
        for (const auto& instance : view.busy)
            body->add_busy_closing_instances(instance);
        return message;
    }

    const ViewLeaseHolderOptions options_;
    uint64_t lastNumber_;
    bool member_ = false;
    std::map<std::string, Zone> zones_;
};

ViewLeaseHolder::ViewLeaseHolder(ViewLeaseHolderOptions options)
    : implementation_(std::make_unique<Implementation>(std::move(options)))
{
}

ViewLeaseHolder::~ViewLeaseHolder() = default;

std::vector<proto::PeerMessage> ViewLeaseHolder::requests(
    const FleetState& state, Offset folded, const std::set<std::string>& inFlight, Instant now)
{
    return implementation_->requests(state, folded, inFlight, now);
}

void ViewLeaseHolder::granted(const std::string& gateEntry, const proto::ViewLease& lease, Instant)
{
    implementation_->granted(gateEntry, lease);
}

bool ViewLeaseHolder::maySend(const std::string& zone, Offset folded, Instant now) const
{
    return implementation_->maySend(zone, folded, now);
}

Instant ViewLeaseHolder::validUntil(const std::string& zone, Offset folded) const
{
    return implementation_->validUntil(zone, folded);
}

} // namespace shallotdrift
