#pragma once

#include "shallotdrift/Instances.h"

#include <algorithm>

namespace shallotdrift {

// Two pools of instances with 16 cores and one that is switched off. Orders take effect at once unless said
// otherwise.
struct FleetHarness {
    explicit FleetHarness(size_t standby = 4)
        : planner(PlannerOptions {})
    {
        planner.setPools({ { "checks", { "checks", false } }, { "ledgers", { "ledgers", false } },
            { "office", { "office", true } } });
        for (int i = 0; i < 3; ++i) {
            add("checks", "c" + std::to_string(i));
            add("ledgers", "l" + std::to_string(i));
        }
        for (size_t i = 0; i < standby; ++i)
            add("office", "o" + std::to_string(i));
    }

    void add(const std::string& pool, const std::string& id)
    {
        FleetInstance instance;
        instance.id = id;
        instance.pool = pool;
        instance.state = FleetInstance::State::Up;
        instance.instanceType = "a";
        instance.zone = id.back() % 2 == 0 ? "za" : "zb";
        instance.cores = 16;
        fleet.push_back(instance);
    }

    FleetInstance& find(const std::string& id)
    {
        return *std::find_if(
            fleet.begin(), fleet.end(), [&](const FleetInstance& instance) { return instance.id == id; });
    }

    size_t count(const std::string& pool) const
    {
        return static_cast<size_t>(std::count_if(
            fleet.begin(), fleet.end(), [&](const FleetInstance& instance) { return instance.pool == pool; }));
    }

    // The owners report what they need; runs are given for each instance that is not empty.
    void report(Instant askedAt)
    {
        for (const char* pool : { "checks", "ledgers" }) {
            PoolReport pools;
            pools.service = pool;
            pools.requiredCores = required[pool];
            pools.longRunningCores = 2;
            pools.requestedAt = askedAt;
            for (const auto& instance : fleet)
                if (instance.pool == pool)
                    pools.workers.push_back(
                        { instance.id, runs[instance.id], 0, planner.cordons().count(instance.id) != 0, false });
            planner.setReport(std::move(pools));
        }
    }

    std::vector<InstanceOrder> step(bool carryOut = true)
    {
        now += Milliseconds { 100 };
        planner.setInstances(fleet);
        report(now);
        auto orders = planner.plan(now);
        for (const auto& order : orders) {
            if (!carryOut)
                continue;
            if (order.type == InstanceOrder::Type::Move)
                find(order.instance).pool = order.pool;
            planner.onOrderResult(order, InstancePlanner::Outcome::Ok, now);
        }
        return orders;
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
    }

    InstancePlanner planner;
    std::vector<FleetInstance> fleet;
    std::map<std::string, double> required;
    std::map<std::string, uint32_t> runs;
    Instant now { Milliseconds { 1000000 } };
};

} // namespace shallotdrift
