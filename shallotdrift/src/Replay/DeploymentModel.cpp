#include "DeploymentModel.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <stdexcept>

namespace shallotdrift::internal {

static constexpr uint32_t slotsOfWorker = 8;
static constexpr uint32_t workersOfRack = 4;

static const DeploymentModel& chamber()
{
    static const DeploymentModel model { "chamber", { "ba-a", "ba-b", "ba-c", "ba-d" }, Microseconds { 1000 }, 0.8,
        { { "assessments", 12, 9, false, false }, { "risk", 10, 7 }, { "reports", 10, 7 }, { "archive", 10, 6 },
            { "accounts", 8, 3, true } },
        { { "assessment", "assessments", Urgency::Urgent, 0.8, Milliseconds { 180 }, Milliseconds { 1500 }, true, 400 },
            { "risk", "risk", Urgency::Normal, 0.6, Milliseconds { 400 }, Milliseconds { 5000 } },
            { "report", "reports", Urgency::Normal, 0.6, Milliseconds { 1200 }, Milliseconds { 20000 }, false },
            { "archive", "archive", Urgency::Bulk, 0.4, Milliseconds { 900 }, Milliseconds { 30000 }, true, 2000 },
            { "accounts", "accounts", Urgency::Normal, 0.3, Milliseconds { 120 }, Milliseconds { 5000 } } } };
    return model;
}

static const DeploymentModel& karoo()
{
    static const DeploymentModel model { "karoo", { "ct-1", "ct-2", "jb-1" }, Microseconds { 1500 }, 0.85,
        { { "orders", 12, 9, false, false }, { "picklists", 10, 7 }, { "ledgers", 10, 6 }, { "stock", 10, 7 },
            { "head-office", 8, 2, true } },
        { { "order", "orders", Urgency::Urgent, 0.8, Milliseconds { 250 }, Milliseconds { 8000 }, false, 600 },
            { "picklist", "picklists", Urgency::Urgent, 0.8, Milliseconds { 350 }, Milliseconds { 4000 }, true, 600 },
            { "ledger", "ledgers", Urgency::Bulk, 0.4, Milliseconds { 2000 }, Milliseconds { 30000 } },
            { "stock", "stock", Urgency::Normal, 0.6, Milliseconds { 150 }, Milliseconds { 5000 } },
            { "headoffice", "head-office", Urgency::Normal, 0.3, Milliseconds { 500 }, Milliseconds { 10000 } } } };
    return model;
}

const DeploymentModel* findDeployment(const std::string& name)
{
    for (const auto* model : { &chamber(), &karoo() }) {
        if (model->name == name)
            return model;
    }
    return nullptr;
}

static const char* nameOf(Urgency urgency)
{
    static const char* const names[] = { "urgent", "normal", "bulk" };
    return names[static_cast<size_t>(urgency)];
}

std::string DeploymentModel::ini() const
{
    std::string text;
    for (const auto& zone : zones)
        text += fmt::format("[zone {}]\nregion = home\n", zone);
    for (const auto& pool : pools)
        text += fmt::format("[pool {}]\nminimum_available = {}\nspare = {}\nlends = {}\n", pool.name, pool.minimum,
            pool.spare ? "yes" : "no", pool.lends ? "yes" : "no");
    for (const auto& work : kinds) {
        text += fmt::format("[kind {}]\npool = {}\nurgency = {}\nguaranteed_share = {:.2f}\ndefault_timeout_ms = {}\n"
                            "expected_runtime_ms = {}\nidempotent = {}\nqueue_limit = {}\n",
            work.name, work.pool, nameOf(work.urgency), work.guaranteedShare, work.timeout.count(),
            work.runtime.count(), work.idempotent ? "yes" : "no", work.queueLimit);
    }
    text += fmt::format(
        "[lending]\ntarget_utilization = {:.2f}\nminimum_hold_ms = 20000\nmaximum_concurrent_moves = 8\n",
        targetUtilization);
    return text;
}

std::vector<TraceInstance> DeploymentModel::instances() const
{
    std::vector<TraceInstance> result;
    uint32_t rack = 0;
    for (const auto& pool : pools) {
        for (uint32_t i = 0; i < pool.workers; ++i) {
            rack += i % workersOfRack == 0 ? 1 : 0;
            TraceInstance instance;
            instance.id = fmt::format("{}-{:02}", pool.name, i + 1);
            instance.zone = zones[rack % zones.size()];
            instance.rack = fmt::format("rack-{:02}", rack);
            instance.pool = pool.name;
            instance.slots = slotsOfWorker;
            result.push_back(std::move(instance));
        }
    }
    return result;
}

uint32_t DeploymentModel::slotsOf(const std::string& poolName) const
{
    for (const auto& pool : pools) {
        if (pool.name == poolName)
            return pool.workers * slotsOfWorker;
    }
    return 0;
}

const ModelKind& DeploymentModel::kind(const std::string& kindName) const
{
    auto position = std::find_if(
        kinds.begin(), kinds.end(), [&kindName](const auto& candidate) { return candidate.name == kindName; });
    if (position == kinds.end())
        throw std::out_of_range("no kind " + kindName);
    return *position;
}

const ModelKind& DeploymentModel::firstOf(Urgency urgency) const
{
    auto position = std::find_if(
        kinds.begin(), kinds.end(), [urgency](const auto& candidate) { return candidate.urgency == urgency; });
    if (position == kinds.end())
        throw std::out_of_range("no kind of the urgency");
    return *position;
}

void DeploymentModel::scale(unsigned percent)
{
    for (auto& pool : pools) {
        pool.workers = std::max(1U, (pool.workers * percent + 50) / 100);
        pool.minimum = pool.minimum * percent / 100;
    }
}

void DeploymentModel::sharePool()
{
    std::string urgent = firstOf(Urgency::Urgent).name;
    std::string bulk = firstOf(Urgency::Bulk).name;
    std::string normal = firstOf(Urgency::Normal).name;
    std::string pool = kind(urgent).pool;
    for (auto& shared : kinds) {
        if (shared.name != urgent && shared.name != bulk && shared.name != normal)
            continue;
        shared.pool = pool;
        shared.guaranteedShare = shared.name == urgent ? 0.5 : 0.2;
    }
}

} // namespace shallotdrift::internal
