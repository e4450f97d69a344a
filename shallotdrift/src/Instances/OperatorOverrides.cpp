#include "OperatorOverrides.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallotdrift {

using nlohmann::json;

// Prefixes of the records. The partition also holds jobs, whose keys are hexadecimal and cannot collide.
static constexpr std::string_view loanPrefix = "loan/";
static constexpr std::string_view drainPrefix = "drain/";
// By default a wave or drain empties one in this many of its instances at the same time.
static constexpr size_t instancesPerParallelDrain = 4;

static std::string keyOf(std::string_view prefix, const std::string& id) { return std::string(prefix) + id; }

static bool isStandby(const std::map<std::string, PoolConfiguration>& pools, const std::string& name)
{
    auto pool = pools.find(name);
    return pool != pools.end() && pool->second.standby;
}

static bool hasStandby(const std::map<std::string, PoolConfiguration>& pools)
{
    return std::any_of(pools.begin(), pools.end(), [](const auto& entry) { return entry.second.standby; });
}

OperatorOverrides::OperationResult OperatorOverrides::checkLoan(
    const PoolLoan& loan, const InstancePlanner& planner) const
{
    const auto& pools = planner.pools();
    for (const auto& name : { loan.fromPool, loan.toPool })
        if (!name.empty() && pools.count(name) == 0)
            return { ResultCode::NotFound, "no such pool: " + name };
    if (loan.toPool.empty() || loan.fromPool == loan.toPool || isStandby(pools, loan.toPool))
        return { ResultCode::InvalidCommand,
            "the borrowing pool must be named, must not be a standby pool and must differ from the lending pool" };
    if (loan.count == 0)
        return { ResultCode::InvalidCommand, "invalid count: expected at least 1" };
    size_t switchedOff = 0;
    for (const auto& [id, instance] : planner.instances())
        if (isStandby(pools, instance.pool) && instance.state == FleetInstance::State::Up)
            ++switchedOff;
    bool anyPool = loan.fromPool.empty() || isStandby(pools, loan.fromPool);
    size_t lendable = 0;
    for (const auto& pool : planner.poolViews())
        if (pool.name != loan.toPool && (anyPool || pool.name == loan.fromPool) && pool.size > pool.minimumSize)
            lendable += pool.size - pool.minimumSize;
    size_t available = lendable + (anyPool ? switchedOff : 0);
    if (available < loan.count)
        return { ResultCode::BudgetExceeded,
            fmt::format("{} instances can be lent: {} that are switched off and {} that long-running tasks do not need",
                available, anyPool ? switchedOff : 0, lendable) };
    return {};
}

OperatorOverrides::OperationResult OperatorOverrides::lend(const PoolLoan& loan, const InstancePlanner& planner)
{
    auto result = checkLoan(loan, planner);
    if (result.code != ResultCode::Ok)
        return result;
    loans_[loan.id] = loan;
    changedKeys_.insert(keyOf(loanPrefix, loan.id));
    return {};
}

OperatorOverrides::OperationResult OperatorOverrides::returnLent(const std::string& pool)
{
    size_t returned = 0;
    for (auto loan = loans_.begin(); loan != loans_.end();) {
        bool ends = pool.empty() || loan->second.toPool == pool;
        if (ends) {
            changedKeys_.insert(keyOf(loanPrefix, loan->first));
            ++returned;
        }
        loan = ends ? loans_.erase(loan) : std::next(loan);
    }
    if (returned == 0)
        return { ResultCode::NothingToDo, "no instance is on loan" };
    return { ResultCode::Ok, fmt::format("{} loans ended", returned) };
}

std::set<std::string> OperatorOverrides::select(const Selection& selection, const InstancePlanner& planner)
{
    std::set<std::string> selected;
    for (const auto& [id, instance] : planner.instances()) {
        bool named = selection.instances.empty()
            || std::find(selection.instances.begin(), selection.instances.end(), id) != selection.instances.end();
        if (named && (selection.pool.empty() || instance.pool == selection.pool)
            && (selection.zone.empty() || instance.zone == selection.zone))
            selected.insert(id);
    }
    return selected;
}

OperatorOverrides::OperationResult OperatorOverrides::checkDrain(
    const Selection& selection, bool wave, const InstancePlanner& planner) const
{
    const auto& pools = planner.pools();
    if (wave && !hasStandby(pools))
        return { ResultCode::WrongState,
            "a wave restarts instances by moving them to a standby pool, but no pool is a standby pool" };
    for (const auto& id : selection.instances)
        if (planner.instances().count(id) == 0)
            return { ResultCode::NotFound, "no such instance: " + id };
    auto selected = select(selection, planner);
    if (selected.empty())
        return { ResultCode::NothingToDo, "no instance matches the selection" };
    for (const auto& [id, other] : drains_)
        for (const auto& instance : other.instances)
            if (!other.completed() && selected.count(instance) != 0)
                return { ResultCode::Conflict,
                    fmt::format("instance {} already belongs to the wave or drain {}", instance, id) };
    if (!wave) {
        auto out = outOfService();
        out.insert(selected.begin(), selected.end());
        auto left = static_cast<size_t>(
            std::count_if(planner.instances().begin(), planner.instances().end(), [&](const auto& entry) {
                return entry.second.state != FleetInstance::State::Down && out.count(entry.first) == 0;
            }));
        size_t minimum = 0;
        for (const auto& pool : planner.poolViews())
            minimum += isStandby(pools, pool.name) ? 0 : pool.minimumSize;
        if (left < minimum)
            return { ResultCode::BudgetExceeded,
                fmt::format("{} instances would be left in service, but long-running tasks need {}", left, minimum) };
    }
    return { ResultCode::Ok, fmt::format("{} instances", selected.size()) };
}

OperatorOverrides::OperationResult OperatorOverrides::drain(const std::string& id, const Selection& selection,
    bool wave, uint32_t maximumParallel, const InstancePlanner& planner)
{
    auto result = checkDrain(selection, wave, planner);
    if (result.code != ResultCode::Ok)
        return result;
    auto& drain = drains_[id];
    drain.id = id;
    drain.instances = select(selection, planner);
    drain.maximumParallel = maximumParallel != 0
        ? maximumParallel
        : std::max<uint32_t>(1, static_cast<uint32_t>(drain.instances.size() / instancesPerParallelDrain));
    drain.wave = wave;
    changedKeys_.insert(keyOf(drainPrefix, id));
    return result;
}

OperatorOverrides::OperationResult OperatorOverrides::changeWave(const std::string& id, WaveChange change)
{
    auto found = drains_.find(id);
    if (found == drains_.end())
        return { ResultCode::NotFound, "no such wave or drain: " + id };
    changedKeys_.insert(keyOf(drainPrefix, id));
    if (change == WaveChange::Abort)
        drains_.erase(found);
    else
        found->second.paused = change == WaveChange::Pause;
    return {};
}

void OperatorOverrides::markDrained(const InstancePlanner& planner)
{
    const auto& pools = planner.pools();
    bool standby = hasStandby(pools);
    for (auto& [id, drain] : drains_)
        for (const auto& name : drain.instances) {
            if (drain.drained.count(name) != 0)
                continue;
            auto instance = planner.instances().find(name);
            bool drained = instance == planner.instances().end()
                || (standby ? isStandby(pools, instance->second.pool) : planner.isEmpty(instance->second));
            if (!drained)
                continue;
            drain.drained.insert(name);
            changedKeys_.insert(keyOf(drainPrefix, id));
        }
}

std::set<std::string> OperatorOverrides::outOfService() const
{
    std::set<std::string> out;
    for (const auto& [id, drain] : drains_) {
        uint32_t inProgress = 0;
        for (const auto& name : drain.instances)
            if (drain.drained.count(name) != 0 ? !drain.wave : !drain.paused && inProgress++ < drain.maximumParallel)
                out.insert(name);
    }
    return out;
}

std::vector<PoolLoan> OperatorOverrides::loans() const
{
    std::vector<PoolLoan> loans;
    for (const auto& [id, loan] : loans_)
        loans.push_back(loan);
    return loans;
}

std::vector<OperatorOverrides::Record> OperatorOverrides::takeChangedRecords()
{
    std::vector<Record> records;
    for (const auto& key : changedKeys_) {
        auto slash = key.find('/') + 1;
        auto id = key.substr(slash);
        std::string value;
        if (auto loan = loans_.find(id); key.compare(0, slash, loanPrefix) == 0 && loan != loans_.end())
            value = json::array({ loan->second.fromPool, loan->second.toPool, loan->second.count }).dump();
        if (auto drain = drains_.find(id); key.compare(0, slash, drainPrefix) == 0 && drain != drains_.end())
            value = json::array({ drain->second.instances, drain->second.drained, drain->second.maximumParallel,
                                    drain->second.wave, drain->second.paused })
                        .dump();
        records.emplace_back(key, std::move(value));
    }
    changedKeys_.clear();
    return records;
}

bool OperatorOverrides::restore(const std::string& key, const std::string& value)
{
    bool loan = key.compare(0, loanPrefix.size(), loanPrefix) == 0;
    bool drain = key.compare(0, drainPrefix.size(), drainPrefix) == 0;
    if (!loan && !drain)
        return false;
    auto id = key.substr(key.find('/') + 1);
    try {
        auto row = json::parse(value);
        if (loan)
            loans_[id] = { id, row.at(0).get<std::string>(), row.at(1).get<std::string>(), row.at(2).get<uint32_t>() };
        else
            drains_[id] = { id, row.at(0).get<std::set<std::string>>(), row.at(1).get<std::set<std::string>>(),
                row.at(2).get<uint32_t>(), row.at(3).get<bool>(), row.at(4).get<bool>() };
    } catch (const json::exception&) {
        return false; // logged by the caller with the key
    }
    return true;
}

} // namespace shallotdrift
