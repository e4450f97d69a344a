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
    forgetEnded();
}

bool OperationDriver::mayAct(const std::string& subject, Instant now, Duration interval)
{
    auto due = dueSince_.emplace(subject, now).first->second;
    if (!peers_.mayAct(subject, due, now))
        return false;
    auto last = lastAct_.find(subject);
    if (last != lastAct_.end() && now - last->second < interval)
        return false;
    lastAct_[subject] = now;
    return true;
}

void OperationDriver::acknowledge(const std::set<std::string>& ownInFlight, Instant now)
{
    if (!context_.member)
        return;
    for (const auto& operation : gate_.acknowledgements(context_.state(), ownInFlight, now)) {
        auto subject = "acknowledge " + operation;
        auto last = lastAct_.find(subject);
        if (last != lastAct_.end() && now - last->second < repeatInterval)
            continue;
        lastAct_[subject] = now;
        proto::Record record;
        record.mutable_close_acknowledged()->set_operation_id(operation);
        record.mutable_close_acknowledged()->set_entry(context_.settings.id);
        record.mutable_close_acknowledged()->set_boot(context_.boot);
        proposals_.propose(std::move(record), "no work of this entry is in flight on the instance");
    }
}

void OperationDriver::call(PlatformCall platformCall, const std::string& subject, Instant now)
{
    if (callsUnderWay_.count(platformCall.operationId) || !mayAct(subject, now, callInterval))
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
        auto since = dueSince_.emplace("closing " + id, now).first->second;
        if (now - since < context_.state().configuration.moveTimeout || !mayAct("abort " + id, now, repeatInterval))
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
    for (const auto& [waveId, wave] : context_.state().waves) {
        for (const auto& [instance, maintenance] : wave.active) {
            auto operation = waveId + "/" + instance;
            if (maintenance.pendingGates.empty() && !wave.keepDrained) {
                PlatformCall reboot;
                reboot.type = PlatformCall::Type::Reboot;
                reboot.operationId = operation;
                reboot.instance = instance;
                reboot.epoch = maintenance.epoch + 1;
                call(std::move(reboot), "reboot " + operation, now);
                continue;
            }
            if (maintenance.pendingGates.empty())
                continue;
            auto since = dueSince_.emplace("closing " + operation, now).first->second;
            if (now - since < context_.state().configuration.moveTimeout
                || !mayAct("abort " + operation, now, repeatInterval))
                continue;
            proto::Record record;
            record.mutable_maintenance_done()->set_wave_id(waveId);
            record.mutable_maintenance_done()->set_instance(instance);
            record.mutable_maintenance_done()->set_completed(false);
            proposals_.propose(std::move(record), "the closing was not acknowledged in time");
        }
    }
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
    proto::Record record;
    if (call.type == PlatformCall::Type::Assign) {
        record.mutable_move_granted()->set_move_id(call.operationId);
        proposals_.propose(std::move(record), "the platform rebooted the instance into the pool");
        return;
    }
    auto slash = call.operationId.rfind('/');
    record.mutable_maintenance_done()->set_wave_id(call.operationId.substr(0, slash));
    record.mutable_maintenance_done()->set_instance(call.instance);
    record.mutable_maintenance_done()->set_completed(true);
    proposals_.propose(std::move(record), "the platform rebooted the instance");
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
        if (!mayAct(subject, now, repeatInterval))
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
        if (!mayAct("wave " + planned.wave, now, Duration::zero()))
            continue;
        auto subject = fmt::format("maintain {}/{}/{}", planned.wave, planned.instance, planned.epoch);
        auto last = lastAct_.find(subject);
        if (last != lastAct_.end() && now - last->second < repeatInterval)
            continue;
        lastAct_[subject] = now;
        proto::Record record;
        auto* start = record.mutable_maintenance_started();
        start->set_wave_id(planned.wave);
        start->set_instance(planned.instance);
        start->set_expected_epoch(planned.epoch);
        proposals_.propose(std::move(record), planned.reason);
    }
}

void OperationDriver::forgetEnded()
{
    // Bounds the bookkeeping; subjects that are still due come back with their next tick.
    static constexpr size_t maximumSubjects = 20000;
    if (dueSince_.size() > maximumSubjects)
        dueSince_.clear();
    if (lastAct_.size() > maximumSubjects)
        lastAct_.clear();
}

} // namespace shallotdrift
