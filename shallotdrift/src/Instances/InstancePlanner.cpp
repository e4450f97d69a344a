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
    auto configuration = pools_.find(instance.pool);
    if (configuration != pools_.end() && configuration->second.standby)
        return true;
    const auto* load = loadOf(instance);
    return load && load->cordoned && load->runs == 0;
}

std::map<std::string, std::string> InstancePlanner::cordons() const
{
    std::map<std::string, std::string> cordons;
    for (const auto& [id, planned] : plannedOrders_)
        cordons[id] = planned.order.pool;
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

// True if nothing runs on the instance and nothing can be placed there any more.
bool InstancePlanner::isEmptySinceCordon(const FleetInstance& instance, Instant cordonedSince, Instant now) const
{
    auto configuration = pools_.find(instance.pool);
    if (configuration != pools_.end() && configuration->second.standby)
        return true;
    const auto* load = loadOf(instance);
    // A report requested before this cordon may still show an earlier cordon that has since been lifted.
    return load && hasFreshReport(instance.pool, now)
        && poolStates_.at(instance.pool).report.requestedAt > cordonedSince && load->cordoned && load->runs == 0;
}

// Average of the pool's own instances, or of all instances while the pool has none; 0 if it is not known.
double InstancePlanner::averageOf(double FleetInstance::*quantity, const std::string& pool) const
{
    double ownSum = 0;
    double totalSum = 0;
    size_t ownCount = 0;
    for (const auto& [id, instance] : instances_) {
        totalSum += instance.*quantity;
        if (instance.pool == pool) {
            ownSum += instance.*quantity;
            ++ownCount;
        }
    }
    if (ownCount > 0 && ownSum > 0)
        return ownSum / static_cast<double>(ownCount);
    return instances_.empty() ? 0 : totalSum / static_cast<double>(instances_.size());
}

// Instances with so much in all; 0 if the size of an instance is not known.
static size_t instancesFor(double total, double perInstance)
{
    return perInstance > 0 ? static_cast<size_t>(std::ceil(total / perInstance)) : 0;
}

// The required cores with margin, extrapolated to the time at which instances that are ordered now will run tasks.
double InstancePlanner::forecastRequiredCores(Pool& pool, Instant now) const
{
    auto& history = pool.requiredCoresHistory;
    history.emplace_back(now, pool.report.requiredCores);
    while (now - history.front().first > options_.trendWindow)
        history.pop_front();
    double rise = std::max(0.0, pool.report.requiredCores - history.front().second);
    return options_.demandMargin * pool.report.requiredCores + options_.forecastHorizonWindows * rise;
}

// Updates the actual, desired and minimum sizes of the pools.
void InstancePlanner::updatePoolSizes(Instant now)
{
    for (auto& [name, pool] : poolStates_)
        pool.size = 0;
    std::map<std::string, size_t> inMaintenance; // or about to be, by pool
    for (const auto& [id, instance] : instances_) {
        const auto* load = loadOf(instance);
        auto planned = plannedOrders_.find(id);
        bool leaving = planned != plannedOrders_.end();
        if (instance.state == FleetInstance::State::Maintenance
            || (leaving && planned->second.order.type == InstanceOrder::Type::Maintain))
            ++inMaintenance[instance.pool];
        // The platform lists a moving instance under its new pool.
        bool counts = instance.state == FleetInstance::State::Moving
            || (instance.state == FleetInstance::State::Maintenance
                && (!leaving || planned->second.order.type == InstanceOrder::Type::Maintain))
            || (instance.state == FleetInstance::State::Up && !leaving && !(load && load->draining)
                && outOfService_.count(id) == 0);
        if (counts)
            ++poolStates_[instance.pool].size;
        else if (leaving && planned->second.order.type == InstanceOrder::Type::Move)
            ++poolStates_[planned->second.order.pool].size;
    }
    auto takenByWaves = waveParallelism(now);
    for (auto& [name, pool] : poolStates_) {
        const auto& report = pool.report;
        double cores = (report.longRunningCores + forecastRequiredCores(pool, now) + options_.reserveCores)
            / options_.targetUtilization;
        double memory
            = (report.longRunningMemory + options_.demandMargin * report.requiredMemory) / options_.targetUtilization;
        double coresPerInstance = averageOf(&FleetInstance::cores, name);
        // Instances in maintenance come back too late for the long-running tasks that had to leave them.
        size_t longRunningNeed
            = report.minimumWorkers > 0 ? report.minimumWorkers + std::max(inMaintenance[name], takenByWaves[name]) : 0;
        auto memoryNeed = instancesFor(memory, averageOf(&FleetInstance::memory, name));
        auto need = std::max({ instancesFor(cores, coresPerInstance), memoryNeed, longRunningNeed });
        double urgentCores = cores - options_.demandMargin * report.overdueCores / options_.targetUtilization;
        auto urgentNeed = std::max(instancesFor(urgentCores, coresPerInstance), longRunningNeed);
        pool.minimumSize = std::max<size_t>({ 1, longRunningNeed,
            instancesFor(report.longRunningCores / options_.targetUtilization, coresPerInstance) });
        auto& needs = pool.neededSizes;
        needs.erase(std::remove_if(needs.begin(), needs.end(),
                        [&](const auto& entry) { return now - entry.at > options_.stabilizationWindow; }),
            needs.end());
        needs.push_back({ now, need, urgentNeed });
        pool.desiredSize = 1;
        pool.urgentSize = 1;
        for (const auto& entry : needs) {
            pool.desiredSize = std::max(pool.desiredSize, entry.size);
            pool.urgentSize = std::max(pool.urgentSize, entry.urgentSize);
        }
    }
}

void InstancePlanner::applyLoans()
{
    for (const auto& loan : loans_) {
        auto to = poolStates_.find(loan.toPool);
        if (to == poolStates_.end())
            continue;
        to->second.desiredSize += loan.count;
        to->second.urgentSize += loan.count; // operators lend in a shortage
        if (auto from = poolStates_.find(loan.fromPool); from != poolStates_.end()) {
            auto& pool = from->second;
            pool.desiredSize = pool.desiredSize > pool.minimumSize + loan.count
                ? pool.desiredSize - loan.count
                : std::min(pool.desiredSize, pool.minimumSize);
        }
    }
}

// Plans to empty and switch off the instances that operators take out of service.
void InstancePlanner::planOutOfService(Instant now)
{
    for (const auto& id : outOfService_) {
        auto instance = instances_.find(id);
        if (instance == instances_.end() || instance->second.state != FleetInstance::State::Up
            || plannedOrders_.count(id) != 0)
            continue;
        auto configuration = pools_.find(instance->second.pool);
        auto standby = standbyPool(instance->second);
        if (configuration != pools_.end() && !configuration->second.standby && !standby.empty())
            plannedOrders_[id] = { { InstanceOrder::Type::Move, id, standby, 0 }, now };
    }
}

void InstancePlanner::dropExpiredOrders(Instant now)
{
    for (auto item = plannedOrders_.begin(); item != plannedOrders_.end();) {
        const auto& planned = item->second;
        auto instance = instances_.find(item->first);
        bool expired = instance == instances_.end() || instance->second.state == FleetInstance::State::Down;
        bool isMove = planned.order.type == InstanceOrder::Type::Move;
        // The instance is up in its new pool and may already be needed elsewhere.
        if (isMove && (planned.orderedAt || planned.unanswered))
            expired = expired
                || (instance->second.state == FleetInstance::State::Up && instance->second.pool == planned.order.pool);
        if (planned.orderedAt)
            expired
                = expired || now - *planned.orderedAt > (isMove ? options_.orderTimeout : options_.maintenanceDuration);
        // The instance has not become empty in time, and its pool may need it again.
        else if (isMove && !planned.unanswered && now - planned.plannedAt > options_.emptyingTimeout)
            expired = true;
        item = expired ? plannedOrders_.erase(item) : std::next(item);
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
    std::map<uint64_t, size_t> maintenanceOrders;
    for (const auto& [id, planned] : plannedOrders_)
        if (planned.orderedAt && planned.order.type == InstanceOrder::Type::Maintain)
            ++maintenanceOrders[planned.order.wave];
    for (auto& [id, planned] : plannedOrders_) {
        if (planned.orderedAt || now < planned.retryAt || orders.size() >= options_.maximumOrdersPerPlan
            || !isEmptySinceCordon(instances_.at(id), planned.plannedAt, now))
            continue;
        if (auto cooldown = cooldowns_.find(id); cooldown != cooldowns_.end() && now < cooldown->second)
            continue;
        if (planned.order.type == InstanceOrder::Type::Maintain
            && ++maintenanceOrders[planned.order.wave] > waves_[planned.order.wave].request.maximumParallel)
            continue;
        planned.orderedAt = now;
        planned.confirmed = false;
        orders.push_back(planned.order);
    }
    return orders;
}

bool InstancePlanner::maySend(const InstanceOrder& order, Instant now) const
{
    auto planned = plannedOrders_.find(order.instance);
    auto instance = instances_.find(order.instance);
    return planned != plannedOrders_.end() && instance != instances_.end()
        && isEmptySinceCordon(instance->second, planned->second.plannedAt, now);
}

std::vector<InstanceOrder> InstancePlanner::openOrders() const
{
    std::vector<InstanceOrder> orders;
    for (const auto& [id, planned] : plannedOrders_)
        if (planned.unanswered || (planned.orderedAt && !planned.confirmed))
            orders.push_back(planned.order);
    return orders;
}

void InstancePlanner::restoreOpenOrder(const InstanceOrder& order, Instant now)
{
    PlannedOrder planned;
    planned.order = order;
    planned.plannedAt = now;
    planned.unanswered = true;
    plannedOrders_[order.instance] = std::move(planned);
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
            instance->second.state = FleetInstance::State::Moving; // until the next listing shows it
            instance->second.pool = order.pool;
        }
        if (found != plannedOrders_.end()) {
            found->second.orderedAt = now;
            found->second.unanswered = false;
            found->second.confirmed = true;
        }
        return;
    case Outcome::Impossible:
        if (order.type == InstanceOrder::Type::Move && instance != instances_.end())
            impossibleMoves_.emplace(instance->second.instanceType, order.pool);
        else if (order.type == InstanceOrder::Type::Maintain)
            cooldowns_[order.instance] = now + options_.orderTimeout;
        [[fallthrough]];
    case Outcome::Busy:
        if (found != plannedOrders_.end() && outcome == Outcome::Busy && found->second.unanswered) {
            found->second.orderedAt.reset();
            found->second.retryAt = now + options_.orderRetryInterval;
        } else if (found != plannedOrders_.end())
            plannedOrders_.erase(found);
        return;
    case Outcome::Unknown:
    case Outcome::NotSent:
        if (found != plannedOrders_.end()) {
            // Sent again; if the order has taken effect, the platform confirms it.
            found->second.orderedAt.reset();
            found->second.unanswered = found->second.unanswered || outcome == Outcome::Unknown;
        }
        return;
    }
}

// Maintains switched-off and idle instances first. Of each pool, only a limited share of the instances with runs is
// emptied at the same time, unless the deadline is near.
void InstancePlanner::planWaves(Instant now)
{
    for (auto& [number, wave] : waves_) {
        if (wave.request.number == 0 || wave.completed)
            continue;
        if (!wave.announced) {
            wave.announced = true;
            waveChanges_.emplace_back(number, false);
        }
        size_t inMaintenance = 0;
        std::map<std::string, size_t> inMaintenanceOfPool;
        std::vector<std::pair<uint32_t, std::string>> candidates;
        bool instancesLeft = false;
        for (const auto& id : wave.request.instances) {
            auto found = instances_.find(id);
            if (found == instances_.end())
                continue; // no longer part of the fleet
            const auto& instance = found->second;
            auto planned = plannedOrders_.find(id);
            bool maintenancePlanned
                = planned != plannedOrders_.end() && planned->second.order.type == InstanceOrder::Type::Maintain;
            if (maintenancePlanned || instance.state == FleetInstance::State::Maintenance) {
                ++inMaintenance;
                ++inMaintenanceOfPool[instance.pool];
            }
            if (wave.maintained.count(id) != 0)
                continue;
            instancesLeft = true;
            if (planned != plannedOrders_.end() || instance.state != FleetInstance::State::Up)
                continue;
            const auto* load = loadOf(instance);
            if (load && load->draining)
                continue;
            candidates.emplace_back(load ? load->runs + 10 * load->longRunningRuns : 0, id);
        }
        if (!instancesLeft) {
            wave.completed = true;
            waveChanges_.emplace_back(number, true);
            continue;
        }
        std::sort(candidates.begin(), candidates.end());
        auto timeLeft = wave.request.deadline - now;
        for (const auto& [load, id] : candidates) {
            if (inMaintenance >= wave.request.maximumParallel)
                break;
            const auto& instance = instances_.at(id);
            auto& ofPool = inMaintenanceOfPool[instance.pool];
            bool urgent = timeLeft <= options_.waveUrgentTime;
            if (!urgent && !maySpareForWave(instance.pool, ofPool, load > 0))
                continue;
            plannedOrders_[id] = { { InstanceOrder::Type::Maintain, id, {}, number }, now };
            ++inMaintenance;
            ++ofPool;
        }
    }
}

// Whether the pool can do without one more instance while others of it are in maintenance. An instance with runs counts
// against a share of the pool. Long-running tasks that leave their instances need the others.
bool InstancePlanner::maySpareForWave(const std::string& name, size_t inMaintenance, bool hasRuns) const
{
    auto pool = poolStates_.find(name);
    if (pool == poolStates_.end())
        return true;
    auto size = pool->second.size;
    auto limit = std::max<size_t>(1, static_cast<size_t>(options_.maximumCordonedShare * static_cast<double>(size)));
    auto longRunningNeed = pool->second.report.minimumWorkers;
    return (!hasRuns || inMaintenance < limit) && (longRunningNeed == 0 || size > longRunningNeed + inMaintenance);
}

// Instances that the waves have to take from each pool at the same time to be done in time.
std::map<std::string, size_t> InstancePlanner::waveParallelism(Instant now) const
{
    std::map<std::string, size_t> parallelism;
    for (const auto& [number, wave] : waves_) {
        if (wave.request.number == 0 || wave.completed)
            continue;
        std::map<std::string, size_t> left;
        for (const auto& id : wave.request.instances)
            if (auto found = instances_.find(id); found != instances_.end() && wave.maintained.count(id) == 0)
                ++left[found->second.pool];
        auto time = std::max<Duration>(wave.request.deadline - now - options_.waveUrgentTime, options_.waveCycleTime);
        for (const auto& [pool, count] : left)
            parallelism[pool] += static_cast<size_t>(
                std::ceil(static_cast<double>(count) * (std::chrono::duration<double>(options_.waveCycleTime) / time)));
    }
    return parallelism;
}

std::string InstancePlanner::standbyPool(const FleetInstance& instance) const
{
    for (const auto& [name, configuration] : pools_)
        if (configuration.standby && canJoin(instance, name))
            return name;
    return {};
}

bool InstancePlanner::canJoin(const FleetInstance& instance, const std::string& pool) const
{
    return impossibleMoves_.count({ instance.instanceType, pool }) == 0;
}

// If the pools together need more instances than there are, long-running tasks come first, then jobs that can still
// meet their soft deadlines, then overdue ones, which are of little value. On the level for which the instances do not
// suffice, each pool gets the same share of what it needs. Without this, the pool whose demand rose first would keep
// all instances.
void InstancePlanner::distributeScarceInstances()
{
    auto left = static_cast<size_t>(std::count_if(instances_.begin(), instances_.end(),
        [](const auto& entry) { return entry.second.state != FleetInstance::State::Down; }));
    std::vector<PoolClaim> claims;
    size_t desired = 0;
    for (auto& [name, pool] : poolStates_)
        if (auto configuration = pools_.find(name); configuration != pools_.end() && !configuration->second.standby) {
            auto minimum = std::min(pool.minimumSize, pool.desiredSize);
            auto urgent = std::clamp(pool.urgentSize, minimum, pool.desiredSize);
            claims.push_back({ &pool, { minimum, urgent - minimum, pool.desiredSize - urgent } });
            desired += pool.desiredSize;
        }
    if (desired <= left)
        return;
    for (auto& claim : claims)
        claim.pool->desiredSize = 0;
    for (size_t level = 0; level < claimLevels; ++level)
        left -= grantClaims(claims, level, left);
}

// Grants the claims of one level, in proportion if there are fewer instances; returns the number of instances granted.
size_t InstancePlanner::grantClaims(const std::vector<PoolClaim>& claims, size_t level, size_t available)
{
    size_t claimed = 0;
    for (const auto& claim : claims)
        claimed += claim.sizes[level];
    if (claimed == 0)
        return 0;
    double share = std::min(1.0, static_cast<double>(available) / static_cast<double>(claimed));
    std::vector<std::pair<double, Pool*>> remainders;
    size_t granted = 0;
    for (const auto& claim : claims) {
        double size = share * static_cast<double>(claim.sizes[level]);
        claim.pool->desiredSize += static_cast<size_t>(std::floor(size));
        granted += static_cast<size_t>(std::floor(size));
        remainders.emplace_back(size - std::floor(size), claim.pool);
    }
    // Instances that are left over by rounding down go to the pools with the largest remainders.
    std::sort(remainders.begin(), remainders.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    for (auto& [remainder, pool] : remainders)
        if (granted < std::min(available, claimed) && remainder > 0) {
            ++pool->desiredSize;
            ++granted;
        }
    return granted;
}

// Grows pools that are too small, from these sources in order: their own instances that are being emptied, idle
// instances that another pool does not need, switched-off instances, and instances with runs from pools above their
// desired size.
void InstancePlanner::planScaleUp(Instant now)
{
    std::vector<std::pair<double, std::string>> undersized; // size as a share of the desired size, pool
    for (const auto& [name, pool] : poolStates_) {
        auto configuration = pools_.find(name);
        if (configuration != pools_.end() && !configuration->second.standby && hasFreshReport(name, now)
            && pool.size < pool.desiredSize)
            undersized.emplace_back(static_cast<double>(pool.size) / static_cast<double>(pool.desiredSize), name);
    }
    std::sort(undersized.begin(), undersized.end());
    for (const auto& [share, name] : undersized) {
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
        bool cancellable = !item->second.orderedAt && !item->second.unanswered
            && item->second.order.type == InstanceOrder::Type::Move && instance != instances_.end()
            && instance->second.pool == name && outOfService_.count(item->first) == 0;
        if (cancellable) {
            auto newPool = poolStates_.find(item->second.order.pool);
            if (newPool != poolStates_.end() && newPool->second.size > 0)
                --newPool->second.size;
            ++pool.size;
        }
        item = cancellable ? plannedOrders_.erase(item) : std::next(item);
    }
}

void InstancePlanner::takeIdleInstances(const std::string& name, bool switchedOff, Instant now)
{
    auto& pool = poolStates_.at(name);
    for (const auto& [id, instance] : instances_) {
        if (pool.size >= pool.desiredSize)
            return;
        auto configuration = pools_.find(instance.pool);
        if (configuration == pools_.end() || configuration->second.standby != switchedOff || instance.pool == name
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
        plannedOrders_[id] = { { InstanceOrder::Type::Move, id, name, 0 }, now };
        ++pool.size;
    }
}

// The instance of the pool with the fewest runs, since it is likely to be empty soonest. Instances with long-running
// tasks are left out, because these would have to be evicted one after another. Null if no instance is suitable.
const std::string* InstancePlanner::leastLoadedInstance(
    const std::string& pool, const std::string& newPool, Instant now) const
{
    const std::string* best = nullptr;
    uint32_t bestRuns = 0;
    if (!hasFreshReport(pool, now))
        return nullptr;
    for (const auto& [id, instance] : instances_) {
        if (instance.pool != pool || instance.state != FleetInstance::State::Up || plannedOrders_.count(id) != 0
            || outOfService_.count(id) != 0 || !canJoin(instance, newPool))
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
        auto configuration = pools_.find(fromName);
        if (fromName == name || configuration == pools_.end() || configuration->second.standby)
            continue;
        while (pool.size < pool.desiredSize && from.size > from.desiredSize) {
            const auto* id = leastLoadedInstance(fromName, name, now);
            if (!id)
                break;
            plannedOrders_[*id] = { { InstanceOrder::Type::Move, *id, name, 0 }, now };
            --from.size;
            ++pool.size;
        }
    }
}

// Shrinks pools that are larger than desired: plans to empty instances and switch them off.
void InstancePlanner::planScaleDown(Instant now)
{
    // Until the first jobs arrive the demand is unknown, and the pools keep the sizes that operators gave them.
    for (const auto& [name, pool] : poolStates_)
        demandSeen_ = demandSeen_ || pool.report.requiredCores > 0;
    if (!demandSeen_)
        return;
    for (auto& [name, pool] : poolStates_) {
        auto configuration = pools_.find(name);
        if (configuration == pools_.end() || configuration->second.standby)
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
            plannedOrders_[*id] = { { InstanceOrder::Type::Move, *id, standby, 0 }, now };
            --pool.size;
        }
    }
}

} // namespace shallotdrift
