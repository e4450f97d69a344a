#include "Gate.h"

#include "Closing.h"
#include "LeaseRecord.h"
#include "RequestNumber.h"

#include <algorithm>

namespace shallotdrift {

using internal::closingsToAcknowledge;
using internal::LeaseRecord;

// Four times the entries of the design's size, so that a wave of restarts finds places.
static constexpr size_t maximumHolders = 256;

class Gate::Implementation {
public:
    explicit Implementation(GateOptions options)
        : options_(std::move(options))
        , holdTime_(removalDelay(options_))
    {
    }

    std::optional<proto::ViewLease> grant(const std::string& holder, const proto::ViewLeaseRequest& request,
        const FleetState& state, Offset folded, Instant now)
    {
        noteStart(now);
        // A restarted holder is another one: a report of its previous process says nothing about it.
        HolderId id { holder, internal::processOf(request.request_number()) };
        if (auto known = holders_.find(id); known != holders_.end()) {
            std::set<std::string> busy(
                request.busy_closing_instances().begin(), request.busy_closing_instances().end());
            known->second.reported(request.folded_offset(), busy, closingsToAcknowledge(state, options_.entry));
        }
        if (!mayGrant(request, state) || !makeRoom(id, now))
            return std::nullopt;
        auto& record = holders_[id];
        record.forgetExpired(now, holdTime_);
        record.granted(folded, now);
        lastGrant_ = std::max(lastGrant_.value_or(now), now);
        proto::ViewLease lease;
        lease.set_zone(options_.zone);
        lease.set_gate_offset(folded);
        lease.set_request_number(request.request_number());
        lease.set_duration_ms(options_.leaseDuration.count());
        return lease;
    }

    std::vector<std::string> acknowledgements(
        const FleetState& state, const std::set<std::string>& ownInFlight, Instant now)
    {
        noteStart(now);
        std::vector<std::string> allowed;
        // The previous process of this entry may have granted leases until just before this one started.
        if (now - *startedAt_ <= holdTime_ || !internal::isMember(state, options_.entry, options_.boot))
            return allowed;
        std::map<std::string, Instant> stillOpen;
        for (const auto& closing : closingsToAcknowledge(state, options_.entry)) {
            auto returned = returnedAt_.find(closing.operationId);
            if (returned != returnedAt_.end() && now - returned->second < options_.repeatInterval) {
                stillOpen.insert(*returned);
                continue;
            }
            if (ownInFlight.count(closing.instance) || !allHoldersClearOf(closing, now))
                continue;
            stillOpen[closing.operationId] = now;
            allowed.push_back(closing.operationId);
        }
        returnedAt_ = std::move(stillOpen);
        return allowed;
    }

    void stopGranting() { stopped_ = true; }

    bool released(Instant now) const
    {
        // Leases of the previous process of this entry count as well.
        return stopped_ && (!lastGrant_ || now - *lastGrant_ > holdTime_)
            && (!startedAt_ || now - *startedAt_ > holdTime_);
    }

private:
    using HolderId = std::pair<std::string, uint32_t>; // entry and process

    void noteStart(Instant now)
    {
        if (!startedAt_)
            startedAt_ = now;
    }

    // A process that is no member yet is not waited for by the closings that it has not folded, and its previous
    // process may have acknowledged them.
    bool mayGrant(const proto::ViewLeaseRequest& request, const FleetState& state) const
    {
        return !stopped_ && request.zone() == options_.zone && internal::isMember(state, options_.entry, options_.boot);
    }

    bool makeRoom(const HolderId& id, Instant now)
    {
        if (holders_.count(id) || holders_.size() < maximumHolders)
            return true;
        for (auto holder = holders_.begin(); holder != holders_.end();)
            holder = holder->second.expired(now, holdTime_) ? holders_.erase(holder) : std::next(holder);
        return holders_.size() < maximumHolders;
    }

    bool allHoldersClearOf(const internal::Closing& closing, Instant now) const
    {
        return std::all_of(holders_.begin(), holders_.end(),
            [&](const auto& holder) { return holder.second.clearOf(closing, now, holdTime_); });
    }

    const GateOptions options_;
    const Duration holdTime_; // from a grant until its lease and the work sent under it are over
    std::optional<Instant> startedAt_; // time of the first call
    std::optional<Instant> lastGrant_;
    std::map<HolderId, LeaseRecord> holders_;
    std::map<std::string, Instant> returnedAt_; // operations handed out for acknowledgement
    bool stopped_ = false;
};

Gate::Gate(GateOptions options)
    : implementation_(std::make_unique<Implementation>(std::move(options)))
{
}

Gate::~Gate() = default;

std::optional<proto::ViewLease> Gate::grant(const std::string& holder, const proto::ViewLeaseRequest& request,
    const FleetState& state, Offset folded, Instant now)
{
    return implementation_->grant(holder, request, state, folded, now);
}

std::vector<std::string> Gate::acknowledgements(
    const FleetState& state, const std::set<std::string>& ownInFlight, Instant now)
{
    return implementation_->acknowledgements(state, ownInFlight, now);
}

void Gate::stopGranting() { implementation_->stopGranting(); }

bool Gate::released(Instant now) const { return implementation_->released(now); }

Duration Gate::removalDelay(const GateOptions& options)
{
    return options.leaseDuration + options.longestRequest + options.clockMargin;
}

} // namespace shallotdrift
