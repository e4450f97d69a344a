#include "Names.h"
#include "PlannedWork.h"
#include "RecordHandlers.h"

#include <fmt/format.h>

namespace shallotdrift::internal {

std::set<std::string> gateOf(const FleetState& state, const std::string& zone)
{
    std::set<std::string> gate;
    for (const auto& [id, entry] : state.entries) {
        if (entry.zone == zone)
            gate.insert(gate.end(), id);
    }
    return gate;
}

void closeInstance(Instance& instance, const std::string& operationId, bool gateIsEmpty, Offset offset)
{
    instance.status = gateIsEmpty ? InstanceStatus::Closed : InstanceStatus::Closing;
    instance.operationId = operationId;
    instance.changedOffset = offset;
}

void reopenInstance(Instance& instance, Offset offset)
{
    instance.status = InstanceStatus::Active;
    instance.operationId.clear();
    ++instance.epoch;
    instance.changedOffset = offset;
}

static Verdict checkInstance(const FleetState& state, const Instance& instance, uint64_t expectedEpoch)
{
    if (expectedEpoch != instance.epoch)
        return refused(ResultCode::StaleEpoch, fmt::format("epoch {}, expected {}", instance.epoch, expectedEpoch));
    if (!instance.operationId.empty())
        return refused(ResultCode::Conflict, "held by " + instance.operationId);
    if (!instance.available())
        return refused(ResultCode::WrongState, instance.lost ? "the instance is lost" : "the instance is leaving");
    return checkPlannedWork(poolBudget(state, instance.pool), instance);
}

Verdict checkTakingOut(const FleetState& state, const std::string& id, uint64_t expectedEpoch)
{
    auto instance = state.instances.find(id);
    if (instance == state.instances.end())
        return refused(ResultCode::NotFound, "no instance " + id);
    return checkInstance(state, instance->second, expectedEpoch);
}

static Verdict checkMove(const FleetState& state, const proto::MoveProposed& proposed)
{
    if (!isValidName(proposed.move_id()) || !isShortText(proposed.invocation_id()))
        return refused(ResultCode::InvalidRecord, "a move has an id of 1 to 128 bytes without '/'");
    if (state.moves.count(proposed.move_id()))
        return refused(ResultCode::DuplicateRecord, "the move id was used before");
    if (!state.configuration.pools.count(proposed.to_pool()))
        return refused(ResultCode::NotFound, "no pool " + proposed.to_pool());
    auto instance = state.instances.find(proposed.instance());
    if (instance != state.instances.end() && instance->second.pool == proposed.to_pool()
        && instance->second.epoch == proposed.expected_epoch())
        return refused(ResultCode::NothingToDo, "the instance belongs to the pool");
    return checkTakingOut(state, proposed.instance(), proposed.expected_epoch());
}

Verdict foldMoveProposed(FoldData& data, const RecordContext& context)
{
    const auto& proposed = context.record.move_proposed();
    auto verdict = checkMove(data.state, proposed);
    if (verdict.code != ResultCode::Ok)
        return verdict;
    auto& instance = data.state.instances.at(proposed.instance());
    auto& move = data.state.moves[proposed.move_id()];
    move.id = proposed.move_id();
    move.instance = instance.id;
    move.fromPool = instance.pool;
    move.toPool = proposed.to_pool();
    move.pendingGates = gateOf(data.state, instance.zone);
    move.proposedOffset = context.offset;
    move.proposedAt = data.state.foldTime;
    move.status = move.pendingGates.empty() ? MoveStatus::Closed : MoveStatus::Closing;
    move.epoch = instance.epoch;
    move.invocationId = proposed.invocation_id();
    closeInstance(instance, move.id, move.pendingGates.empty(), context.offset);
    return accepted(fmt::format("move {} to {}; {}; {} acknowledgements missing", move.id, move.toPool, verdict.figures,
        move.pendingGates.size()));
}

// Notes that nothing is expected of the gate entry any more. Returns false when nothing was.
static bool dropGate(FoldData& data, const std::string& instance, std::set<std::string>& pending,
    const std::string& entry, Offset offset)
{
    if (!pending.erase(entry))
        return false;
    if (pending.empty()) {
        auto& closing = data.state.instances.at(instance);
        closing.status = InstanceStatus::Closed;
        closing.changedOffset = offset;
    }
    return true;
}

static bool dropGate(FoldData& data, Move& move, const std::string& entry, Offset offset)
{
    if (move.status != MoveStatus::Closing || !dropGate(data, move.instance, move.pendingGates, entry, offset))
        return false;
    if (move.pendingGates.empty())
        move.status = MoveStatus::Closed;
    return true;
}

void dropPendingGate(FoldData& data, const std::string& entry, Offset offset)
{
    for (auto& [id, move] : data.state.moves)
        dropGate(data, move, entry, offset);
    for (auto& [id, wave] : data.state.waves) {
        for (auto& [instance, maintenance] : wave.active)
            dropGate(data, instance, maintenance.pendingGates, entry, offset);
    }
}

static Maintenance* findMaintenance(FleetState& state, const std::string& operationId)
{
    auto separator = operationId.find('/');
    if (separator == std::string::npos)
        return nullptr;
    auto wave = state.waves.find(operationId.substr(0, separator));
    if (wave == state.waves.end())
        return nullptr;
    auto maintenance = wave->second.active.find(operationId.substr(separator + 1));
    return maintenance == wave->second.active.end() ? nullptr : &maintenance->second;
}

static Verdict dropGate(FoldData& data, const proto::CloseAcknowledged& acknowledged, Offset offset)
{
    bool dropped = false;
    const std::set<std::string>* pending = nullptr;
    if (auto move = data.state.moves.find(acknowledged.operation_id()); move != data.state.moves.end()) {
        dropped = dropGate(data, move->second, acknowledged.entry(), offset);
        pending = &move->second.pendingGates;
    } else if (auto* maintenance = findMaintenance(data.state, acknowledged.operation_id())) {
        dropped = dropGate(data, maintenance->instance, maintenance->pendingGates, acknowledged.entry(), offset);
        pending = &maintenance->pendingGates;
    } else
        return refused(ResultCode::NotFound, "no such operation is under way");
    if (!dropped)
        return refused(ResultCode::NothingToDo, "no acknowledgement is expected of the entry");
    return accepted(fmt::format(
        "{} by {}, {} acknowledgements missing", acknowledged.operation_id(), acknowledged.entry(), pending->size()));
}

Verdict foldCloseAcknowledged(FoldData& data, const RecordContext& context)
{
    const auto& acknowledged = context.record.close_acknowledged();
    if (!writtenBy(context.record, acknowledged.entry(), acknowledged.boot()))
        return refused(ResultCode::InvalidRecord, "an entry acknowledges by its own record");
    auto member = data.state.entries.find(acknowledged.entry());
    if (member == data.state.entries.end() || member->second.boot != acknowledged.boot())
        return refused(ResultCode::StaleEpoch, "the boot is not the member");
    return dropGate(data, acknowledged, context.offset);
}

static void endMove(FoldData& data, Move& move, MoveStatus status)
{
    move.status = status;
    move.pendingGates.clear();
    giveUpIfLost(data, move.instance);
    // The move may be forgotten here, so nothing uses it afterwards.
    data.endedMoves.add(move.proposedOffset, std::string(move.id), data.state.moves);
}

Verdict foldMoveGranted(FoldData& data, const RecordContext& context)
{
    const auto& id = context.record.move_granted().move_id();
    auto known = data.state.moves.find(id);
    if (known == data.state.moves.end())
        return refused(ResultCode::NotFound);
    auto& move = known->second;
    if (move.status != MoveStatus::Closed)
        return refused(hasEnded(move) ? ResultCode::NothingToDo : ResultCode::WrongState,
            fmt::format("{} acknowledgements missing", move.pendingGates.size()));
    auto& instance = data.state.instances.at(move.instance);
    instance.pool = move.toPool;
    reopenInstance(instance, context.offset);
    endMove(data, move, MoveStatus::Granted);
    return accepted(fmt::format("move {}: pool {}, epoch {}", id, instance.pool, instance.epoch));
}

Verdict foldMoveAborted(FoldData& data, const RecordContext& context)
{
    const auto& id = context.record.move_aborted().move_id();
    auto known = data.state.moves.find(id);
    if (known == data.state.moves.end())
        return refused(ResultCode::NotFound);
    auto& move = known->second;
    if (hasEnded(move))
        return refused(ResultCode::NothingToDo, "the move has ended");
    // An entry may be assigning the closed instance to its new pool, so the old pool must not send to it again.
    if (move.status == MoveStatus::Closed)
        return refused(ResultCode::WrongState, "all gate entries have acknowledged; the move can only be granted");
    auto& instance = data.state.instances.at(move.instance);
    reopenInstance(instance, context.offset);
    endMove(data, move, MoveStatus::Aborted);
    return accepted(fmt::format("move {}: pool {}, epoch {}", id, instance.pool, instance.epoch));
}

} // namespace shallotdrift::internal
