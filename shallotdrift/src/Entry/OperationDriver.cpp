#include "OperationDriver.h"

#include "../Base/Logging.h"
#include "../Policy/WavePlanner.h"
#include "Metrics.h"

#include <fmt/format.h>

namespace shallotdrift {

static constexpr Milliseconds repeatInterval { 3000 };
static constexpr Milliseconds callInterval { 1000 };
static constexpr Milliseconds lendingInterval { 1000 };
static constexpr Milliseconds waveInterval { 500 };

OperationDriver::OperationDriver(CoreContext& context, Proposals& proposals, PeerDirectory& peers, Gate& gate)
    : context_(context)
    , proposals_(proposals)
    , peers_(peers)
    , gate_(gate)
    , duties_(peers)
{
}

void OperationDriver::tick(
    const std::map<std::string, double>& demand, const std::set<std::string>& ownInFlight, Instant now)
{
    if (!context_.member || context_.stopping)
        return acknowledge(ownInFlight, now);
    acknowledge(ownInFlight, now);
    driveMoves(now);
    driveMaintenances(now);
    planLending(demand, now);
    planWaves(now);
}

void OperationDriver::acknowledge(const std::set<std::string>& ownInFlight, Instant now)
{
    if (!context_.member)
        return;
    for (const auto& operation : gate_.acknowledgements(context_.state(), ownInFlight, now)) {
        if (!duties_.mayRepeat("acknowledge " + operation, now, repeatInterval))
            continue;
        proto::Record record;
        record.mutable_close_acknowledged()->set_operation_id(operation);
        record.mutable_close_acknowledged()->set_entry(context_.settings.id);
        record.mutable_close_acknowledged()->set_boot(context_.boot);
        proposals_.propose(std::move(record), "no work of this entry is in flight on the instance");
    }
}

void OperationDriver::call(PlatformCall platformCall, const std::string& subject, Instant now)
{
    if (callsUnderWay_.count(platformCall.operationId) || !duties_.mayAct(subject, now, callInterval))
        return;
    auto operation = platformCall.operationId;
    if (context_.outputs.callPlatform(std::move(platformCall)))
        callsUnderWay_.insert(operation);
}

void OperationDriver::driveMoves(Instant now)
{
    for (const auto& [id, move] : context_.state().moves) {
        if (move.status == MoveStatus::Closed) {
            PlatformCall assign;
            assign.type = PlatformCall::Type::Assign;
            assign.operationId = id;
            assign.instance = move.instance;
            assign.pool = move.toPool;
            assign.epoch = move.epoch + 1;
            call(std::move(assign), "assign " + id, now);
            continue;
        }
        // The fold's time may stand still in an outage, so the age is taken from this entry's clock.
        if (move.status != MoveStatus::Closing)
            continue;
        auto since = duties_.dueSince("closing " + id, now);
        if (now - since < context_.state().configuration.moveTimeout
            || !duties_.mayAct("abort " + id, now, repeatInterval))
            continue;
        proto::Record record;
        record.mutable_move_aborted()->set_move_id(id);
        std::string waiting;
        for (const auto& gate : move.pendingGates)
            waiting += " " + gate;
        proposals_.propose(std::move(record), "not acknowledged in time by:" + waiting);
    }
}

void OperationDriver::driveMaintenances(Instant now)
{
    for (const auto& [id, wave] : context_.state().waves) {
        for (const auto& [instance, maintenance] : wave.active)
            driveMaintenance(wave, maintenance, now);
    }
}

void OperationDriver::driveMaintenance(const Wave& wave, const Maintenance& maintenance, Instant now)
{
    auto operation = wave.id + "/" + maintenance.instance;
    if (!maintenance.pendingGates.empty()) {
        auto age = now - duties_.dueSince("closing " + operation, now);
        if (age >= context_.state().configuration.moveTimeout
            && duties_.mayAct("abort " + operation, now, repeatInterval))
            endMaintenance(wave.id, maintenance.instance, false, "the closing was not acknowledged in time");
        return;
    }
    // A drained instance stays out of service; there is nothing to reboot it for.
    if (wave.keepDrained) {
        if (duties_.mayAct("drained " + operation, now, repeatInterval))
            endMaintenance(wave.id, maintenance.instance, true, "all gate entries have acknowledged");
        return;
    }
    PlatformCall reboot;
    reboot.type = PlatformCall::Type::Reboot;
    reboot.operationId = operation;
    reboot.instance = maintenance.instance;
    reboot.epoch = maintenance.epoch + 1;
    call(std::move(reboot), "reboot " + operation, now);
}

void OperationDriver::endMaintenance(
    const std::string& wave, const std::string& instance, bool completed, const std::string& reason)
{
    proto::Record record;
    record.mutable_maintenance_done()->set_wave_id(wave);
    record.mutable_maintenance_done()->set_instance(instance);
    record.mutable_maintenance_done()->set_completed(completed);
    proposals_.propose(std::move(record), reason);
}

void OperationDriver::callDone(const PlatformCallResult& result, Instant)
{
    const auto& call = result.call;
    callsUnderWay_.erase(call.operationId);
    if (result.code != ResultCode::Ok) {
        logger("operations")
            ->warn("call for {} failed: {} {}", call.operationId, static_cast<unsigned>(result.code), result.message);
        context_.metrics.count("platform_call_failures_total");
        return;
    }
    if (call.type == PlatformCall::Type::Assign) {
        proto::Record record;
        record.mutable_move_granted()->set_move_id(call.operationId);
        proposals_.propose(std::move(record), "the platform rebooted the instance into the pool");
        return;
    }
    auto wave = call.operationId.substr(0, call.operationId.rfind('/'));
    endMaintenance(wave, call.instance, true, "the platform rebooted the instance");
}

void OperationDriver::planLending(const std::map<std::string, double>& demand, Instant now)
{
    if (now < nextLending_)
        return;
    nextLending_ = now + lendingInterval;
    // Every entry runs the planner, so that the next in rank has learned the demand when it takes over.
    auto moves = lending_.plan(context_.state(), demand, peers_.silentZones(now), now);
    if (peers_.rank("lending", now) != 0)
        return;
    for (const auto& planned : moves) {
        auto subject = fmt::format("lend {}/{}", planned.instance, planned.epoch);
        if (!duties_.mayAct(subject, now, repeatInterval))
            continue;
        proto::Record record;
        auto* move = record.mutable_move_proposed();
        move->set_move_id(fmt::format("m-{}-{:x}-{}", context_.settings.id, context_.boot, ++moveNumber_));
        move->set_instance(planned.instance);
        move->set_expected_epoch(planned.epoch);
        move->set_to_pool(planned.toPool);
        proposals_.propose(std::move(record), planned.reason);
    }
}

void OperationDriver::planWaves(Instant now)
{
    if (now < nextWave_)
        return;
    nextWave_ = now + waveInterval;
    for (const auto& planned : planMaintenance(context_.state())) {
        if (!duties_.mayAct("wave " + planned.wave, now, Duration::zero()))
            continue;
        auto subject = fmt::format("maintain {}/{}/{}", planned.wave, planned.instance, planned.epoch);
        if (!duties_.mayRepeat(subject, now, repeatInterval))
            continue;
        proto::Record record;
        auto* start = record.mutable_maintenance_started();
        start->set_wave_id(planned.wave);
        start->set_instance(planned.instance);
        start->set_expected_epoch(planned.epoch);
        proposals_.propose(std::move(record), planned.reason);
    }
}

} // namespace shallotdrift
