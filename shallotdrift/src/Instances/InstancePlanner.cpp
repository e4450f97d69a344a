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
    state_[service].report = std::move(report);
}

void InstancePlanner::addWave(const MaintenanceWave& wave)
{
    auto& known = waves_[wave.number];
    if (known.rule.number == 0)
        known.rule = wave;
}

void InstancePlanner::restoreDone(uint64_t wave, const std::set<std::string>& instances)
{
    waves_[wave].done.insert(instances.begin(), instances.end());
}

const std::set<std::string>& InstancePlanner::done(uint64_t wave) const
{
    static const std::set<std::string> none;
    auto found = waves_.find(wave);
    return found == waves_.end() ? none : found->second.done;
}

std::vector<InstancePlanner::PoolView> InstancePlanner::view() const
{
    std::vector<PoolView> views;
    for (const auto& [name, pool] : state_)
        views.push_back({ name, pool.size, pool.want, pool.least, pool.report });
    return views;
}

std::vector<InstancePlanner::WaveView> InstancePlanner::waves() const
{
    std::vector<WaveView> views;
    for (const auto& [number, wave] : waves_)
        if (wave.rule.number != 0)
            views.push_back({ number, wave.rule.instances.size(), wave.done.size(), wave.completed });
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
    for (const auto& [id, intent] : intents_)
        cordons[id] = intent.order.pool;
    for (const auto& id : outOfService_)
        cordons[id].clear();
    return cordons;
}

std::set<std::string> InstancePlanner::maintenanceDue() const
{
    std::set<std::string> due;
    for (const auto& [number, wave] : waves_)
        for (const auto& id : wave.rule.instances)
            if (!wave.completed && wave.done.count(id) == 0)
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
    auto pool = state_.find(instance.pool);
    if (pool == state_.end())
        return nullptr;
    for (const auto& worker : pool->second.report.workers)
        if (worker.instance == instance.id)
            return &worker;
    return nullptr;
}

bool InstancePlanner::fresh(const std::string& pool, Instant now) const
{
    auto found = state_.find(pool);
    return found != state_.end() && now - found->second.report.at < options_.reportLife;
}

// Nothing runs on the instance, and nothing can be placed there any more.
bool InstancePlanner::empty(const FleetInstance& instance, Instant cordonedSince, Instant now) const
{
    auto rule = pools_.find(instance.pool);
    if (rule != pools_.end() && rule->second.standby)
        return true;
    const auto* load = loadOf(instance);
    // An older report may show an earlier cordon that has been lifted since.
    return load && fresh(instance.pool, now) && state_.at(instance.pool).report.at > cordonedSince && load->cordoned
        && load->runs == 0;
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
double InstancePlanner::expectedRate(Pool& pool, Instant now) const
{
    auto& history = pool.required;
    history.emplace_back(now, pool.report.requiredCores);
    while (now - history.front().first > options_.trendTime)
        history.pop_front();
    double rise = std::max(0.0, pool.report.requiredCores - history.front().second);
    return options_.margin * pool.report.requiredCores + options_.trendAhead * rise;
}

// Sizes and needs of the pools.
void InstancePlanner::measure(Instant now)
{
    for (auto& [name, pool] : state_)
        pool.size = 0;
    for (const auto& [id, instance] : instances_) {
        const auto* load = loadOf(instance);
        auto intent = intents_.find(id);
        bool leaves = intent != intents_.end();
        // The list names a moving instance with the pool that it moves to.
        bool counts = instance.state == FleetInstance::State::Moving
            || (instance.state == FleetInstance::State::Maintenance
                && (!leaves || intent->second.order.type == InstanceOrder::Type::Maintain))
            || (instance.state == FleetInstance::State::Up && !leaves && !(load && load->draining)
                && outOfService_.count(id) == 0);
        if (counts)
            ++state_[instance.pool].size;
        else if (leaves && intent->second.order.type == InstanceOrder::Type::Move)
            ++state_[intent->second.order.pool].size;
    }
    for (auto& [name, pool] : state_) {
        const auto& report = pool.report;
        double cores = (report.lastingCores + expectedRate(pool, now) + options_.reserveCores) / options_.fillLevel;
        auto need = static_cast<size_t>(std::ceil(cores / coresPerInstance(name)));
        need = std::max<size_t>(need, pool.report.minimumWorkers);
        pool.least = std::max<size_t>({ 1, pool.report.minimumWorkers,
            static_cast<size_t>(std::ceil(report.lastingCores / options_.fillLevel / coresPerInstance(name))) });
        auto& needs = pool.needs;
        needs.erase(std::remove_if(needs.begin(), needs.end(),
                        [&](const auto& entry) { return now - entry.first > options_.wantMemory; }),
            needs.end());
        needs.emplace_back(now, need);
        pool.want = 1;
        for (const auto& entry : needs)
            pool.want = std::max(pool.want, entry.second);
    }
}

void InstancePlanner::applyLoans()
{
    for (const auto& loan : loans_) {
        auto to = state_.find(loan.toPool);
        if (to == state_.end())
            continue;
        to->second.want += loan.count;
        if (auto from = state_.find(loan.fromPool); from != state_.end()) {
            auto& pool = from->second;
            pool.want = pool.want > pool.least + loan.count ? pool.want - loan.count : std::min(pool.want, pool.least);
        }
    }
}

// Instances that operators take out of service are emptied and switched off.
void InstancePlanner::planOutOfService(Instant now)
{
    for (const auto& id : outOfService_) {
        auto instance = instances_.find(id);
        if (instance == instances_.end() || instance->second.state != FleetInstance::State::Up
            || intents_.count(id) != 0)
            continue;
        auto rule = pools_.find(instance->second.pool);
        auto standby = standbyPool(instance->second);
        if (rule != pools_.end() && !rule->second.standby && !standby.empty())
            intents_[id] = { { InstanceOrder::Type::Move, id, standby, 0 }, now, std::nullopt };
    }
}

void InstancePlanner::forgetOldIntents(Instant now)
{
    for (auto item = intents_.begin(); item != intents_.end();) {
        const auto& intent = item->second;
        auto instance = instances_.find(item->first);
        bool over = instance == instances_.end() || instance->second.state == FleetInstance::State::Down;
        bool move = intent.order.type == InstanceOrder::Type::Move;
        if (intent.orderedAt) {
            over = over || now - *intent.orderedAt > (move ? options_.orderLife : options_.maintenanceLife);
            // The list shows it at work in its new pool; it may be needed elsewhere already.
            over = over
                || (move && instance->second.state == FleetInstance::State::Up
                    && instance->second.pool == intent.order.pool);
        }
        // A move that cannot begin because the instance does not become empty is given up; its pool may need it again.
        else if (move && now - intent.since > options_.emptyingTime)
            over = true;
        item = over ? intents_.erase(item) : std::next(item);
    }
}

std::vector<InstanceOrder> InstancePlanner::plan(Instant now)
{
    forgetOldIntents(now);
    measure(now);
    applyLoans();
    shareScarceInstances();
    planOutOfService(now);
    planWaves(now);
    planGrowth(now);
    planShrinking(now);
    std::vector<InstanceOrder> orders;
    std::map<uint64_t, size_t> maintained;
    for (const auto& [id, intent] : intents_)
        if (intent.orderedAt && intent.order.type == InstanceOrder::Type::Maintain)
            ++maintained[intent.order.wave];
    for (auto& [id, intent] : intents_) {
        if (intent.orderedAt || orders.size() >= options_.ordersAtOnce || !empty(instances_.at(id), intent.since, now))
            continue;
        if (auto resting = resting_.find(id); resting != resting_.end() && now < resting->second)
            continue;
        if (intent.order.type == InstanceOrder::Type::Maintain
            && ++maintained[intent.order.wave] > waves_[intent.order.wave].rule.maximumAtOnce)
            continue;
        intent.orderedAt = now;
        orders.push_back(intent.order);
    }
    return orders;
}

void InstancePlanner::onOrder(const InstanceOrder& order, Outcome outcome, Instant now)
{
    auto found = intents_.find(order.instance);
    auto instance = instances_.find(order.instance);
    switch (outcome) {
    case Outcome::Ok:
        if (order.type == InstanceOrder::Type::Maintain)
            waves_[order.wave].done.insert(order.instance);
        else if (instance != instances_.end()) {
            instance->second.state = FleetInstance::State::Moving; // until the list shows it
            instance->second.pool = order.pool;
        }
        if (found != intents_.end())
            found->second.orderedAt = now;
        return;
    case Outcome::Impossible:
        if (order.type == InstanceOrder::Type::Move && instance != instances_.end())
            impossible_.emplace(instance->second.kind, order.pool);
        else if (order.type == InstanceOrder::Type::Maintain)
            resting_[order.instance] = now + options_.orderLife;
        [[fallthrough]];
    case Outcome::Busy:
        if (found != intents_.end())
            intents_.erase(found);
        return;
    case Outcome::Unknown:
        if (found != intents_.end())
            found->second.orderedAt.reset(); // repeated; an order that has taken effect is answered with success
        return;
    }
}

// Instances that are switched off or idle come first; busy ones are emptied a few of a pool at a time while time
// allows.
void InstancePlanner::planWaves(Instant now)
{
    for (auto& [number, wave] : waves_) {
        if (wave.rule.number == 0 || wave.completed)
            continue;
        if (!wave.announced) {
            wave.announced = true;
            waveChanges_.emplace_back(number, false);
        }
        size_t away = 0;
        std::map<std::string, size_t> awayOfPool;
        std::vector<std::pair<uint32_t, std::string>> candidates;
        bool left = false;
        for (const auto& id : wave.rule.instances) {
            auto found = instances_.find(id);
            if (found == instances_.end())
                continue; // it has left the fleet
            const auto& instance = found->second;
            auto intent = intents_.find(id);
            bool ours = intent != intents_.end() && intent->second.order.type == InstanceOrder::Type::Maintain;
            if (ours || instance.state == FleetInstance::State::Maintenance) {
                ++away;
                ++awayOfPool[instance.pool];
            }
            if (wave.done.count(id) != 0)
                continue;
            left = true;
            if (intent != intents_.end() || instance.state != FleetInstance::State::Up)
                continue;
            const auto* load = loadOf(instance);
            if (load && load->draining)
                continue;
            candidates.emplace_back(load ? load->runs + 10 * load->lastingRuns : 0, id);
        }
        if (!left) {
            wave.completed = true;
            waveChanges_.emplace_back(number, true);
            continue;
        }
        std::sort(candidates.begin(), candidates.end());
        auto total = wave.rule.deadline - now;
        for (const auto& [load, id] : candidates) {
            if (away >= wave.rule.maximumAtOnce)
                break;
            const auto& instance = instances_.at(id);
            auto& ofPool = awayOfPool[instance.pool];
            auto pool = state_.find(instance.pool);
            auto size = pool == state_.end() ? 0 : pool->second.size;
            auto limit = std::max<size_t>(1, static_cast<size_t>(options_.cordonedShare * static_cast<double>(size)));
            if (load > 0 && ofPool >= limit && total > Milliseconds { 6000 })
                continue;
            intents_[id] = { { InstanceOrder::Type::Maintain, id, {}, number }, now, std::nullopt };
            ++away;
            ++ofPool;
        }
    }
}

std::string InstancePlanner::standbyPool(const FleetInstance& instance) const
{
    for (const auto& [name, rule] : pools_)
        if (rule.standby && mayJoin(instance, name))
            return name;
    return {};
}

bool InstancePlanner::mayJoin(const FleetInstance& instance, const std::string& pool) const
{
    return impossible_.count({ instance.kind, pool }) == 0;
}

// When the pools want more instances than there are, each gets what its lasting tasks need and an equal share of the
// rest of its wish; otherwise the pool that rose first would keep all of them.
void InstancePlanner::shareScarceInstances()
{
    size_t total = 0;
    for (const auto& [id, instance] : instances_)
        if (instance.state != FleetInstance::State::Down)
            ++total;
    size_t wanted = 0;
    size_t least = 0;
    for (const auto& [name, pool] : state_)
        if (auto rule = pools_.find(name); rule != pools_.end() && !rule->second.standby) {
            wanted += pool.want;
            least += std::min(pool.least, pool.want);
        }
    if (wanted <= total || wanted == least)
        return;
    double share = total <= least ? 0 : static_cast<double>(total - least) / static_cast<double>(wanted - least);
    std::vector<std::pair<double, Pool*>> remainders;
    size_t given = 0;
    for (auto& [name, pool] : state_) {
        auto rule = pools_.find(name);
        if (rule == pools_.end() || rule->second.standby)
            continue;
        auto base = std::min(pool.least, pool.want);
        double part = share * static_cast<double>(pool.want - base);
        pool.want = base + static_cast<size_t>(std::floor(part));
        given += pool.want;
        remainders.emplace_back(part - std::floor(part), &pool);
    }
    // What rounding has left goes to the largest remainders.
    std::sort(remainders.begin(), remainders.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    for (auto& [remainder, pool] : remainders)
        if (given < total && remainder > 0) {
            ++pool->want;
            ++given;
        }
}

// Instances for pools that need more: its own that are being emptied, idle ones that another pool does not need, those
// that are switched off, and at last busy ones of pools that have more than they want.
void InstancePlanner::planGrowth(Instant now)
{
    std::vector<std::pair<double, std::string>> poor;
    for (const auto& [name, pool] : state_) {
        auto rule = pools_.find(name);
        if (rule != pools_.end() && !rule->second.standby && fresh(name, now) && pool.size < pool.want)
            poor.emplace_back(static_cast<double>(pool.size) / static_cast<double>(pool.want), name);
    }
    std::sort(poor.begin(), poor.end());
    for (const auto& [share, name] : poor) {
        takeBack(name);
        takeInstances(name, false, now);
        takeInstances(name, true, now);
        takeBusy(name, now);
    }
}

void InstancePlanner::takeBack(const std::string& name)
{
    auto& pool = state_.at(name);
    for (auto item = intents_.begin(); item != intents_.end() && pool.size < pool.want;) {
        auto instance = instances_.find(item->first);
        bool ours = !item->second.orderedAt && item->second.order.type == InstanceOrder::Type::Move
            && instance != instances_.end() && instance->second.pool == name && outOfService_.count(item->first) == 0;
        if (ours) {
            auto target = state_.find(item->second.order.pool);
            if (target != state_.end() && target->second.size > 0)
                --target->second.size;
            ++pool.size;
        }
        item = ours ? intents_.erase(item) : std::next(item);
    }
}

void InstancePlanner::takeInstances(const std::string& name, bool switchedOff, Instant now)
{
    auto& pool = state_.at(name);
    for (const auto& [id, instance] : instances_) {
        if (pool.size >= pool.want)
            return;
        auto rule = pools_.find(instance.pool);
        if (rule == pools_.end() || rule->second.standby != switchedOff || instance.pool == name
            || instance.state != FleetInstance::State::Up || intents_.count(id) != 0 || outOfService_.count(id) != 0
            || !mayJoin(instance, name))
            continue;
        if (!switchedOff) {
            const auto* load = loadOf(instance);
            auto& from = state_.at(instance.pool);
            if (!load || load->runs > 0 || load->draining || !fresh(instance.pool, now) || from.size <= from.want)
                continue;
            --from.size;
        }
        intents_[id] = { { InstanceOrder::Type::Move, id, name, 0 }, now, std::nullopt };
        ++pool.size;
    }
}

// The instance of a pool that is empty soonest; none with lasting tasks, which would have to leave one after another.
const std::string* InstancePlanner::leastLoaded(const std::string& pool, const std::string& target, Instant now) const
{
    const std::string* best = nullptr;
    uint32_t bestRuns = 0;
    if (!fresh(pool, now))
        return nullptr;
    for (const auto& [id, instance] : instances_) {
        if (instance.pool != pool || instance.state != FleetInstance::State::Up || intents_.count(id) != 0
            || outOfService_.count(id) != 0 || !mayJoin(instance, target))
            continue;
        const auto* load = loadOf(instance);
        if (!load || load->draining || load->lastingRuns > 0 || (best && load->runs >= bestRuns))
            continue;
        best = &id;
        bestRuns = load->runs;
    }
    return best;
}

void InstancePlanner::takeBusy(const std::string& name, Instant now)
{
    auto& pool = state_.at(name);
    for (auto& [fromName, from] : state_) {
        auto rule = pools_.find(fromName);
        if (fromName == name || rule == pools_.end() || rule->second.standby)
            continue;
        while (pool.size < pool.want && from.size > from.want) {
            const auto* id = leastLoaded(fromName, name, now);
            if (!id)
                break;
            intents_[*id] = { { InstanceOrder::Type::Move, *id, name, 0 }, now, std::nullopt };
            --from.size;
            ++pool.size;
        }
    }
}

// Instances beyond the need are emptied and switched off.
void InstancePlanner::planShrinking(Instant now)
{
    // Before the first jobs nothing is known of the demand, and the sizes given by the operator are the best guess.
    for (const auto& [name, pool] : state_)
        demandSeen_ = demandSeen_ || pool.report.requiredCores > 0;
    if (!demandSeen_)
        return;
    for (auto& [name, pool] : state_) {
        auto rule = pools_.find(name);
        if (rule == pools_.end() || rule->second.standby)
            continue;
        if (pool.size <= pool.want) {
            pool.surplusSince = now;
            continue;
        }
        if (now - pool.surplusSince < options_.surplusPause)
            continue;
        while (pool.size > pool.want) {
            const auto* id = leastLoaded(name, {}, now);
            auto standby = id ? standbyPool(instances_.at(*id)) : std::string();
            if (standby.empty())
                break;
            intents_[*id] = { { InstanceOrder::Type::Move, *id, standby, 0 }, now, std::nullopt };
            --pool.size;
        }
    }
}

} // namespace shallotdrift
