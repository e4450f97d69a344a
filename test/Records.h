#pragma once

#include <log.pb.h>

#include <string>

// Short builders of log records. Identity and time are filled in by FoldLog unless the entry itself has to write.
namespace shallotdrift::records {

using proto::Record;
using Text = const std::string&;

// A record that the given entry writes about itself.
inline Record by(Text entry, uint64_t boot)
{
    Record record;
    record.mutable_id()->set_writer(entry);
    record.mutable_id()->set_boot(boot);
    return record;
}

inline Record joined(Text entry, uint64_t boot, Text zone)
{
    auto record = by(entry, boot);
    record.mutable_entry_joined()->set_entry(entry);
    record.mutable_entry_joined()->set_boot(boot);
    record.mutable_entry_joined()->set_zone(zone);
    return record;
}

inline Record left(Text entry, uint64_t boot)
{
    auto record = by(entry, boot);
    record.mutable_entry_left()->set_entry(entry);
    record.mutable_entry_left()->set_boot(boot);
    return record;
}

inline Record removed(Text entry, uint64_t boot, int evidence = proto::EntryRemoved::GONE_FROM_LIST)
{
    Record record;
    record.mutable_entry_removed()->set_entry(entry);
    record.mutable_entry_removed()->set_boot(boot);
    record.mutable_entry_removed()->set_evidence(static_cast<proto::EntryRemoved::Evidence>(evidence));
    return record;
}

inline Record configuration(uint64_t expectedVersion, Text ini, Text author, Text reviewer)
{
    Record record;
    auto& body = *record.mutable_configuration_proposed();
    body.set_expected_version(expectedVersion);
    body.set_ini(ini);
    body.set_author(author);
    body.set_reviewer(reviewer);
    return record;
}

inline Record handbook(Text name, uint64_t expectedVersion, Text ini, Text author)
{
    Record record;
    auto& body = *record.mutable_handbook_proposed();
    body.set_name(name);
    body.set_expected_version(expectedVersion);
    body.set_ini(ini);
    body.set_author(author);
    return record;
}

inline Record review(Text name, uint64_t version, Text reviewer, bool approved)
{
    Record record;
    auto& body = *record.mutable_handbook_reviewed();
    body.set_name(name);
    body.set_version(version);
    body.set_reviewer(reviewer);
    body.set_approved(approved);
    return record;
}

inline Record invocation(Text name, uint64_t version, Text id)
{
    Record record;
    record.mutable_handbook_invoked()->set_name(name);
    record.mutable_handbook_invoked()->set_version(version);
    record.mutable_handbook_invoked()->set_invocation_id(id);
    return record;
}

inline Record observed(Text instance, Text pool, Text zone = "north", Text rack = "rack-1")
{
    Record record;
    auto& body = *record.mutable_instance_observed();
    body.set_instance(instance);
    body.set_address("10.0.0.1:80");
    body.set_zone(zone);
    body.set_rack(rack);
    body.set_pool(pool);
    body.mutable_shape()->set_cores(16);
    body.mutable_shape()->set_memory_mb(65536);
    body.mutable_shape()->set_slots(8);
    return record;
}

inline Record lost(Text instance, uint64_t epoch, bool leaving = false)
{
    Record record;
    record.mutable_instance_lost()->set_instance(instance);
    record.mutable_instance_lost()->set_expected_epoch(epoch);
    record.mutable_instance_lost()->set_leaving(leaving);
    return record;
}

inline Record move(Text id, Text instance, Text pool, uint64_t epoch)
{
    Record record;
    auto& body = *record.mutable_move_proposed();
    body.set_move_id(id);
    body.set_instance(instance);
    body.set_to_pool(pool);
    body.set_expected_epoch(epoch);
    return record;
}

inline Record acknowledged(Text operation, Text entry, uint64_t boot)
{
    auto record = by(entry, boot);
    record.mutable_close_acknowledged()->set_operation_id(operation);
    record.mutable_close_acknowledged()->set_entry(entry);
    record.mutable_close_acknowledged()->set_boot(boot);
    return record;
}

inline Record granted(Text move)
{
    Record record;
    record.mutable_move_granted()->set_move_id(move);
    return record;
}

inline Record aborted(Text move)
{
    Record record;
    record.mutable_move_aborted()->set_move_id(move);
    return record;
}

inline Record wave(Text id, Text pool = "", Text zone = "", bool keepDrained = false, uint32_t maximumParallel = 0)
{
    Record record;
    auto& body = *record.mutable_wave_started();
    body.set_wave_id(id);
    body.set_pool(pool);
    body.set_zone(zone);
    body.set_keep_drained(keepDrained);
    body.set_max_parallel(maximumParallel);
    return record;
}

inline Record waveChange(Text id, int change)
{
    Record record;
    record.mutable_wave_changed()->set_wave_id(id);
    record.mutable_wave_changed()->set_change(static_cast<proto::WaveChanged::Change>(change));
    return record;
}

inline Record maintenance(Text wave, Text instance, uint64_t epoch)
{
    Record record;
    record.mutable_maintenance_started()->set_wave_id(wave);
    record.mutable_maintenance_started()->set_instance(instance);
    record.mutable_maintenance_started()->set_expected_epoch(epoch);
    return record;
}

inline Record maintenanceDone(Text wave, Text instance, bool completed = true)
{
    Record record;
    record.mutable_maintenance_done()->set_wave_id(wave);
    record.mutable_maintenance_done()->set_instance(instance);
    record.mutable_maintenance_done()->set_completed(completed);
    return record;
}

inline Record task(Text id, Text kind = "ledger", uint32_t cores = 4)
{
    Record record;
    record.mutable_task_accepted()->set_task_id(id);
    auto& spec = *record.mutable_task_accepted()->mutable_spec();
    spec.set_kind(kind);
    spec.set_cores(cores);
    spec.set_memory_mb(1024);
    spec.set_input(std::string("\0\xff", 2));
    return record;
}

inline Record placed(Text task, Text instance, uint64_t epoch, uint64_t token, Text owner = "e1")
{
    Record record;
    auto& body = *record.mutable_task_placed();
    body.set_task_id(task);
    body.set_instance(instance);
    body.set_expected_epoch(epoch);
    body.set_expected_token(token);
    body.set_owner(owner);
    return record;
}

inline Record takenOver(Text task, Text owner, uint64_t token)
{
    Record record;
    record.mutable_task_owner()->set_task_id(task);
    record.mutable_task_owner()->set_owner(owner);
    record.mutable_task_owner()->set_expected_token(token);
    return record;
}

inline Record taskEnd(Text task, uint64_t token, int end)
{
    Record record;
    record.mutable_task_ended()->set_task_id(task);
    record.mutable_task_ended()->set_expected_token(token);
    record.mutable_task_ended()->set_end(static_cast<proto::TaskEnded::End>(end));
    return record;
}

inline Record intent(Text key, Text entry, uint64_t boot = 1, uint64_t digest = 5)
{
    auto record = by(entry, boot);
    auto& body = *record.mutable_key_intent();
    body.set_key(key);
    body.set_digest(digest);
    body.set_kind("issue");
    body.set_owner(entry);
    body.set_owner_boot(boot);
    return record;
}

inline Record outcome(Text key, Text entry, uint64_t boot = 1, int result = proto::KeyOutcome::RAN)
{
    auto record = by(entry, boot);
    auto& body = *record.mutable_key_outcome();
    body.set_key(key);
    body.set_owner_boot(boot);
    body.set_outcome(static_cast<proto::KeyOutcome::Outcome>(result));
    body.set_receipt("report 17");
    return record;
}

inline Record withdrawal(Text key, Text entry, uint64_t boot = 1)
{
    auto record = by(entry, boot);
    record.mutable_key_withdrawn()->set_key(key);
    record.mutable_key_withdrawn()->set_owner_boot(boot);
    return record;
}

inline Record writerTime(Text entry, uint64_t boot, int64_t milliseconds)
{
    auto record = by(entry, boot);
    record.set_written_ms(milliseconds);
    record.mutable_writer_time();
    return record;
}

} // namespace shallotdrift::records
