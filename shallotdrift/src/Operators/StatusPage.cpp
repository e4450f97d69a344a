#include "StatusPage.h"

#include "PoolFigures.h"

namespace shallotdrift::internal {

static void addPools(const FleetState& state, proto::StatusReply& reply)
{
    for (const auto& [name, figures] : figuresOfPools(state)) {
        auto& pool = *reply.add_pools();
        pool.set_pool(name);
        pool.set_instances(figures.instances);
        pool.set_available(figures.available);
        pool.set_minimum(figures.minimum);
        pool.set_lent_in(figures.lentIn);
        pool.set_lent_out(figures.lentOut);
    }
}

static void addMoves(const FleetState& state, proto::StatusReply& reply)
{
    for (const auto& [id, move] : state.moves) {
        if (move.status != MoveStatus::Closing && move.status != MoveStatus::Closed)
            continue;
        auto& line = *reply.add_moves();
        line.set_move_id(id);
        line.set_instance(move.instance);
        line.set_from_pool(move.fromPool);
        line.set_to_pool(move.toPool);
        line.set_status(move.status == MoveStatus::Closing ? "closing" : "closed");
        for (const auto& gate : move.pendingGates)
            line.add_waiting_for(gate);
    }
}

static void addWaves(const FleetState& state, proto::StatusReply& reply)
{
    for (const auto& [id, wave] : state.waves) {
        if (wave.status != WaveStatus::Running && wave.status != WaveStatus::Paused)
            continue;
        auto& line = *reply.add_waves();
        line.set_wave_id(id);
        line.set_status(wave.status == WaveStatus::Running ? "running" : "paused");
        line.set_pending(static_cast<uint32_t>(wave.pending.size()));
        line.set_active(static_cast<uint32_t>(wave.active.size()));
        line.set_done(static_cast<uint32_t>(wave.done.size()));
        line.set_given_up(static_cast<uint32_t>(wave.givenUp.size()));
    }
}

void fillStatusFromState(const FleetState& state, Offset offset, proto::StatusReply& reply)
{
    reply.set_folded_offset(offset);
    reply.set_configuration_version(state.configurationVersion);
    addPools(state, reply);
    for (const auto& [id, entry] : state.entries) {
        auto& line = *reply.add_entries();
        line.set_entry(id);
        line.set_zone(entry.zone);
        line.set_boot(entry.boot);
        line.set_last_heard_ms(-1);
    }
    addMoves(state, reply);
    addWaves(state, reply);
}

} // namespace shallotdrift::internal
