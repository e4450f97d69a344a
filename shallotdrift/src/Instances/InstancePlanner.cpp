#include "InstancePlanner.h"

#include <algorithm>
#include <cmath>

namespace shallotdrift {

InstancePlanner::InstancePlanner(const PlannerOptions& options)
    : options_(options)
{
}

void InstancePlanner::setInstances(std::vector<FleetInstance> instances)
{
    instances_.clear();
    for (auto& instance : instances) {
        auto id = instance.id;
        instances_.emplace(std::move(id), std::move(instance));
    }
}

void InstancePlanner::setReport(PoolReport report)
{
    auto service = report.service;
    poolStates_[service].report = std::move(report);
}

void InstancePlanner::addWave(const MaintenanceWave& wave)
{
    auto& known = waves_[wave.number];
    if (known.request.number == 0)
        known.request = wave;
}

void InstancePlanner::restoreMaintained(uint64_t wave, const std::set<std::string>& instances)
{
    waves_[wave].maintained.insert(instances.begin(), instances.end());
}

const std::set<std::string>& InstancePlanner::maintainedInstances(uint64_t wave) const
{
    static const std::set<std::string> none;
    auto found = waves_.find(wave);
    return found == waves_.end() ? none : found->second.maintained;
}

std::vector<InstancePlanner::PoolView> InstancePlanner::poolViews() const
{
    std::vector<PoolView> views;
    for (const auto& [name, pool] : poolStates_)
        views.push_back({ name, pool.size, pool.desiredSize, pool.minimumSize, pool.report });
    return views;
}

std::vector<InstancePlanner::WaveView> InstancePlanner::waves() const
{
    std::vector<WaveView> views;
    for (const auto& [number, wave] : waves_)
        if (wave.request.number != 0)
            views.push_back({ number, wave.request.instances.size(), wave.maintained.size(), wave.completed });
    return views;
}

bool InstancePlanner::isEmpty(const FleetInstance& instance) const
{
    auto rule = pools_.find(instance.pool);
    if (rule != pools_.end() && rule->second.standby)
        return true;
    const auto* load = loadOf(instance);
    return load && load->cordoned && load->runs == 0;
}

std::map<std::string, std::string> InstancePlanner::cordons() const
{
    std::map<std::string, std::string> cordons;
    for (const auto& [id, intent] : plannedOrders_)
        cordons[id] = intent.order.pool;
    for (const auto& id : outOfService_)
        cordons[id].clear();
    return cordons;
}

std::set<std::string> InstancePlanner::maintenanceDue() const
{
    std::set<std::string> due;
    for (const auto& [number, wave] : waves_)
        for (const auto& id : wave.request.instances)
            if (!wave.completed && wave.maintained.count(id) == 0)
                due.insert(id);
    return due;
}

std::vector<std::pair<uint64_t, bool>> InstancePlanner::takeWaveChanges()
{
    auto changes = std::move(waveChanges_);
    waveChanges_.clear();
    return changes;
}

const PoolReport::WorkerLoad* InstancePlanner::loadOf(const FleetInstance& instance) const
{
    auto pool = poolStates_.find(instance.pool);
    if (pool == poolStates_.end())
        return nullptr;
    for (const auto& worker : pool->second.report.workers)
        if (worker.instance == instance.id)
            return &worker;
    return nullptr;
}

bool InstancePlanner::hasFreshReport(const std::string& pool, Instant now) const
{
    auto found = poolStates_.find(pool);
    return found != poolStates_.end() && now - found->second.report.requestedAt < options_.maximumReportAge;
}

// Nothing runs on the instance, and nothing can be placed there any more.
bool InstancePlanner::isEmptySinceCordon(const FleetInstance& instance, Instant cordonedSince, Instant now) const
{
    auto rule = pools_.find(instance.pool);
    if (rule != pools_.end() && rule->second.standby)
        return true;
    const auto* load = loadOf(instance);
    // An older report may show an earlier cordon that has been lifted since.
    return load && hasFreshReport(instance.pool, now)
        && poolStates_.at(instance.pool).report.requestedAt > cordonedSince && load->cordoned && load->runs == 0;
}

// Of the pool's own instances, or of all while it has none.
double InstancePlanner::coresPerInstance(const std::string& pool) const
{
    double own = 0;
    double all = 0;
    size_t ownCount = 0;
    for (const auto& [id, instance] : instances_) {
        all += instance.cores;
        if (instance.pool == pool) {
            own += instance.cores;
            ++ownCount;
        }
    }
    if (ownCount > 0 && own > 0)
        return own / static_cast<double>(ownCount);
    return all > 0 ? all / static_cast<double>(instances_.size()) : 1;
}

// The required rate of work, carried forward by its rise until instances that are ordered now are at work.
double InstancePlanner::forecastRequiredCores(Pool& pool, Instant now) const
{
    auto& history = pool.requiredCoresHistory;
    history.emplace_back(now, pool.report.requiredCores);
    while (now - history.front().first > options_.trendWindow)
        history.pop_front();
    double rise = std::max(0.0, pool.report.requiredCores - history.front().second);
    return options_.demandMargin * pool.report.requiredCores + options_.forecastHorizonWindows * rise;
}

// Sizes and needs of the pools.
void InstancePlanner::updatePoolSizes(Instant now)
{
    for (auto& [name, pool] : poolStates_)
        pool.size = 0;
    for (const auto& [id, instance] : instances_) {
        const auto* load = loadOf(instance);
        auto intent = plannedOrders_.find(id);
        bool leaves = intent != plannedOrders_.end();
        // The list names a moving instance with the pool that it moves to.
        bool counts = instance.state == FleetInstance::State::Moving
            || (instance.state == FleetInstance::State::Maintenance
                && (!leaves || intent->second.order.type == InstanceOrder::Type::Maintain))
            || (instance.state == FleetInstance::State::Up && !leaves && !(load && load->draining)
                && outOfService_.count(id) == 0);
        if (counts)
            ++poolStates_[instance.pool].size;
        else if (leaves && intent->second.order.type == InstanceOrder::Type::Move)
            ++poolStates_[intent->second.order.pool].size;
    }
    for (auto& [name, pool] : poolStates_) {
        const auto& report = pool.report;
        double cores = (report.longRunningCores + forecastRequiredCores(pool, now) + options_.reserveCores)
            / options_.targetUtilization;
        auto need = static_cast<size_t>(std::ceil(cores / coresPerInstance(name)));
        need = std::max<size_t>(need, pool.report.minimumWorkers);
        pool.minimumSize = std::max<size_t>({ 1, pool.report.minimumWorkers,
            static_cast<size_t>(
                std::ceil(report.longRunningCores / options_.targetUtilization / coresPerInstance(name))) });
        auto& needs = pool.neededSizes;
        needs.erase(std::remove_if(needs.begin(), needs.end(),
                        [&](const auto& entry) { return now - entry.first > options_.stabilizationWindow; }),
            needs.end());
        needs.emplace_back(now, need);
        pool.desiredSize = 1;
        for (const auto& entry : needs)
            pool.desiredSize = std::max(pool.desiredSize, entry.second);
    }
}

void InstancePlanner::applyLoans()
{
    for (const auto& loan : loans_) {
        auto to = poolStates_.find(loan.toPool);
        if (to == poolStates_.end())
            continue;
        to->second.desiredSize += loan.count;
        if (auto from = poolStates_.find(loan.fromPool); from != poolStates_.end()) {
            auto& pool = from->second;
            pool.desiredSize = pool.desiredSize > pool.minimumSize + loan.count
                ? pool.desiredSize - loan.count
                : std::min(pool.desiredSize, pool.minimumSize);
        }
    }
}

// Instances that operators take out of service are emptied and switched off.
void InstancePlanner::planOutOfService(Instant now)
{
    for (const auto& id : outOfService_) {
        auto instance = instances_.find(id);
        if (instance == instances_.end() || instance->second.state != FleetInstance::State::Up
            || plannedOrders_.count(id) != 0)
            continue;
        auto rule = pools_.find(instance->second.pool);
        auto standby = standbyPool(instance->second);
        if (rule != pools_.end() && !rule->second.standby && !standby.empty())
            plannedOrders_[id] = { { InstanceOrder::Type::Move, id, standby, 0 }, now, std::nullopt };
    }
}

void InstancePlanner::dropExpiredOrders(Instant now)
{
    for (auto item = plannedOrders_.begin(); item != plannedOrders_.end();) {
        const auto& intent = item->second;
        auto instance = instances_.find(item->first);
        bool over = instance == instances_.end() || instance->second.state == FleetInstance::State::Down;
        bool move = intent.order.type == InstanceOrder::Type::Move;
        if (intent.orderedAt) {
            over = over || now - *intent.orderedAt > (move ? options_.orderTimeout : options_.maintenanceDuration);
            // The list shows it at work in its new pool; it may be needed elsewhere already.
            over = over
                || (move && instance->second.state == FleetInstance::State::Up
                    && instance->second.pool == intent.order.pool);
        }
        // A move that cannot begin because the instance does not become empty is given up; its pool may need it again.
        else if (move && now - intent.plannedAt > options_.emptyingTimeout)
            over = true;
        item = over ? plannedOrders_.erase(item) : std::next(item);
    }
}

std::vector<InstanceOrder> InstancePlanner::plan(Instant now)
{
    dropExpiredOrders(now);
    updatePoolSizes(now);
    applyLoans();
    distributeScarceInstances();
    planOutOfService(now);
    planWaves(now);
    planScaleUp(now);
    planScaleDown(now);
    std::vector<InstanceOrder> orders;
    std::map<uint64_t, size_t> maintained;
    for (const auto& [id, intent] : plannedOrders_)
        if (intent.orderedAt && intent.order.type == InstanceOrder::Type::Maintain)
            ++maintained[intent.order.wave];
    for (auto& [id, intent] : plannedOrders_) {
        if (intent.orderedAt || orders.size() >= options_.maximumOrdersPerPlan
            || !isEmptySinceCordon(instances_.at(id), intent.plannedAt, now))
            continue;
        if (auto resting = cooldowns_.find(id); resting != cooldowns_.end() && now < resting->second)
            continue;
        if (intent.order.type == InstanceOrder::Type::Maintain
            && ++maintained[intent.order.wave] > waves_[intent.order.wave].request.maximumParallel)
            continue;
        intent.orderedAt = now;
        orders.push_back(intent.order);
    }
    return orders;
}

void InstancePlanner::onOrderResult(const InstanceOrder& order, Outcome outcome, Instant now)
{
    auto found = plannedOrders_.find(order.instance);
    auto instance = instances_.find(order.instance);
    switch (outcome) {
    case Outcome::Ok:
        if (order.type == InstanceOrder::Type::Maintain)
            waves_[order.wave].maintained.insert(order.instance);
        else if (instance != instances_.end()) {
            instance->second.state = FleetInstance::State::Moving; // until the list shows it
            instance->second.pool = order.pool;
        }
        if (found != plannedOrders_.end())
            found->second.orderedAt = now;
        return;
    case Outcome::Impossible:
        if (order.type == InstanceOrder::Type::Move && instance != instances_.end())
            impossibleMoves_.emplace(instance->second.instanceType, order.pool);
        else if (order.type == InstanceOrder::Type::Maintain)
            cooldowns_[order.instance] = now + options_.orderTimeout;
        [[fallthrough]];
    case Outcome::Busy:
        if (found != plannedOrders_.end())
            plannedOrders_.erase(found);
        return;
    case Outcome::Unknown:
        if (found != plannedOrders_.end())
            found->second.orderedAt.reset(); // repeated; an order that has taken effect is answered with success
        return;
    }
}

// Instances that are switched off or idle come first; busy ones are emptied a few of a pool at a time while time
// allows.
void InstancePlanner::planWaves(Instant now)
{
    for (auto& [number, wave] : waves_) {
        if (wave.request.number == 0 || wave.completed)
            continue;
        if (!wave.announced) {
            wave.announced = true;
            waveChanges_.emplace_back(number, false);
        }
        size_t away = 0;
        std::map<std::string, size_t> awayOfPool;
        std::vector<std::pair<uint32_t, std::string>> candidates;
        bool left = false;
        for (const auto& id : wave.request.instances) {
            auto found = instances_.find(id);
            if (found == instances_.end())
                continue; // it has left the fleet
            const auto& instance = found->second;
            auto intent = plannedOrders_.find(id);
            bool ours = intent != plannedOrders_.end() && intent->second.order.type == InstanceOrder::Type::Maintain;
            if (ours || instance.state == FleetInstance::State::Maintenance) {
                ++away;
                ++awayOfPool[instance.pool];
            }
            if (wave.maintained.count(id) != 0)
                continue;
            left = true;
            if (intent != plannedOrders_.end() || instance.state != FleetInstance::State::Up)
                continue;
            const auto* load = loadOf(instance);
            if (load && load->draining)
                continue;
            candidates.emplace_back(load ? load->runs + 10 * load->longRunningRuns : 0, id);
        }
        if (!left) {
            wave.completed = true;
            waveChanges_.emplace_back(number, true);
            continue;
        }
        std::sort(candidates.begin(), candidates.end());
        auto total = wave.request.deadline - now;
        for (const auto& [load, id] : candidates) {
            if (away >= wave.request.maximumParallel)
                break;
            const auto& instance = instances_.at(id);
            auto& ofPool = awayOfPool[instance.pool];
            auto pool = poolStates_.find(instance.pool);
            auto size = pool == poolStates_.end() ? 0 : pool->second.size;
            auto limit
                = std::max<size_t>(1, static_cast<size_t>(options_.maximumCordonedShare * static_cast<double>(size)));
            if (load > 0 && ofPool >= limit && total > Milliseconds { 6000 })
                continue;
            plannedOrders_[id] = { { InstanceOrder::Type::Maintain, id, {}, number }, now, std::nullopt };
            ++away;
            ++ofPool;
        }
    }
}

std::string InstancePlanner::standbyPool(const FleetInstance& instance) const
{
    for (const auto& [name, rule] : pools_)
        if (rule.standby && canJoin(instance, name))
            return name;
    return {};
}

bool InstancePlanner::canJoin(const FleetInstance& instance, const std::string& pool) const
{
    return impossibleMoves_.count({ instance.instanceType, pool }) == 0;
}

// When the pools want more instances than there are, each gets what its lasting tasks need and an equal share of the
// rest of its wish; otherwise the pool that rose first would keep all of them.
void InstancePlanner::distributeScarceInstances()
{
    size_t total = 0;
    for (const auto& [id, instance] : instances_)
        if (instance.state != FleetInstance::State::Down)
            ++total;
    size_t wanted = 0;
    size_t least = 0;
    for (const auto& [name, pool] : poolStates_)
        if (auto rule = pools_.find(name); rule != pools_.end() && !rule->second.standby) {
            wanted += pool.desiredSize;
            least += std::min(pool.minimumSize, pool.desiredSize);
        }
    if (wanted <= total || wanted == least)
        return;
    double share = total <= least ? 0 : static_cast<double>(total - least) / static_cast<double>(wanted - least);
    std::vector<std::pair<double, Pool*>> remainders;
    size_t given = 0;
    for (auto& [name, pool] : poolStates_) {
        auto rule = pools_.find(name);
        if (rule == pools_.end() || rule->second.standby)
            continue;
        auto base = std::min(pool.minimumSize, pool.desiredSize);
        double part = share * static_cast<double>(pool.desiredSize - base);
        pool.desiredSize = base + static_cast<size_t>(std::floor(part));
        given += pool.desiredSize;
        remainders.emplace_back(part - std::floor(part), &pool);
    }
    // What rounding has left goes to the largest remainders.
    std::sort(remainders.begin(), remainders.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    for (auto& [remainder, pool] : remainders)
        if (given < total && remainder > 0) {
            ++pool->desiredSize;
            ++given;
        }
}

// Instances for pools that need more: its own that are being emptied, idle ones that another pool does not need, those
// that are switched off, and at last busy ones of pools that have more than they want.
void InstancePlanner::planScaleUp(Instant now)
{
    std::vector<std::pair<double, std::string>> poor;
    for (const auto& [name, pool] : poolStates_) {
        auto rule = pools_.find(name);
        if (rule != pools_.end() && !rule->second.standby && hasFreshReport(name, now) && pool.size < pool.desiredSize)
            poor.emplace_back(static_cast<double>(pool.size) / static_cast<double>(pool.desiredSize), name);
    }
    std::sort(poor.begin(), poor.end());
    for (const auto& [share, name] : poor) {
        cancelMovesOut(name);
        takeIdleInstances(name, false, now);
        takeIdleInstances(name, true, now);
        takeBusyInstances(name, now);
    }
}

void InstancePlanner::cancelMovesOut(const std::string& name)
{
    auto& pool = poolStates_.at(name);
    for (auto item = plannedOrders_.begin(); item != plannedOrders_.end() && pool.size < pool.desiredSize;) {
        auto instance = instances_.find(item->first);
        bool ours = !item->second.orderedAt && item->second.order.type == InstanceOrder::Type::Move
            && instance != instances_.end() && instance->second.pool == name && outOfService_.count(item->first) == 0;
        if (ours) {
            auto target = poolStates_.find(item->second.order.pool);
            if (target != poolStates_.end() && target->second.size > 0)
                --target->second.size;
            ++pool.size;
        }
        item = ours ? plannedOrders_.erase(item) : std::next(item);
    }
}

void InstancePlanner::takeIdleInstances(const std::string& name, bool switchedOff, Instant now)
{
    auto& pool = poolStates_.at(name);
    for (const auto& [id, instance] : instances_) {
        if (pool.size >= pool.desiredSize)
            return;
        auto rule = pools_.find(instance.pool);
        if (rule == pools_.end() || rule->second.standby != switchedOff || instance.pool == name
            || instance.state != FleetInstance::State::Up || plannedOrders_.count(id) != 0
            || outOfService_.count(id) != 0 || !canJoin(instance, name))
            continue;
        if (!switchedOff) {
            const auto* load = loadOf(instance);
            auto& from = poolStates_.at(instance.pool);
            if (!load || load->runs > 0 || load->draining || !hasFreshReport(instance.pool, now)
                || from.size <= from.desiredSize)
                continue;
            --from.size;
        }
        plannedOrders_[id] = { { InstanceOrder::Type::Move, id, name, 0 }, now, std::nullopt };
        ++pool.size;
    }
}

// The instance of a pool that is empty soonest; none with lasting tasks, which would have to leave one after another.
const std::string* InstancePlanner::leastLoadedInstance(
    const std::string& pool, const std::string& target, Instant now) const
{
    const std::string* best = nullptr;
    uint32_t bestRuns = 0;
    if (!hasFreshReport(pool, now))
        return nullptr;
    for (const auto& [id, instance] : instances_) {
        if (instance.pool != pool || instance.state != FleetInstance::State::Up || plannedOrders_.count(id) != 0
            || outOfService_.count(id) != 0 || !canJoin(instance, target))
            continue;
        const auto* load = loadOf(instance);
        if (!load || load->draining || load->longRunningRuns > 0 || (best && load->runs >= bestRuns))
            continue;
        best = &id;
        bestRuns = load->runs;
    }
    return best;
}

void InstancePlanner::takeBusyInstances(const std::string& name, Instant now)
{
    auto& pool = poolStates_.at(name);
    for (auto& [fromName, from] : poolStates_) {
        auto rule = pools_.find(fromName);
        if (fromName == name || rule == pools_.end() || rule->second.standby)
            continue;
        while (pool.size < pool.desiredSize && from.size > from.desiredSize) {
            const auto* id = leastLoadedInstance(fromName, name, now);
            if (!id)
                break;
            plannedOrders_[*id] = { { InstanceOrder::Type::Move, *id, name, 0 }, now, std::nullopt };
            --from.size;
            ++pool.size;
        }
    }
}

// Instances beyond the need are emptied and switched off.
void InstancePlanner::planScaleDown(Instant now)
{
    // Before the first jobs nothing is known of the demand, and the sizes given by the operator are the best guess.
    for (const auto& [name, pool] : poolStates_)
        demandSeen_ = demandSeen_ || pool.report.requiredCores > 0;
    if (!demandSeen_)
        return;
    for (auto& [name, pool] : poolStates_) {
        auto rule = pools_.find(name);
        if (rule == pools_.end() || rule->second.standby)
            continue;
        if (pool.size <= pool.desiredSize) {
            pool.surplusSince = now;
            continue;
        }
        if (now - pool.surplusSince < options_.scaleDownDelay)
            continue;
        while (pool.size > pool.desiredSize) {
            const auto* id = leastLoadedInstance(name, {}, now);
            auto standby = id ? standbyPool(instances_.at(*id)) : std::string();
            if (standby.empty())
                break;
            plannedOrders_[*id] = { { InstanceOrder::Type::Move, *id, standby, 0 }, now, std::nullopt };
            --pool.size;
        }
    }
}

} // namespace shallotdrift
