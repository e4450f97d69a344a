#include "Names.h"
#include "RecordHandlers.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallotdrift::internal {

static InstanceShape shapeFrom(const proto::InstanceShape& shape)
{
    return { shape.cores(), shape.memory_mb(), shape.accelerators(), shape.slots(), shape.connections() };
}

static bool sameShape(const InstanceShape& a, const InstanceShape& b)
{
    return a.cores == b.cores && a.memoryMegabytes == b.memoryMegabytes && a.accelerators == b.accelerators
        && a.slots == b.slots && a.connections == b.connections;
}

static bool isValid(const proto::InstanceObserved& observed)
{
    return isValidName(observed.instance()) && isValidName(observed.zone()) && isShortText(observed.address())
        && isShortText(observed.rack());
}

static Verdict checkFirstSight(const FleetState& state, const proto::InstanceObserved& observed)
{
    if (!state.configuration.zones.count(observed.zone()))
        return refused(ResultCode::NotFound, "no zone " + observed.zone() + " in the configuration");
    if (!state.configuration.pools.count(observed.pool()))
        return refused(ResultCode::NotFound, "no pool " + observed.pool() + " in the configuration");
    if (state.instances.size() >= maximumInstances)
        return refused(ResultCode::TooLarge, fmt::format("{} instances", maximumInstances));
    return accepted();
}

static Verdict addInstance(FoldData& data, const proto::InstanceObserved& observed, Offset offset)
{
    auto verdict = checkFirstSight(data.state, observed);
    if (verdict.code != ResultCode::Ok)
        return verdict;
    Instance instance;
    instance.id = observed.instance();
    instance.address = observed.address();
    instance.zone = observed.zone();
    instance.rack = observed.rack();
    instance.homePool = observed.pool();
    instance.pool = observed.pool();
    instance.epoch = data.epochFloor + 1;
    instance.shape = shapeFrom(observed.shape());
    instance.changedOffset = offset;
    data.state.instances.emplace(instance.id, std::move(instance));
    return accepted(
        fmt::format("pool {}: {} available", observed.pool(), availableInPool(data.state, observed.pool())));
}

static bool differs(const Instance& instance, const proto::InstanceObserved& observed)
{
    return instance.lost || instance.leaving || instance.address != observed.address()
        || instance.rack != observed.rack() || instance.zone != observed.zone()
        || !sameShape(instance.shape, shapeFrom(observed.shape()));
}

// Another zone means another gate, so that the zone changes only while no entry can be sending to the instance. The
// rack stays while work is under way, as the rule on one rack at a time rests on it.
static bool mayChangePlace(const Instance& instance, const proto::InstanceObserved& observed)
{
    if (!instance.operationId.empty())
        return instance.zone == observed.zone() && instance.rack == observed.rack();
    return instance.zone == observed.zone() || instance.lost;
}

static Verdict updateInstance(Instance& instance, const proto::InstanceObserved& observed, Offset offset)
{
    if (!differs(instance, observed))
        return refused(ResultCode::NothingToDo);
    if (!mayChangePlace(instance, observed))
        return refused(ResultCode::Conflict, fmt::format("known in zone {}, rack {}", instance.zone, instance.rack));
    // The new epoch outdates reports of the loss that are still on their way. Work under way keeps its epoch.
    if (instance.lost && instance.operationId.empty())
        ++instance.epoch;
    instance.address = observed.address();
    instance.zone = observed.zone();
    instance.rack = observed.rack();
    instance.shape = shapeFrom(observed.shape());
    instance.lost = false;
    instance.leaving = false;
    instance.changedOffset = offset;
    return accepted(fmt::format("epoch {}", instance.epoch));
}

Verdict foldInstanceObserved(FoldData& data, const RecordContext& context)
{
    const auto& observed = context.record.instance_observed();
    if (!isValid(observed))
        return refused(ResultCode::InvalidRecord, "instance and zone have 1 to 128 bytes");
    auto known = data.state.instances.find(observed.instance());
    if (known == data.state.instances.end())
        return addInstance(data, observed, context.offset);
    return updateInstance(known->second, observed, context.offset);
}

void forgetInstance(FoldData& data, const std::string& id)
{
    auto instance = data.state.instances.find(id);
    data.epochFloor = std::max(data.epochFloor, instance->second.epoch);
    data.state.instances.erase(instance);
    giveUpPending(data, id);
}

void giveUpIfLost(FoldData& data, const std::string& id)
{
    const auto& instance = data.state.instances.at(id);
    if (instance.lost && instance.operationId.empty())
        giveUpPending(data, id);
}

static void forgetOldestLost(FoldData& data)
{
    size_t count = 0;
    const Instance* oldest = nullptr;
    for (const auto& [id, instance] : data.state.instances) {
        if (!instance.lost || !instance.operationId.empty())
            continue;
        ++count;
        if (!oldest || instance.changedOffset < oldest->changedOffset)
            oldest = &instance;
    }
    if (count > maximumLostInstances)
        forgetInstance(data, std::string(oldest->id));
}

Verdict foldInstanceLost(FoldData& data, const RecordContext& context)
{
    const auto& report = context.record.instance_lost();
    auto known = data.state.instances.find(report.instance());
    if (known == data.state.instances.end())
        return refused(ResultCode::NotFound);
    auto& instance = known->second;
    if (report.expected_epoch() != instance.epoch)
        return refused(
            ResultCode::StaleEpoch, fmt::format("epoch {}, expected {}", instance.epoch, report.expected_epoch()));
    if (instance.lost || (report.leaving() && instance.leaving))
        return refused(ResultCode::NothingToDo);
    (report.leaving() ? instance.leaving : instance.lost) = true;
    instance.changedOffset = context.offset;
    std::string pool = instance.pool;
    if (instance.lost && instance.operationId.empty()) {
        giveUpPending(data, report.instance());
        forgetOldestLost(data);
    }
    return accepted(fmt::format("pool {}: {} available", pool, availableInPool(data.state, pool)));
}

} // namespace shallotdrift::internal
