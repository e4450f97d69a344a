#include "FleetDriver.h"

#include <algorithm>
#include <cmath>

namespace shallotdrift::internal {

static constexpr Duration pollInterval = std::chrono::milliseconds(50);
static constexpr Duration waveInterval = std::chrono::milliseconds(500);

static double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

FleetDriver::FleetDriver(
    const Trace& trace, bool lending, EventQueue& queue, SimulatedInstances& instances, ReplayReport& report)
    : trace_(trace)
    , lending_(lending)
    , queue_(queue)
    , instances_(instances)
    , report_(report)
    , model_(makeFleetModel(trace))
{
    queue_.schedule<&FleetDriver::poll>(Instant {}, this);
    queue_.schedule<&FleetDriver::planWaves>(Instant {}, this);
}

bool FleetDriver::busy(const std::string& instance) const
{
    return std::any_of(operations_.begin(), operations_.end(),
        [&instance](const auto& operation) { return operation.second.instance == instance; });
}

void FleetDriver::planLending(const PoolDemands& demands)
{
    if (!lending_)
        return;
    for (auto& planned : planner_.plan(model_->state(), demands, silentZones_, queue_.now())) {
        Operation operation;
        operation.id = "m-" + std::to_string(nextOperation_);
        operation.instance = planned.instance;
        operation.move = std::move(planned);
        operation.isMove = true;
        propose(std::move(operation));
    }
}

void FleetDriver::propose(Operation operation)
{
    if (busy(operation.instance))
        return;
    uint64_t number = nextOperation_++;
    operations_[number] = std::move(operation);
    queue_.schedule<&FleetDriver::foldProposal>(queue_.now() + trace_.environment.appendDelay, this, number);
}

void FleetDriver::foldProposal(uint64_t number, uint64_t)
{
    auto& operation = operations_.at(number);
    std::string pool = model_->state().instances.at(operation.instance).pool;
    auto code = operation.isMove ? model_->proposeMove(operation.id, operation.move, queue_.now())
                                 : model_->startMaintenance(operation.maintenance, queue_.now());
    if (code != ResultCode::Ok) {
        ++report_.proposalsRefused;
        operations_.erase(number);
        return;
    }
    operation.step = Operation::Step::Closing;
    operation.since = queue_.now();
    checkBudget(pool);
    change_();
}

void FleetDriver::checkBudget(const std::string& pool)
{
    const auto& state = model_->state();
    uint32_t available = 0;
    for (const auto& [id, instance] : state.instances)
        available += instance.pool == pool && instance.available() ? 1 : 0;
    if (available < state.configuration.pools.at(pool).minimumAvailable)
        ++report_.budgetViolations;
}

void FleetDriver::poll(uint64_t, uint64_t)
{
    std::vector<uint64_t> numbers;
    for (const auto& [number, operation] : operations_)
        numbers.push_back(number);
    for (uint64_t number : numbers)
        advance(operations_.at(number));
    auto given = operations_.begin();
    while (given != operations_.end())
        given = given->second.id.empty() ? operations_.erase(given) : std::next(given);
    queue_.schedule<&FleetDriver::poll>(queue_.now() + pollInterval, this);
}

void FleetDriver::advance(Operation& operation)
{
    if (operation.step == Operation::Step::Proposed)
        return;
    auto& instance = instances_.at(operation.instance);
    Duration age = queue_.now() - operation.since;
    if (instance.dead && age > trace_.configuration.moveTimeout)
        return giveUp(operation);
    // All entries have seen the closing, and neither they nor the instance have work of it left.
    bool drained = age >= 2 * trace_.environment.viewDelay && !instance.outstanding && !instance.running;
    if (operation.step != Operation::Step::Closing || instance.dead || !drained)
        return;
    operation.step = Operation::Step::Rebooting;
    uint64_t number = 0;
    for (const auto& [key, value] : operations_) {
        if (&value == &operation)
            number = key;
    }
    queue_.schedule<&FleetDriver::startReboot>(queue_.now() + trace_.environment.appendDelay, this, number);
}

void FleetDriver::giveUp(Operation& operation)
{
    if (operation.isMove) {
        model_->abortMove(operation.id, queue_.now());
        ++report_.movesAborted;
    } else {
        model_->finishMaintenance(operation.maintenance.wave, operation.instance, false, queue_.now());
        noteWaveEnds();
    }
    operation.id.clear(); // removed by poll()
    change_();
}

void FleetDriver::startReboot(uint64_t number, uint64_t)
{
    auto position = operations_.find(number);
    if (position == operations_.end())
        return;
    auto& operation = position->second;
    model_->acknowledgeClose(operation.id, queue_.now());
    auto& instance = instances_.at(operation.instance);
    instance.rebooting = true;
    ++instance.life;
    instance.running = 0;
    auto time = operation.isMove ? trace_.environment.rebootTime : trace_.environment.maintenanceTime;
    queue_.schedule<&FleetDriver::finishReboot>(queue_.now() + time, this, number);
}

void FleetDriver::finishReboot(uint64_t number, uint64_t)
{
    auto position = operations_.find(number);
    if (position == operations_.end())
        return;
    auto& operation = position->second;
    auto& instance = instances_.at(operation.instance);
    if (instance.dead) {
        // Ends when the instance is back, unless the operation is given up before.
        queue_.schedule<&FleetDriver::finishReboot>(queue_.now() + pollInterval, this, number);
        return;
    }
    instance.rebooting = false;
    if (operation.isMove) {
        model_->grantMove(operation.id, queue_.now());
        ++report_.moves;
    } else {
        model_->finishMaintenance(operation.maintenance.wave, operation.instance, true, queue_.now());
        noteWaveEnds();
    }
    operations_.erase(position);
    change_();
}

void FleetDriver::planWaves(uint64_t, uint64_t)
{
    noteLosses();
    for (auto& planned : model_->planMaintenance()) {
        Operation operation;
        operation.id = planned.wave + "/" + planned.instance;
        operation.instance = planned.instance;
        operation.maintenance = std::move(planned);
        propose(std::move(operation));
    }
    queue_.schedule<&FleetDriver::planWaves>(queue_.now() + waveInterval, this);
}

bool FleetDriver::selects(const TraceEvent& event, const SimulatedInstance& instance) const
{
    auto matches
        = [](const std::string& selector, const std::string& value) { return selector.empty() || selector == value; };
    return matches(event.zone, instance.zone) && matches(event.rack, instance.rack)
        && matches(event.instance, instance.id)
        && matches(event.pool, model_->state().instances.at(instance.id).homePool);
}

void FleetDriver::apply(const TraceEvent& event)
{
    uint64_t number = events_.size();
    events_.push_back(event);
    if (event.action == TraceEvent::Action::Wave) {
        queue_.schedule<&FleetDriver::foldWave>(queue_.now() + trace_.environment.appendDelay, this, number);
        return;
    }
    for (auto& [id, instance] : instances_) {
        if (!selects(event, instance))
            continue;
        if (event.action == TraceEvent::Action::FailAll || event.action == TraceEvent::Action::Heal)
            instance.failing = event.action == TraceEvent::Action::FailAll;
        if (event.action == TraceEvent::Action::Lose && !instance.dead) {
            instance.dead = true;
            ++instance.life;
            instance.running = 0;
        } else if (event.action == TraceEvent::Action::Restore) {
            instance.dead = false;
            instance.rebooting = false;
        }
    }
    auto recorded = queue_.now() + trace_.environment.listDelay;
    if (event.action == TraceEvent::Action::Lose) {
        if (event.selectsZone())
            silentZones_.insert(event.zone);
        queue_.schedule<&FleetDriver::recordLoss>(recorded, this, number);
    } else if (event.action == TraceEvent::Action::Restore) {
        if (event.selectsZone())
            silentZones_.erase(event.zone);
        queue_.schedule<&FleetDriver::recordReturn>(recorded, this, number);
    }
}

void FleetDriver::recordLoss(uint64_t event, uint64_t)
{
    for (const auto& [id, instance] : instances_) {
        if (instance.dead && selects(events_[event], instance))
            model_->loseInstance(id, queue_.now());
    }
    if (events_[event].selectsZone())
        model_->removeEntries(events_[event].zone, queue_.now());
    change_();
}

void FleetDriver::recordReturn(uint64_t event, uint64_t)
{
    for (const auto& [id, instance] : instances_) {
        if (!instance.dead && selects(events_[event], instance) && model_->state().instances.at(id).lost)
            model_->observeInstance(id, queue_.now());
    }
    if (events_[event].selectsZone())
        model_->joinEntries(events_[event].zone, queue_.now());
    change_();
}

void FleetDriver::foldWave(uint64_t event, uint64_t)
{
    RunningWave wave;
    wave.id = "wave-" + std::to_string(++report_.wavesStarted);
    wave.startedAt = queue_.now();
    if (model_->startWave(wave.id, events_[event], queue_.now()) != ResultCode::Ok)
        return;
    wave.bestSeconds = bestSeconds(wave.id);
    waves_.push_back(std::move(wave));
    change_();
}

void FleetDriver::noteLosses()
{
    std::map<std::string, uint32_t> present; // home instances; lending is a choice and no loss
    for (const auto& [id, instance] : state().instances)
        present[instance.homePool] += instance.lost ? 0 : 1;
    for (auto& wave : waves_) {
        for (auto& [pool, seconds] : wave.bestSeconds) {
            if (present[pool] <= state().configuration.pools.at(pool).minimumAvailable)
                seconds += secondsOf(waveInterval);
        }
    }
}

std::map<std::string, double> FleetDriver::bestSeconds(const std::string& waveId) const
{
    // One rack of a pool after the other, within the budget of the pool's home instances. Each round lasts as long as
    // the maintenance and the expected run time of the work that drains first.
    const auto& state = model_->state();
    const auto& selected = state.waves.at(waveId).pending;
    std::map<std::string, double> best;
    for (const auto& [name, pool] : state.configuration.pools) {
        std::map<std::string, uint32_t> racks;
        uint32_t home = 0;
        for (const auto& [id, instance] : state.instances) {
            home += instance.homePool == name ? 1 : 0;
            if (instance.homePool == name && selected.count(id))
                ++racks[instance.rack];
        }
        if (home <= pool.minimumAvailable || racks.empty())
            continue;
        uint32_t atOnce = home - pool.minimumAvailable;
        uint32_t rounds = 0;
        for (const auto& [rack, count] : racks)
            rounds += (count + atOnce - 1) / atOnce;
        Milliseconds drain { 0 };
        for (const auto& [kindName, kind] : state.configuration.kinds) {
            if (kind.pool == name && !kind.longRunning)
                drain = std::max(drain, kind.expectedRuntime);
        }
        best[name] = rounds * secondsOf(trace_.environment.maintenanceTime + drain);
    }
    return best;
}

void FleetDriver::noteWaveEnds()
{
    for (auto wave = waves_.begin(); wave != waves_.end();) {
        if (model_->state().waves.at(wave->id).status != WaveStatus::Done) {
            ++wave;
            continue;
        }
        ++report_.wavesDone;
        double seconds = secondsOf(queue_.now() - wave->startedAt);
        if (seconds > report_.rolloutSeconds) {
            report_.rolloutSeconds = seconds;
            report_.bestRolloutSeconds = 0;
            for (const auto& [pool, best] : wave->bestSeconds)
                report_.bestRolloutSeconds = std::max(report_.bestRolloutSeconds, best);
        }
        wave = waves_.erase(wave);
    }
}

} // namespace shallotdrift::internal
