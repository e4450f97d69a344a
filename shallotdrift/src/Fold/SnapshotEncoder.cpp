#include "SnapshotFormat.h"

namespace shallotdrift::internal {

template <typename Repeated, typename Container> static void copyAll(const Container& from, Repeated* to)
{
    to->Reserve(static_cast<int>(from.size()));
    for (const auto& item : from)
        *to->Add() = item;
}

static void encode(const InstanceShape& shape, proto::InstanceShape& to)
{
    to.set_cores(shape.cores);
    to.set_memory_mb(shape.memoryMegabytes);
    to.set_accelerators(shape.accelerators);
    to.set_slots(shape.slots);
    to.set_connections(shape.connections);
}

static void encodeWriters(const WriterWindows& writers, proto::SnapshotState& to)
{
    for (const auto& [writer, boots] : writers.all()) {
        for (const auto& [boot, window] : boots) {
            auto& item = *to.add_writers();
            item.set_writer(writer);
            item.set_boot(boot);
            item.set_highest_sequence(window.highest);
            copyAll(window.missing, item.mutable_missing_sequences());
            item.set_written_ms(unixMilliseconds(window.writtenAt));
            item.set_last_offset(window.lastOffset);
            item.set_replaced(window.replaced);
        }
    }
}

static void encode(const EntryMember& entry, proto::EntryState& to)
{
    to.set_entry(entry.id);
    to.set_boot(entry.boot);
    to.set_zone(entry.zone);
    to.set_peer_address(entry.peerAddress);
}

static void encode(const HandbookEntry& entry, proto::HandbookState& to)
{
    to.set_name(entry.name);
    to.set_version(entry.version);
    to.set_ini(entry.ini);
    to.set_author(entry.author);
    to.set_reviewer(entry.reviewer);
    to.set_approved(entry.approved);
    to.set_approved_version(entry.approvedVersion);
    to.set_approved_ini(entry.approvedIni);
}

static void encode(const Invocation& invocation, proto::InvocationState& to)
{
    to.set_invocation_id(invocation.id);
    to.set_name(invocation.name);
    to.set_version(invocation.version);
    to.set_operator_name(invocation.operatorName);
    to.set_offset(invocation.offset);
}

static void encode(const Instance& instance, proto::InstanceState& to)
{
    to.set_instance(instance.id);
    to.set_address(instance.address);
    to.set_zone(instance.zone);
    to.set_rack(instance.rack);
    to.set_home_pool(instance.homePool);
    to.set_pool(instance.pool);
    to.set_epoch(instance.epoch);
    to.set_state(static_cast<uint32_t>(instance.status));
    encode(instance.shape, *to.mutable_shape());
    to.set_operation_id(instance.operationId);
    to.set_changed_offset(instance.changedOffset);
    to.set_lost(instance.lost);
    to.set_leaving(instance.leaving);
}

static void encode(const Move& move, proto::MoveState& to)
{
    to.set_move_id(move.id);
    to.set_instance(move.instance);
    to.set_from_pool(move.fromPool);
    to.set_to_pool(move.toPool);
    copyAll(move.pendingGates, to.mutable_pending_gates());
    to.set_proposed_offset(move.proposedOffset);
    to.set_proposed_ms(unixMilliseconds(move.proposedAt));
    to.set_status(static_cast<uint32_t>(move.status));
    to.set_epoch(move.epoch);
    to.set_invocation_id(move.invocationId);
}

static void encode(const Maintenance& maintenance, proto::MaintenanceState& to)
{
    to.set_instance(maintenance.instance);
    copyAll(maintenance.pendingGates, to.mutable_pending_gates());
    to.set_started_offset(maintenance.startedOffset);
    to.set_started_ms(unixMilliseconds(maintenance.startedAt));
    to.set_epoch(maintenance.epoch);
}

static void encode(const Wave& wave, proto::WaveState& to)
{
    to.set_wave_id(wave.id);
    to.set_status(static_cast<uint32_t>(wave.status));
    to.set_zone(wave.zone);
    to.set_pool(wave.pool);
    to.set_max_parallel(wave.maximumParallel);
    copyAll(wave.pending, to.mutable_pending());
    copyAll(wave.done, to.mutable_done());
    copyAll(wave.givenUp, to.mutable_given_up());
    for (const auto& [instance, maintenance] : wave.active)
        encode(maintenance, *to.add_active());
    to.set_started_ms(unixMilliseconds(wave.startedAt));
    to.set_invocation_id(wave.invocationId);
    to.set_keep_drained(wave.keepDrained);
}

static void encode(const Task& task, proto::TaskState& to)
{
    to.set_task_id(task.id);
    auto& spec = *to.mutable_spec();
    spec.set_kind(task.kind);
    spec.set_team(task.team);
    spec.set_cores(task.cores);
    spec.set_memory_mb(task.memoryMegabytes);
    spec.set_accelerators(task.accelerators);
    spec.set_declared_runtime_ms(task.declaredRuntime.count());
    spec.set_input(task.input);
    to.set_status(static_cast<uint32_t>(task.status));
    to.set_instance(task.instance);
    to.set_owner(task.owner);
    to.set_token(task.token);
    copyAll(task.failedInstances, to.mutable_failed_instances());
    to.set_receipt(task.receipt);
    to.set_accepted_ms(unixMilliseconds(task.acceptedAt));
}

static void encode(const std::string& name, const RequestKey& key, proto::KeyState& to)
{
    to.set_key(name);
    to.set_digest(key.digest);
    to.set_kind(key.kind);
    to.set_owner(key.owner);
    to.set_owner_boot(key.ownerBoot);
    to.set_status(static_cast<uint32_t>(key.status));
    to.set_receipt(key.receipt);
}

static void encode(const AuditEvent& event, proto::AuditEvent& to)
{
    to.set_offset(event.offset);
    to.set_place(event.place);
    to.set_written_ms(unixMilliseconds(event.writtenAt));
    to.set_actor(event.actor);
    to.set_subject(event.subject);
    to.set_action(event.action);
    to.set_reason(event.reason);
    to.set_result_code(static_cast<uint32_t>(event.code));
    to.set_figures(event.figures);
}

template <typename Map, typename Repeated> static void encodeMap(const Map& from, Repeated* to)
{
    to->Reserve(static_cast<int>(from.size()));
    for (const auto& [id, value] : from)
        encode(value, *to->Add());
}

static void encodeConfiguration(const FleetState& state, proto::SnapshotState& to)
{
    to.set_configuration_version(state.configurationVersion);
    to.set_configuration_ini(state.configurationIni);
    to.set_configuration_author(state.configurationAuthor);
    to.set_configuration_reviewer(state.configurationReviewer);
}

proto::SnapshotState snapshotFrom(const FoldData& data)
{
    proto::SnapshotState message;
    const auto& state = data.state;
    message.set_format(snapshotFormat);
    message.set_offset(data.offset);
    message.set_fold_time_ms(unixMilliseconds(state.foldTime));
    message.set_key_horizon_ms(unixMilliseconds(data.keyHorizon));
    message.set_epoch_floor(data.epochFloor);
    encodeWriters(data.writers, message);
    encodeConfiguration(state, message);
    encodeMap(state.entries, message.mutable_entries());
    encodeMap(state.handbooks, message.mutable_handbooks());
    encodeMap(state.invocations, message.mutable_invocations());
    encodeMap(state.instances, message.mutable_instances());
    encodeMap(state.moves, message.mutable_moves());
    encodeMap(state.waves, message.mutable_waves());
    encodeMap(state.tasks, message.mutable_tasks());
    for (const auto& [name, key] : state.keys)
        encode(name, key, *message.add_keys());
    for (const auto& event : state.audit)
        encode(event, *message.add_audit());
    return message;
}

} // namespace shallotdrift::internal
