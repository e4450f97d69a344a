#include "FoldInvariants.h"

#include "shallotdrift/Base.h"

#include <fmt/format.h>

namespace shallotdrift {

static constexpr size_t checksumBytes = 8;

proto::SnapshotState messageOf(const std::string& snapshot)
{
    proto::SnapshotState message;
    message.ParseFromString(snapshot.substr(checksumBytes));
    return message;
}

std::string sealed(const proto::SnapshotState& message)
{
    auto body = message.SerializeAsString();
    auto digest = digestOf(body);
    std::string bytes;
    for (size_t i = 0; i < checksumBytes; ++i)
        bytes += static_cast<char>((digest >> (8 * i)) & 0xff);
    return bytes + body;
}

std::string projectionOf(const Fold& fold)
{
    auto message = messageOf(fold.snapshot());
    message.set_offset(0);
    message.set_fold_time_ms(0);
    message.clear_writers();
    message.clear_audit();
    for (auto& instance : *message.mutable_instances())
        instance.clear_changed_offset();
    for (auto& move : *message.mutable_moves())
        move.clear_proposed_offset();
    for (auto& wave : *message.mutable_waves()) {
        for (auto& maintenance : *wave.mutable_active())
            maintenance.clear_started_offset();
    }
    return message.SerializeAsString();
}

static uint32_t minimumOf(const FleetState& state, const std::string& pool)
{
    auto known = state.configuration.pools.find(pool);
    return known == state.configuration.pools.end() ? 0 : known->second.minimumAvailable;
}

static size_t holdersOf(const FleetState& state, const std::string& instance)
{
    size_t holders = 0;
    for (const auto& [id, move] : state.moves)
        holders += move.instance == instance && !hasEnded(move) ? 1 : 0;
    for (const auto& [id, wave] : state.waves)
        holders += wave.active.count(instance);
    return holders;
}

static std::string checkInstance(const FleetState& state, const Instance& instance)
{
    if (!state.configuration.pools.count(instance.pool))
        return fmt::format("{} belongs to no pool", instance.id);
    if (holdersOf(state, instance.id) > 1)
        return fmt::format("{} is held twice", instance.id);
    if ((instance.status == InstanceStatus::Active) != instance.operationId.empty())
        return fmt::format("{} has a status that does not fit its operation", instance.id);
    return {};
}

static std::string checkPoolChange(
    const FleetState& before, const proto::Record& record, const Instance& from, const Instance& to)
{
    if (to.epoch < from.epoch)
        return fmt::format("{} went back to epoch {}", to.id, to.epoch);
    if (to.pool == from.pool)
        return {};
    auto move = before.moves.find(record.move_granted().move_id());
    bool granted = record.has_move_granted() && move != before.moves.end() && move->second.instance == to.id
        && move->second.toPool == to.pool && move->second.status == MoveStatus::Closed && to.epoch > from.epoch;
    return granted ? "" : fmt::format("{} changed its pool without a grant", to.id);
}

static std::string checkTakenOut(
    const FleetState& after, const proto::Record& record, const Instance& from, const Instance& to)
{
    if (from.status != InstanceStatus::Active || to.status == InstanceStatus::Active)
        return {};
    if (!record.has_move_proposed() && !record.has_maintenance_started())
        return fmt::format("{} went out of service without planned work", to.id);
    if (availableInPool(after, to.pool) < minimumOf(after, to.pool))
        return fmt::format("planned work took pool {} below its minimum", to.pool);
    return {};
}

static std::string checkInstances(const FleetState& before, const proto::Record& record, const FleetState& after)
{
    for (const auto& [id, to] : after.instances) {
        auto violation = checkInstance(after, to);
        auto from = before.instances.find(id);
        if (violation.empty() && from != before.instances.end())
            violation = checkPoolChange(before, record, from->second, to);
        if (violation.empty() && from != before.instances.end())
            violation = checkTakenOut(after, record, from->second, to);
        if (!violation.empty())
            return violation;
    }
    return {};
}

static std::string checkKeys(const FleetState& before, const FleetState& after)
{
    for (const auto& [name, to] : after.keys) {
        auto known = before.keys.find(name);
        if (known == before.keys.end())
            continue;
        const auto& from = known->second;
        if (from.owner != to.owner || from.ownerBoot != to.ownerBoot || from.digest != to.digest)
            return "key " + name + " changed its owner";
        bool final = from.status == KeyStatus::Ran || from.status == KeyStatus::RanAndFailed;
        if (final && to.status != from.status)
            return "key " + name + " lost its outcome";
    }
    return {};
}

std::string findViolation(
    const FleetState& before, const proto::Record& record, const Verdict& verdict, const FleetState& after)
{
    if (after.configurationVersion < before.configurationVersion
        || after.configurationVersion > before.configurationVersion + 1)
        return "the configuration version jumped";
    if (verdict.code != ResultCode::Ok && after.configurationVersion != before.configurationVersion)
        return "a refused record changed the configuration";
    if (auto violation = checkInstances(before, record, after); !violation.empty())
        return violation;
    return checkKeys(before, after);
}

void FoldWitness::entryEnded(const std::string& entry)
{
    for (auto& [operation, entries] : owed_)
        entries.erase(entry);
}

static std::set<std::string> membersOf(const FleetState& state, const std::string& instance)
{
    std::set<std::string> members;
    for (const auto& [id, entry] : state.entries) {
        if (entry.zone == state.instances.at(instance).zone)
            members.insert(id);
    }
    return members;
}

std::string FoldWitness::observe(const FleetState& after, const proto::Record& record, const Verdict& verdict)
{
    if (verdict.code != ResultCode::Ok)
        return {};
    if (record.has_move_proposed())
        owed_[record.move_proposed().move_id()] = membersOf(after, record.move_proposed().instance());
    if (record.has_maintenance_started()) {
        const auto& started = record.maintenance_started();
        owed_[started.wave_id() + "/" + started.instance()] = membersOf(after, started.instance());
    }
    if (record.has_close_acknowledged())
        owed_[record.close_acknowledged().operation_id()].erase(record.close_acknowledged().entry());
    if (record.has_entry_removed())
        entryEnded(record.entry_removed().entry());
    if (record.has_entry_left())
        entryEnded(record.entry_left().entry());
    if (record.has_move_granted() && !owed_[record.move_granted().move_id()].empty())
        return "a move was granted before its gate had acknowledged";
    const auto& done = record.maintenance_done();
    if (record.has_maintenance_done() && done.completed() && !owed_[done.wave_id() + "/" + done.instance()].empty())
        return "a maintenance was completed before its gate had acknowledged";
    if (record.has_key_withdrawn())
        keyOwners_.erase(record.key_withdrawn().key());
    if (record.has_key_outcome())
        finishedKeys_.insert(record.key_outcome().key());
    if (!record.has_key_intent())
        return {};
    const auto& intent = record.key_intent();
    if (finishedKeys_.count(intent.key()))
        return "a key with an outcome got an owner";
    bool first = keyOwners_.emplace(intent.key(), fmt::format("{}/{}", intent.owner(), intent.owner_boot())).second;
    return first ? "" : "a key has two owners at a time";
}

std::string FoldWitness::text() const
{
    std::string text;
    for (const auto& [operation, entries] : owed_) {
        text.append(operation).append(":");
        for (const auto& entry : entries)
            text.append(entry).append(",");
    }
    for (const auto& [key, owner] : keyOwners_)
        text.append(key).append("=").append(owner).append(";");
    for (const auto& key : finishedKeys_)
        text.append(key).append("!");
    return text;
}

} // namespace shallotdrift
