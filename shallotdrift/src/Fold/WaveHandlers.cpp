#include "Names.h"
#include "PlannedWork.h"
#include "RecordHandlers.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallotdrift::internal {

// Ends the wave once nothing is left to do. A drain holds its instances until it is aborted.
static void endIfComplete(FoldData& data, Wave& wave)
{
    bool open = wave.status == WaveStatus::Running || wave.status == WaveStatus::Paused;
    if (open && !wave.keepDrained && wave.pending.empty() && wave.active.empty())
        wave.status = WaveStatus::Done;
    if (hasEnded(wave))
        data.endedWaves.add(unixMilliseconds(wave.startedAt), std::string(wave.id), data.state.waves);
}

static Verdict checkSelector(const FleetState& state, const proto::WaveStarted& started)
{
    if (!isValidName(started.wave_id()) || !isShortText(started.invocation_id()))
        return refused(ResultCode::InvalidRecord, "a wave has an id of 1 to 128 bytes without '/'");
    if (state.waves.count(started.wave_id()))
        return refused(ResultCode::DuplicateRecord, "the wave id was used before");
    if (!started.zone().empty() && !state.configuration.zones.count(started.zone()))
        return refused(ResultCode::NotFound, "no zone " + started.zone());
    if (!started.pool().empty() && !state.configuration.pools.count(started.pool()))
        return refused(ResultCode::NotFound, "no pool " + started.pool());
    for (const auto& id : started.instances()) {
        if (!state.instances.count(id))
            return refused(ResultCode::NotFound, "no instance " + id);
    }
    auto open = std::count_if(
        state.waves.begin(), state.waves.end(), [](const auto& item) { return !hasEnded(item.second); });
    if (static_cast<size_t>(open) >= maximumRunningWaves)
        return refused(ResultCode::TooLarge, fmt::format("{} waves are under way", open));
    return accepted();
}

static std::set<std::string> select(const FleetState& state, const proto::WaveStarted& started)
{
    std::set<std::string> named(started.instances().begin(), started.instances().end());
    std::set<std::string> selected;
    for (const auto& [id, instance] : state.instances) {
        bool matches = (started.zone().empty() || instance.zone == started.zone())
            && (started.pool().empty() || instance.pool == started.pool()) && (named.empty() || named.count(id));
        if (matches && !instance.lost)
            selected.insert(selected.end(), id);
    }
    return selected;
}

Verdict foldWaveStarted(FoldData& data, const RecordContext& context)
{
    const auto& started = context.record.wave_started();
    if (auto verdict = checkSelector(data.state, started); verdict.code != ResultCode::Ok)
        return verdict;
    auto selected = select(data.state, started);
    if (selected.empty())
        return refused(ResultCode::NothingToDo, "no instance is selected");
    auto figures = fmt::format("{} instances", selected.size());
    auto& wave = data.state.waves[started.wave_id()];
    wave.id = started.wave_id();
    wave.zone = started.zone();
    wave.pool = started.pool();
    wave.maximumParallel = started.max_parallel();
    wave.pending = std::move(selected);
    wave.startedAt = data.state.foldTime;
    wave.invocationId = started.invocation_id();
    wave.keepDrained = started.keep_drained();
    return accepted(std::move(figures));
}

// Maintenances that are still closing have had no reboot and end at once. Closed ones may be rebooting and end by
// their MaintenanceDone.
static void endClosing(FoldData& data, Wave& wave, Offset offset)
{
    for (auto item = wave.active.begin(); item != wave.active.end();) {
        auto& instance = data.state.instances.at(item->first);
        if (instance.status != InstanceStatus::Closing) {
            ++item;
            continue;
        }
        reopenInstance(instance, offset);
        wave.givenUp.insert(item->first);
        item = wave.active.erase(item);
    }
}

static void reopenDrained(FoldData& data, Wave& wave, Offset offset)
{
    for (const auto& id : wave.done) {
        auto instance = data.state.instances.find(id);
        if (instance != data.state.instances.end() && instance->second.operationId == maintenanceId(wave.id, id))
            reopenInstance(instance->second, offset);
    }
}

static void abortWave(FoldData& data, Wave& wave, Offset offset)
{
    wave.status = WaveStatus::Aborted;
    wave.givenUp.merge(wave.pending);
    wave.pending.clear();
    endClosing(data, wave, offset);
    reopenDrained(data, wave, offset);
    endIfComplete(data, wave);
}

Verdict foldWaveChanged(FoldData& data, const RecordContext& context)
{
    const auto& changed = context.record.wave_changed();
    auto known = data.state.waves.find(changed.wave_id());
    if (known == data.state.waves.end())
        return refused(ResultCode::NotFound);
    auto& wave = known->second;
    auto figures = fmt::format("{} pending, {} active, {} done, {} given up", wave.pending.size(), wave.active.size(),
        wave.done.size(), wave.givenUp.size());
    bool running = wave.status == WaveStatus::Running;
    bool paused = wave.status == WaveStatus::Paused;
    if (changed.change() == proto::WaveChanged::PAUSE && running)
        wave.status = WaveStatus::Paused;
    else if (changed.change() == proto::WaveChanged::RESUME && paused)
        wave.status = WaveStatus::Running;
    else if (changed.change() == proto::WaveChanged::ABORT && (running || paused))
        abortWave(data, wave, context.offset);
    else
        return refused(ResultCode::WrongState, std::move(figures));
    return accepted(std::move(figures));
}

static Verdict checkMaintenance(const FleetState& state, const Wave& wave, const proto::MaintenanceStarted& started)
{
    if (wave.status != WaveStatus::Running)
        return refused(ResultCode::WrongState, "the wave is not running");
    if (!wave.pending.count(started.instance()))
        return refused(ResultCode::NotFound, "the wave does not wait for the instance");
    if (wave.maximumParallel && wave.active.size() >= wave.maximumParallel)
        return refused(ResultCode::BudgetExceeded,
            fmt::format("{} maintenances under way, limit {}", wave.active.size(), wave.maximumParallel));
    return checkTakingOut(state, started.instance(), started.expected_epoch());
}

Verdict foldMaintenanceStarted(FoldData& data, const RecordContext& context)
{
    const auto& started = context.record.maintenance_started();
    auto known = data.state.waves.find(started.wave_id());
    if (known == data.state.waves.end())
        return refused(ResultCode::NotFound);
    auto& wave = known->second;
    auto verdict = checkMaintenance(data.state, wave, started);
    if (verdict.code != ResultCode::Ok)
        return verdict;
    auto& instance = data.state.instances.at(started.instance());
    auto& maintenance = wave.active[instance.id];
    maintenance.instance = instance.id;
    maintenance.pendingGates = gateOf(data.state, instance.zone);
    maintenance.startedOffset = context.offset;
    maintenance.startedAt = data.state.foldTime;
    maintenance.epoch = instance.epoch;
    wave.pending.erase(instance.id);
    closeInstance(instance, maintenanceId(wave.id, instance.id), maintenance.pendingGates.empty(), context.offset);
    return accepted(fmt::format(
        "wave {}; {}; {} acknowledgements missing", wave.id, verdict.figures, maintenance.pendingGates.size()));
}

static void finishMaintenance(FoldData& data, Wave& wave, Instance& instance, bool completed, Offset offset)
{
    wave.active.erase(instance.id);
    (completed ? wave.done : wave.givenUp).insert(instance.id);
    bool staysDrained = completed && wave.keepDrained && wave.status != WaveStatus::Aborted;
    if (staysDrained)
        instance.changedOffset = offset;
    else
        reopenInstance(instance, offset);
    endIfComplete(data, wave);
}

Verdict foldMaintenanceDone(FoldData& data, const RecordContext& context)
{
    const auto& done = context.record.maintenance_done();
    auto known = data.state.waves.find(done.wave_id());
    if (known == data.state.waves.end())
        return refused(ResultCode::NotFound);
    auto& wave = known->second;
    auto active = wave.active.find(done.instance());
    if (active == wave.active.end())
        return refused(ResultCode::NothingToDo, "no maintenance of the instance is under way");
    if (done.completed() && !active->second.pendingGates.empty())
        return refused(
            ResultCode::WrongState, fmt::format("{} acknowledgements missing", active->second.pendingGates.size()));
    auto figures = fmt::format("wave {}: {} pending, {} active", wave.id, wave.pending.size(), wave.active.size() - 1);
    finishMaintenance(data, wave, data.state.instances.at(done.instance()), done.completed(), context.offset);
    giveUpIfLost(data, done.instance());
    return accepted(std::move(figures));
}

void giveUpPending(FoldData& data, const std::string& instance)
{
    // Ending a wave may forget an older one, so the iteration cannot go on over the map itself.
    std::vector<std::string> affected;
    for (const auto& [id, wave] : data.state.waves) {
        if (wave.pending.count(instance))
            affected.push_back(id);
    }
    for (const auto& id : affected) {
        auto& wave = data.state.waves.at(id);
        wave.pending.erase(instance);
        wave.givenUp.insert(instance);
        endIfComplete(data, wave);
    }
}

} // namespace shallotdrift::internal
