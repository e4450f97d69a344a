#include "FleetObserver.h"

#include "../Peers/Gate.h"

#include <fmt/format.h>

namespace shallotdrift {

// A target that is missing from two lists in a row counts as lost.
static constexpr Milliseconds targetAbsence { 500 };
// An entry is removed only after the list's lag, assumed below 10 s, cannot explain its absence. Removing a running
// entry from its gate would let its instances be moved while it still sends to them.
static constexpr Milliseconds listLag { 10000 };
static constexpr Milliseconds entrySettling { 30000 };
static constexpr uint32_t minimumAbsentLists = 2;
// A proposal that has not taken effect is repeated after this time.
static constexpr Milliseconds repeatInterval { 3000 };

// The leases that the entry granted must have lapsed too, since nobody waits for them once it is removed.
static Duration entryAbsence(const EntrySettings& settings)
{
    GateOptions options;
    options.leaseDuration = settings.viewLease;
    return std::max<Duration>(listLag, Gate::removalDelay(options));
}

FleetObserver::FleetObserver(CoreContext& context, Proposals& proposals, PeerDirectory& peers)
    : context_(context)
    , proposals_(proposals)
    , peers_(peers)
    , duties_(peers)
{
}

void FleetObserver::listed(const InstanceList& list, Instant now)
{
    std::map<std::string, ListedInstance> targets;
    std::map<std::string, ListedInstance> entries;
    for (const auto& instance : list.instances)
        (instance.role == ListedInstance::Role::Entry ? entries : targets).emplace(instance.id, instance);
    observeTargets(targets, now);
    observeEntries(entries, now);
}

bool FleetObserver::goneFor(const std::string& id, Duration limit, Instant now)
{
    auto& absence = absences_[id];
    if (!absence.lists++)
        absence.since = now;
    return absence.lists >= minimumAbsentLists && now - absence.since >= limit;
}

void FleetObserver::observeTargets(const std::map<std::string, ListedInstance>& targets, Instant now)
{
    unfit_.clear();
    for (const auto& [id, listed] : targets) {
        absences_.erase(id);
        auto known = context_.state().instances.find(id);
        bool isKnown = known != context_.state().instances.end();
        if (listed.leaving) {
            unfit_.insert(id);
            if (isKnown && !known->second.leaving && !known->second.lost)
                proposeLost(known->second, true, now);
            continue;
        }
        if (!isKnown || known->second.lost || known->second.leaving || known->second.address != listed.address)
            proposeSeen(listed, now);
        else
            duties_.settled("instance " + id);
    }
    for (const auto& [id, instance] : context_.state().instances) {
        if (targets.count(id) || instance.lost)
            continue;
        unfit_.insert(id);
        if (goneFor(id, targetAbsence, now))
            proposeLost(instance, false, now);
    }
}

void FleetObserver::proposeSeen(const ListedInstance& listed, Instant now)
{
    if (!duties_.mayAct("instance " + listed.id, now, repeatInterval))
        return;
    proto::Record record;
    auto* seen = record.mutable_instance_observed();
    seen->set_instance(listed.id);
    seen->set_address(listed.address);
    seen->set_zone(listed.zone);
    seen->set_rack(listed.rack);
    seen->set_pool(listed.pool);
    seen->mutable_shape()->set_cores(listed.shape.cores);
    seen->mutable_shape()->set_memory_mb(listed.shape.memoryMegabytes);
    seen->mutable_shape()->set_accelerators(listed.shape.accelerators);
    seen->mutable_shape()->set_slots(listed.shape.slots);
    seen->mutable_shape()->set_connections(listed.shape.connections);
    proposals_.propose(std::move(record), "the platform's list shows the instance");
}

void FleetObserver::proposeLost(const Instance& instance, bool leaving, Instant now)
{
    if (!duties_.mayAct("instance " + instance.id, now, repeatInterval))
        return;
    proto::Record record;
    record.mutable_instance_lost()->set_instance(instance.id);
    record.mutable_instance_lost()->set_expected_epoch(instance.epoch);
    record.mutable_instance_lost()->set_leaving(leaving);
    proposals_.propose(std::move(record),
        leaving ? "the platform's list shows the instance as leaving"
                : "the platform's list no longer shows the instance");
}

void FleetObserver::observeEntries(const std::map<std::string, ListedInstance>& entries, Instant now)
{
    for (const auto& [id, member] : context_.state().entries) {
        auto since = memberSince_.emplace(fmt::format("{}/{}", id, member.boot), now).first->second;
        if (entries.count(id)) {
            absences_.erase(id);
            continue;
        }
        if (id == context_.settings.id || peers_.isLive(id, now))
            continue;
        if (!goneFor(id, entryAbsence(context_.settings), now) || now - since < entrySettling)
            continue;
        if (!duties_.mayAct(fmt::format("entry {}/{}", id, member.boot), now, repeatInterval))
            continue;
        proto::Record record;
        record.mutable_entry_removed()->set_entry(id);
        record.mutable_entry_removed()->set_boot(member.boot);
        record.mutable_entry_removed()->set_evidence(proto::EntryRemoved::GONE_FROM_LIST);
        proposals_.propose(std::move(record), "the platform's list no longer shows the entry");
    }
}

} // namespace shallotdrift
