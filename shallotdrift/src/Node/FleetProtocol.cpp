#include "FleetProtocol.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shallotdrift::internal {

using nlohmann::json;

// Key of the manager's fencing token beside the cordoned instances. No instance has an empty id, and earlier versions
// skip values that are no strings.
static constexpr char managerTokenKey[] = "";
// Key of the quotas, also no id of an instance: [round, {service: [token of the owner, [part ...]]}].
static constexpr char quotasKey[] = " quotas";

static void appendResources(json& row, const Resources& resources)
{
    row.push_back(resources.milliCores);
    row.push_back(resources.memoryMegabytes);
    row.push_back(resources.accelerators);
}

// Reads the resources that begin at the column, and moves the column on.
static Resources readResources(const json& row, size_t& column)
{
    Resources resources;
    for (auto* amount : { &resources.milliCores, &resources.memoryMegabytes, &resources.accelerators })
        *amount = row.at(column++).get<int64_t>();
    return resources;
}

static json encodeQuotas(const QuotaMessage& message)
{
    auto offers = json::object();
    for (const auto& [service, offer] : message.offers) {
        auto parts = json::array();
        for (const auto& part : offer.parts) {
            auto row = json::array({ part.account });
            appendResources(row, part.lent);
            appendResources(row, part.quota);
            parts.push_back(std::move(row));
        }
        offers[service] = json::array({ offer.ownerToken, std::move(parts) });
    }
    return json::array({ message.round, std::move(offers) });
}

// Returns nullopt if the message has no quotas or they are unreadable.
static std::optional<QuotaMessage> decodeQuotas(const json& cordons)
{
    auto encoded = cordons.find(quotasKey);
    if (encoded == cordons.end())
        return std::nullopt;
    try {
        QuotaMessage message;
        message.round = encoded->at(0).get<uint64_t>();
        for (const auto& [service, row] : encoded->at(1).items()) {
            auto& offer = message.offers[service];
            offer.ownerToken = row.at(0).get<uint64_t>();
            for (const auto& encodedPart : row.at(1)) {
                size_t column = 0;
                QuotaPart part { encodedPart.at(column++).get<std::string>() };
                part.lent = readResources(encodedPart, column);
                part.quota = readResources(encodedPart, column);
                offer.parts.push_back(std::move(part));
            }
        }
        return message;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

static void applyQuotas(
    ServiceScheduler& scheduler, uint64_t ownerToken, const QuotaMessage& message, uint64_t managerToken)
{
    auto offer = message.offers.find(scheduler.service());
    bool addressed = offer != message.offers.end() && offer->second.ownerToken == ownerToken;
    scheduler.quotas().applyParts(
        { managerToken, message.round }, addressed ? offer->second.parts : std::vector<QuotaPart> {});
}

// [token of the owner, number of the message that was applied last, [holding ...]]
static json encodeHoldings(const QuotaLedger& ledger, uint64_t ownerToken, uint64_t managerToken)
{
    auto holdings = json::array();
    for (const auto& holding : ledger.holdings()) {
        auto row = json::array({ holding.account });
        for (const auto* resources : { &holding.lent, &holding.used, &holding.wanted, &holding.unit })
            appendResources(row, *resources);
        holdings.push_back(std::move(row));
    }
    const auto& round = ledger.lastRound();
    return json::array({ ownerToken, round.managerToken == managerToken ? round.number : 0, std::move(holdings) });
}

static QuotaAllocator::Report decodeHoldings(const std::string& service, const json& encoded)
{
    QuotaAllocator::Report report { service, encoded.at(0).get<uint64_t>(), encoded.at(1).get<uint64_t>() };
    for (const auto& row : encoded.at(2)) {
        size_t column = 0;
        QuotaHolding holding { row.at(column++).get<std::string>() };
        for (auto* resources : { &holding.lent, &holding.used, &holding.wanted, &holding.unit })
            *resources = readResources(row, column);
        report.holdings.push_back(std::move(holding));
    }
    return report;
}

std::string encodeCordons(const std::map<std::string, std::string>& cordoned,
    const std::set<std::string>& maintenanceDue, uint64_t managerToken, const std::optional<QuotaMessage>& quotas)
{
    json cordons { { managerTokenKey, managerToken } };
    if (quotas)
        cordons[quotasKey] = encodeQuotas(*quotas);
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
    auto quotas = decodeQuotas(message[0]);
    auto pools = json::array();
    for (const auto& [number, partition] : owned) {
        if (!partition->active())
            continue;
        for (auto& [name, service] : partition->services()) {
            bool current
                = service->scheduler.setCordons(cordons, maintenanceDue, now.steady + Cordons::lifetime, managerToken);
            if (current && quotas)
                applyQuotas(service->scheduler, partition->fencingToken(), *quotas, managerToken);
            if (!current || !ownershipConfirmed)
                continue;
            pools.push_back(encodePoolReport(makePoolReport(service->scheduler, now)));
            if (!quotas)
                continue;
            service->scheduler.updateQuotaHoldings(now);
            pools.back().push_back(
                encodeHoldings(service->scheduler.quotas(), partition->fencingToken(), managerToken));
        }
        partition->runSchedulingCycle(); // new cordons may require evictions
    }
    return pools.dump();
}

OwnerReports decodeOwnerReports(std::string_view body, Instant requestedAt)
{
    static constexpr size_t quotasColumn = 10; // earlier versions have fewer columns
    OwnerReports reports;
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
            if (row.size() > quotasColumn)
                reports.quotas.push_back(decodeHoldings(report.service, row[quotasColumn]));
            reports.pools.push_back(std::move(report));
        }
    } catch (const json::exception&) {
        return {}; // as if there were no response: the earlier reports remain and age
    }
    return reports;
}

} // namespace shallotdrift::internal
