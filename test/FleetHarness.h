#pragma once

#include "shallotdrift/Instances.h"

#include <algorithm>

namespace shallotdrift {

// Simulates a fleet for an InstancePlanner: two pools with three instances of 16 cores each, and a standby pool of
// switched-off instances.
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

    // Passes the reports of both pools to the planner, with the demand and runs that the test has set.
    void report(Instant requestedAt)
    {
        for (const char* pool : { "checks", "ledgers" }) {
            PoolReport poolReport;
            poolReport.service = pool;
            poolReport.requiredCores = required[pool];
            poolReport.overdueCores = overdue[pool];
            poolReport.longRunningCores = 2;
            poolReport.requestedAt = requestedAt;
            for (const auto& instance : fleet)
                if (instance.pool == pool)
                    poolReport.workers.push_back(
                        { instance.id, runs[instance.id], 0, planner.cordons().count(instance.id) != 0, false });
            planner.setReport(std::move(poolReport));
        }
    }

    // Advances the clock by 100 ms and plans once. With executeOrders, the orders take effect at once.
    std::vector<InstanceOrder> step(bool executeOrders = true)
    {
        now += Milliseconds { 100 };
        planner.setInstances(fleet);
        report(now);
        auto orders = planner.plan(now);
        for (const auto& order : orders) {
            if (!executeOrders)
                continue;
            if (order.type == InstanceOrder::Type::Move)
                find(order.instance).pool = order.pool;
            planner.onOrderResult(order, InstancePlanner::Outcome::Ok, now);
        }
        return orders;
    }

    // The orders of the first step that has any; they do not take effect.
    std::vector<InstanceOrder> stepUntilOrdered()
    {
        std::vector<InstanceOrder> orders;
        while (orders.empty())
            orders = step(false);
        return orders;
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
    }

    InstancePlanner planner;
    std::vector<FleetInstance> fleet;
    std::map<std::string, double> required; // cores, by pool
    std::map<std::string, double> overdue; // cores, part of those required, by pool
    std::map<std::string, uint32_t> runs; // by instance
    Instant now { Milliseconds { 1000000 } };
};

} // namespace shallotdrift
