#include "FleetProtocol.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shallotdrift::internal {

using nlohmann::json;

// Key of the manager's fencing token beside the cordoned instances. No instance has an empty id, and earlier versions
// skip values that are no strings.
static constexpr char managerTokenKey[] = "";

std::string encodeCordons(const std::map<std::string, std::string>& cordoned,
    const std::set<std::string>& maintenanceDue, uint64_t managerToken)
{
    json cordons { { managerTokenKey, managerToken } };
    for (const auto& [instance, pool] : cordoned)
        cordons[instance] = pool;
    return json::array({ std::move(cordons), maintenanceDue }).dump();
}

std::set<std::string> parseStringSet(const json& list)
{
    std::set<std::string> names;
    for (const auto& name : list)
        if (name.is_string())
            names.insert(name.get<std::string>());
    return names;
}

static std::map<std::string, std::string> parseStringMap(const json& object)
{
    std::map<std::string, std::string> values;
    for (const auto& [name, value] : object.items())
        if (value.is_string())
            values[name] = value.get<std::string>();
    return values;
}

// Adds a worker to the load of its instance. An instance that has just restarted may have two workers, because that of
// the earlier incarnation is still known. The instance counts as cordoned only if all its workers are cordoned, and
// only once this is stored: otherwise a next owner could already have placed runs there.
static void addLoad(PoolReport::WorkerLoad& load, const Worker& worker, const ServiceScheduler& scheduler)
{
    bool first = load.instance.empty();
    load.instance = worker.info.instance;
    load.runs += static_cast<uint32_t>(worker.runs.size());
    // A worker on which long-running tasks hold room is no more available for a move than one that runs them.
    load.longRunningRuns += static_cast<uint32_t>(scheduler.holds().countOn(worker.info.id)
        + static_cast<size_t>(std::count_if(
            worker.runs.begin(), worker.runs.end(), [](const auto& entry) { return entry.second.longRunning; })));
    load.cordoned = worker.cordoned && scheduler.cordons().isStored(worker.info.instance) && (first || load.cordoned);
    load.draining = load.draining || worker.info.draining;
}

PoolReport makePoolReport(const ServiceScheduler& scheduler, const Now& now)
{
    PoolReport report;
    auto demand = scheduler.demand(now);
    report.service = scheduler.service();
    report.allocatedCores = demand.allocatedCores;
    report.longRunningCores = demand.longRunningCores;
    report.waitingCores = demand.waitingCores;
    report.requiredCores = demand.requiredCores;
    report.overdueCores = demand.overdueCores;
    report.minimumWorkers = demand.minimumWorkers;
    report.longRunningMemory = demand.longRunningMemory;
    report.requiredMemory = demand.requiredMemory;
    std::map<std::string, PoolReport::WorkerLoad> loads;
    for (const auto& [id, worker] : scheduler.workers())
        if (!worker.info.instance.empty() && (worker.registered || !worker.runs.empty()))
            addLoad(loads[worker.info.instance], worker, scheduler);
    for (auto& [instance, load] : loads)
        report.workers.push_back(std::move(load));
    return report;
}

static json encodePoolReport(const PoolReport& report)
{
    auto workers = json::array();
    for (const auto& load : report.workers)
        workers.push_back(
            json::array({ load.instance, load.runs, load.longRunningRuns, load.cordoned, load.draining }));
    return json::array({ report.service, report.allocatedCores, report.longRunningCores, report.waitingCores,
        report.requiredCores, report.minimumWorkers, std::move(workers), report.longRunningMemory,
        report.requiredMemory, report.overdueCores });
}

std::string applyCordons(std::string_view body, const std::map<uint32_t, std::shared_ptr<OwnedPartition>>& owned,
    bool ownershipConfirmed, const Now& now)
{
    auto message = json::parse(body, nullptr, false);
    if (!message.is_array() || message.size() != 2 || !message[0].is_object())
        return json::array().dump();
    auto cordons = parseStringMap(message[0]);
    auto maintenanceDue = parseStringSet(message[1]);
    auto token = message[0].find(managerTokenKey);
    uint64_t managerToken = token != message[0].end() && token->is_number_unsigned() ? token->get<uint64_t>() : 0;
    auto pools = json::array();
    for (const auto& [number, partition] : owned) {
        if (!partition->active())
            continue;
        for (auto& [name, service] : partition->services()) {
            bool current
                = service->scheduler.setCordons(cordons, maintenanceDue, now.steady + Cordons::lifetime, managerToken);
            if (current && ownershipConfirmed)
                pools.push_back(encodePoolReport(makePoolReport(service->scheduler, now)));
        }
        partition->runSchedulingCycle(); // new cordons may require evictions
    }
    return pools.dump();
}

std::vector<PoolReport> decodePoolReports(std::string_view body, Instant requestedAt)
{
    std::vector<PoolReport> reports;
    try {
        for (const auto& row : json::parse(body)) {
            PoolReport report;
            report.requestedAt = requestedAt;
            report.service = row.at(0).get<std::string>();
            report.allocatedCores = row.at(1).get<double>();
            report.longRunningCores = row.at(2).get<double>();
            report.waitingCores = row.at(3).get<double>();
            report.requiredCores = row.at(4).get<double>();
            report.minimumWorkers = row.at(5).get<uint32_t>();
            for (const auto& worker : row.at(6))
                report.workers.push_back({ worker.at(0).get<std::string>(), worker.at(1).get<uint32_t>(),
                    worker.at(2).get<uint32_t>(), worker.at(3).get<bool>(), worker.at(4).get<bool>() });
            report.longRunningMemory = row.at(7).get<double>();
            report.requiredMemory = row.at(8).get<double>();
            report.overdueCores = row.at(9).get<double>();
            reports.push_back(std::move(report));
        }
    } catch (const json::exception&) {
        return {}; // as if there were no response: the earlier reports remain and age
    }
    return reports;
}

} // namespace shallotdrift::internal
