#include "Core.h"

#include "../Base/Logging.h"
#include "Metrics.h"
#include "SendPermissions.h"

namespace shallotdrift {

static constexpr Milliseconds tickInterval { 10 };
// Leases, acknowledgements and plans look at every instance, which at 730 of them is too much for every tick. View
// lease requests have to be made within 100 ms of a change.
static constexpr Milliseconds dutyInterval { 50 };
// Leases of other zones lapse after seconds, so their instances are looked at again well within that.
static constexpr Milliseconds refreshInterval { 250 };
static constexpr Milliseconds joinInterval { 3000 };
// The fold's time moves with the writers' stamps; keys expire by it.
static constexpr Milliseconds timeStampInterval { 60000 };
static constexpr Milliseconds gaugeInterval { 1000 };
static constexpr Milliseconds leaseRenewInterval { 1000 };
static constexpr double demandWorthSending = 0.01;

static GateOptions gateOptions(const CoreContext& context)
{
    GateOptions options;
    options.entry = context.settings.id;
    options.zone = context.settings.zone;
    options.leaseDuration = context.settings.viewLease;
    options.boot = context.boot;
    return options;
}

Core::Core(
    const EntrySettings& settings, uint64_t boot, CoreOutputs outputs, Metrics& metrics, SendPermissions& permissions)
    : context_ { settings, boot, std::move(outputs), metrics, permissions, {} }
    , proposals_(context_)
    , peers_(context_)
    , gate_(gateOptions(context_))
    , leases_({ settings.id, settings.zone, leaseRenewInterval, boot })
    , requests_(context_, proposals_, peers_)
    , observer_(context_, proposals_, peers_)
    , operations_(context_, proposals_, peers_, gate_)
    , tasks_(context_, proposals_, peers_)
    , keeper_(
          context_, proposals_, peers_, [this](const FoldedRecord& record) { folded(record); },
          [this] { stateReplaced(); })
    , ring_(ringCapacity)
{
}

void Core::run()
{
    while (true) {
        auto event = ring_.popFor(tickInterval);
        Instant now = BootClock::now();
        if (event)
            std::visit([&](auto& item) { handle(std::move(item), now); }, *event);
        else if (ring_.closed())
            return;
        if (now >= nextTick_) {
            nextTick_ = now + tickInterval;
            tick(now);
        }
    }
}

void Core::handle(CallerRequest&& request, Instant now)
{
    if (!keeper_.complete() || !context_.state().configurationVersion) {
        CallerReply reply;
        reply.code = ResultCode::NotReady;
        reply.reason = "the fleet's state is not loaded yet";
        return context_.outputs.reply(request.id, std::move(reply));
    }
    switch (request.type) {
    case CallerRequest::Type::Work:
    case CallerRequest::Type::KeyQuery:
        return requests_.arrived(std::move(request), now);
    case CallerRequest::Type::TaskSubmit:
        return tasks_.submit(request);
    case CallerRequest::Type::TaskQuery:
        return tasks_.query(request);
    case CallerRequest::Type::TaskCancel:
        return tasks_.cancel(request);
    }
}

void Core::handle(CallerCancelled&& cancelled, Instant now) { requests_.callerLeft(cancelled.id, now); }

void Core::handle(AttemptResult&& result, Instant now) { requests_.attemptDone(std::move(result), now); }

void Core::handle(LogPageArrived&& arrived, Instant now)
{
    arrived.readNext.set_value(keeper_.pageArrived(arrived.page, now));
    stateChanged(now);
}

void Core::handle(proto::PeerMessage&& message, Instant now)
{
    const auto& sender = message.sender();
    switch (message.body_case()) {
    case proto::PeerMessage::kHeartbeat:
        return peers_.heard(sender, message.sender_boot(), message.heartbeat(), now);
    case proto::PeerMessage::kViewLeaseRequest: {
        auto lease = gate_.grant(sender, message.view_lease_request(), context_.state(), context_.fold.offset(), now);
        if (!lease)
            return;
        proto::PeerMessage answer;
        answer.set_receiver(sender);
        *answer.mutable_view_lease() = std::move(*lease);
        return context_.outputs.sendPeer(std::move(answer));
    }
    case proto::PeerMessage::kViewLease:
        leases_.granted(sender, message.view_lease(), now);
        return;
    case proto::PeerMessage::kSnapshotRequest:
        return keeper_.snapshotRequested(sender, message.snapshot_request(), now);
    case proto::PeerMessage::kSnapshotPart:
        return keeper_.snapshotPart(message.snapshot_part());
    case proto::PeerMessage::kAnswerRequest:
        return requests_.keyed().answerPeer(sender, message.answer_request());
    case proto::PeerMessage::kAnswerReply:
        return requests_.keyed().peerAnswered(message.answer_reply());
    case proto::PeerMessage::BODY_NOT_SET:
        return;
    }
}

void Core::handle(InstanceList&& list, Instant now)
{
    if (!keeper_.complete() || !context_.state().configurationVersion || left_)
        return;
    observer_.listed(list, now);
    instancesStale_ = true;
}

void Core::handle(TasksListed&& listed, Instant now)
{
    if (context_.member && !context_.stopping)
        tasks_.listed(listed.tasks, now);
}

void Core::handle(PlatformCallResult&& result, Instant now)
{
    bool forTask
        = result.call.type == PlatformCall::Type::StartTask || result.call.type == PlatformCall::Type::CommandTask;
    if (forTask)
        tasks_.callDone(result, now);
    else
        operations_.callDone(result, now);
}

void Core::handle(RunOnCore&& run, Instant) { run.function(); }

void Core::folded(const FoldedRecord& record)
{
    if (record.verdict.code != ResultCode::Ok && record.verdict.code != ResultCode::DuplicateRecord) {
        logger("fold")->debug("record {} of {} refused: {} {}", record.record.id().sequence(),
            record.record.id().writer(), static_cast<unsigned>(record.verdict.code), record.verdict.figures);
    }
    context_.metrics.count(
        "records_folded_total", "code=\"" + std::to_string(static_cast<unsigned>(record.verdict.code)) + "\"");
    if (record.verdict.code != ResultCode::DuplicateRecord)
        proposals_.folded(record);
}

void Core::stateReplaced()
{
    // The configuration comes first: keyed requests that are taken up from the state are scheduled under it.
    stateChanged(BootClock::now());
    requests_.keyed().stateReplaced();
}

void Core::stateChanged(Instant now)
{
    const auto& state = context_.state();
    instancesStale_ = true;
    auto self = state.entries.find(context_.settings.id);
    bool member = !left_ && self != state.entries.end() && self->second.boot == context_.boot;
    if (member != context_.member) {
        context_.member = member;
        logger("core")->info(
            member ? "joined the gate of zone {}" : "left the gate of zone {}", context_.settings.zone);
    }
    if (state.configurationVersion != configurationVersion_) {
        configurationVersion_ = state.configurationVersion;
        logger("core")->info(
            "configuration version {} is in force at offset {}", configurationVersion_, context_.fold.offset());
        requests_.configurationChanged(now);
    }
    auto addresses = context_.settings.peers;
    for (const auto& [id, entry] : state.entries) {
        if (!context_.settings.fixedPeers || !addresses.count(id))
            addresses[id] = entry.peerAddress;
    }
    context_.outputs.setPeers(addresses);
}

void Core::join(Instant now)
{
    if (context_.member || context_.stopping || !keeper_.complete() || now < nextJoin_
        || !context_.outputs.platformReachable())
        return;
    nextJoin_ = now + joinInterval;
    proto::Record record;
    auto* joined = record.mutable_entry_joined();
    joined->set_entry(context_.settings.id);
    joined->set_boot(context_.boot);
    joined->set_zone(context_.settings.zone);
    joined->set_peer_address(context_.settings.peerAddress);
    proposals_.propose(std::move(record), "the process started");
}

void Core::tick(Instant now)
{
    keeper_.tick(now);
    join(now);
    if (instancesStale_ || now >= nextRefresh_)
        refreshInstances(now);
    requests_.tick(now);
    if (now >= nextHeartbeat_)
        heartbeat(now);
    if (now >= nextDuties_)
        runDuties(now);
    if (context_.member && !context_.stopping && now >= nextTimeStamp_) {
        nextTimeStamp_ = now + timeStampInterval;
        proto::Record record;
        record.mutable_writer_time();
        proposals_.propose(std::move(record), "");
    }
    if (now >= nextGauges_) {
        nextGauges_ = now + gaugeInterval;
        updateGauges();
    }
    bool outage = !context_.outputs.platformReachable();
    // A fleet without instances is not ready either: the first list may still be on its way.
    ready_ = keeper_.complete() && context_.state().configurationVersion && !context_.state().instances.empty()
        && (context_.member || outage) && !context_.stopping;
}

void Core::runDuties(Instant now)
{
    nextDuties_ = now + dutyInterval;
    auto inFlight = requests_.inFlightInstances();
    for (auto& message : leases_.requests(context_.state(), context_.fold.offset(), inFlight, now))
        context_.outputs.sendPeer(std::move(message));
    auto demand = peers_.otherDemand(now);
    for (const auto& load : requests_.load(now))
        demand[load.pool] += load.demandSlots;
    operations_.tick(demand, inFlight, now);
    tasks_.tick(requests_.urgentSlots(), now);
}

void Core::refreshInstances(Instant now)
{
    nextRefresh_ = now + refreshInterval;
    instancesStale_ = false;
    std::vector<UsableInstance> usable;
    std::map<std::string, SendPermissions::Permission> permissions;
    auto offset = context_.fold.offset();
    std::map<std::string, bool> zoneAllowed;
    for (const auto& [id, instance] : context_.state().instances) {
        if (!instance.available() || observer_.unfit().count(id) || left_)
            continue;
        auto zone = zoneAllowed.find(instance.zone);
        if (zone == zoneAllowed.end())
            zone = zoneAllowed.emplace(instance.zone, leases_.maySend(instance.zone, offset, now)).first;
        if (!zone->second)
            continue;
        usable.push_back({ id, instance.pool, instance.zone, instance.epoch, instance.shape.slots });
        permissions[id] = { instance.epoch, leases_.validUntil(instance.zone, offset) };
    }
    context_.permissions.replace(std::move(permissions));
    requests_.setInstances(usable, now);
}

void Core::heartbeat(Instant now)
{
    nextHeartbeat_ = now + context_.settings.heartbeatInterval;
    requests_.setPeerDemand(peers_.otherDemand(now), peers_.liveCount(now), now);
    proto::PeerMessage message;
    auto* body = message.mutable_heartbeat();
    body->set_zone(context_.settings.zone);
    body->set_folded_offset(context_.fold.offset());
    body->set_stopping(context_.stopping);
    body->set_platform_reachable(context_.outputs.platformReachable());
    // Pools without demand are left out: 125 pools would otherwise dominate the traffic between entries.
    for (const auto& load : requests_.load(now)) {
        if (load.demandSlots < demandWorthSending)
            continue;
        auto* demand = body->add_demand();
        demand->set_pool(load.pool);
        demand->set_slots(load.demandSlots);
    }
    context_.outputs.sendPeer(std::move(message));
}

void Core::updateGauges()
{
    auto& metrics = context_.metrics;
    metrics.gauge("folded_offset", {}, static_cast<double>(context_.fold.offset()));
    metrics.gauge("configuration_version", {}, static_cast<double>(context_.state().configurationVersion));
    metrics.gauge("open_requests", {}, static_cast<double>(requests_.openRequests()));
    metrics.gauge("pending_proposals", {}, static_cast<double>(proposals_.pending()));
    metrics.gauge("platform_reachable", {}, context_.outputs.platformReachable() ? 1 : 0);
    for (const auto& load : requests_.load(BootClock::now())) {
        metrics.gauge("queued_requests", "pool=\"" + load.pool + "\"", load.queued);
        metrics.gauge("running_requests", "pool=\"" + load.pool + "\"", load.running);
    }
}

void Core::beginStop()
{
    context_.stopping = true;
    gate_.stopGranting();
    ready_ = false;
    logger("core")->info("stopping; {} requests are open", requests_.openRequests());
}

void Core::leave()
{
    bool wasMember = context_.member;
    left_ = true;
    context_.member = false;
    refreshInstances(BootClock::now());
    if (!wasMember)
        return;
    proto::Record record;
    record.mutable_entry_left()->set_entry(context_.settings.id);
    record.mutable_entry_left()->set_boot(context_.boot);
    proposals_.propose(std::move(record), "planned stop");
}

bool Core::idle() const
{
    // Nobody waits for the leases of an entry that is no member, so it leaves only when none is in use.
    return requests_.openRequests() == 0 && requests_.inFlightInstances().empty() && gate_.released(BootClock::now());
}

} // namespace shallotdrift
