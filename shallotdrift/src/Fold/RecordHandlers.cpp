#include "RecordHandlers.h"

#include "Names.h"

#include <array>

namespace shallotdrift::internal {

using proto::Record;

static std::string subject(const char* type, const std::string& name)
{
    return type + (" " + printable(name, maximumNameBytes));
}

// Moves and maintenances are shown under their instance.
static std::string operationSubject(const FleetState& state, const std::string& id)
{
    if (auto move = state.moves.find(id); move != state.moves.end())
        return subject("instance", move->second.instance);
    auto separator = id.find('/');
    return separator == std::string::npos ? subject("move", id) : subject("instance", id.substr(separator + 1));
}

using State = FleetState;
static std::string noSubject(const State&, const Record&) { return {}; }
static std::string configuration(const State&, const Record&) { return "configuration"; }
static std::string joined(const State&, const Record& r) { return subject("entry", r.entry_joined().entry()); }
static std::string left(const State&, const Record& r) { return subject("entry", r.entry_left().entry()); }
static std::string removed(const State&, const Record& r) { return subject("entry", r.entry_removed().entry()); }
static std::string handbook(const State&, const Record& r) { return subject("handbook", r.handbook_proposed().name()); }
static std::string reviewed(const State&, const Record& r) { return subject("handbook", r.handbook_reviewed().name()); }
static std::string invoked(const State&, const Record& r) { return subject("handbook", r.handbook_invoked().name()); }
static std::string observed(const State&, const Record& r)
{
    return subject("instance", r.instance_observed().instance());
}
static std::string lost(const State&, const Record& r) { return subject("instance", r.instance_lost().instance()); }
static std::string moved(const State&, const Record& r) { return subject("instance", r.move_proposed().instance()); }
static std::string closed(const State& state, const Record& r)
{
    return operationSubject(state, r.close_acknowledged().operation_id());
}
static std::string granted(const State& state, const Record& r)
{
    return operationSubject(state, r.move_granted().move_id());
}
static std::string aborted(const State& state, const Record& r)
{
    return operationSubject(state, r.move_aborted().move_id());
}
static std::string waveStarted(const State&, const Record& r) { return subject("wave", r.wave_started().wave_id()); }
static std::string waveChanged(const State&, const Record& r) { return subject("wave", r.wave_changed().wave_id()); }
static std::string started(const State&, const Record& r)
{
    return subject("instance", r.maintenance_started().instance());
}
static std::string done(const State&, const Record& r) { return subject("instance", r.maintenance_done().instance()); }
static std::string taskAccepted(const State&, const Record& r) { return subject("task", r.task_accepted().task_id()); }
static std::string taskPlaced(const State&, const Record& r) { return subject("task", r.task_placed().task_id()); }
static std::string taskOwner(const State&, const Record& r) { return subject("task", r.task_owner().task_id()); }
static std::string taskEnded(const State&, const Record& r) { return subject("task", r.task_ended().task_id()); }

static Verdict foldWithoutEffect(FoldData&, const RecordContext&) { return accepted(); }

struct HandlerEntry {
    Record::BodyCase body;
    RecordHandler handler;
};

// In the order of the body cases, which are consecutive numbers.
static constexpr std::array<HandlerEntry, 26> handlers { {
    { Record::kEntryJoined, { foldEntryJoined, joined, "entry joined", AuditPolicy::Always } },
    { Record::kEntryLeft, { foldEntryLeft, left, "entry left", AuditPolicy::Always } },
    { Record::kEntryRemoved, { foldEntryRemoved, removed, "entry removed", AuditPolicy::AcceptedOnly } },
    { Record::kConfigurationProposed,
        { foldConfigurationProposed, configuration, "configuration proposed", AuditPolicy::Always } },
    { Record::kHandbookProposed, { foldHandbookProposed, handbook, "handbook proposed", AuditPolicy::Always } },
    { Record::kHandbookReviewed, { foldHandbookReviewed, reviewed, "handbook reviewed", AuditPolicy::Always } },
    { Record::kHandbookInvoked, { foldHandbookInvoked, invoked, "handbook invoked", AuditPolicy::Always } },
    { Record::kInstanceObserved, { foldInstanceObserved, observed, "instance observed", AuditPolicy::AcceptedOnly } },
    { Record::kInstanceLost, { foldInstanceLost, lost, "instance lost", AuditPolicy::AcceptedOnly } },
    { Record::kMoveProposed, { foldMoveProposed, moved, "move proposed", AuditPolicy::Always } },
    { Record::kCloseAcknowledged,
        { foldCloseAcknowledged, closed, "closing acknowledged", AuditPolicy::AcceptedOnly } },
    { Record::kMoveGranted, { foldMoveGranted, granted, "move granted", AuditPolicy::AcceptedOnly } },
    { Record::kMoveAborted, { foldMoveAborted, aborted, "move aborted", AuditPolicy::AcceptedOnly } },
    { Record::kWaveStarted, { foldWaveStarted, waveStarted, "wave started", AuditPolicy::Always } },
    { Record::kWaveChanged, { foldWaveChanged, waveChanged, "wave changed", AuditPolicy::Always } },
    { Record::kMaintenanceStarted, { foldMaintenanceStarted, started, "maintenance started", AuditPolicy::Always } },
    { Record::kMaintenanceDone, { foldMaintenanceDone, done, "maintenance done", AuditPolicy::AcceptedOnly } },
    { Record::kTaskAccepted, { foldTaskAccepted, taskAccepted, "task accepted", AuditPolicy::Always } },
    { Record::kTaskPlaced, { foldTaskPlaced, taskPlaced, "task placed", AuditPolicy::Always } },
    { Record::kTaskOwner, { foldTaskOwner, taskOwner, "task owner changed", AuditPolicy::AcceptedOnly } },
    { Record::kTaskEnded, { foldTaskEnded, taskEnded, "task ended", AuditPolicy::Always } },
    { Record::kKeyIntent, { foldKeyIntent, noSubject, "key intended", AuditPolicy::Never } },
    { Record::kKeyOutcome, { foldKeyOutcome, noSubject, "key outcome", AuditPolicy::Never } },
    { Record::kKeyWithdrawn, { foldKeyWithdrawn, noSubject, "key withdrawn", AuditPolicy::Never } },
    { Record::kSnapshotChunk, { foldWithoutEffect, noSubject, "snapshot chunk", AuditPolicy::Never } },
    { Record::kWriterTime, { foldWithoutEffect, noSubject, "writer time", AuditPolicy::Never } },
} };

static constexpr bool isInOrder()
{
    for (size_t i = 0; i < handlers.size(); ++i) {
        if (handlers[i].body != static_cast<int>(Record::kEntryJoined + i))
            return false;
    }
    return true;
}
static_assert(isInOrder(), "the table of record handlers has to list the body cases in order, without gaps");

const RecordHandler* handlerOf(Record::BodyCase body)
{
    auto index = static_cast<size_t>(body) - Record::kEntryJoined;
    return body >= Record::kEntryJoined && index < handlers.size() ? &handlers[index].handler : nullptr;
}

} // namespace shallotdrift::internal
