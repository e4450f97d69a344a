// Decisions of the scheduler in a second: submissions with the reports of their attempts, on a pool at its limit.
// Usage: bench-SchedulerBench [REQUESTS]
#include "shallotdrift/Policy.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <queue>

using namespace shallotdrift; // NOLINT(google-build-using-namespace)

static FleetConfiguration benchConfiguration()
{
    FleetConfiguration configuration;
    for (const char* name : { "urgent", "normal", "bulk" }) {
        auto& kind = configuration.kinds[name];
        kind.name = name;
        kind.pool = "pool";
        kind.guaranteedShare = 0.3;
        kind.expectedRuntime = Milliseconds { 100 };
    }
    configuration.kinds["urgent"].urgency = Urgency::Urgent;
    configuration.kinds["bulk"].urgency = Urgency::Bulk;
    return configuration;
}

int main(int argc, char** argv)
{
    const uint64_t requests = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 500000;
    constexpr unsigned instanceCount = 12;
    constexpr unsigned slots = 8;
    constexpr Duration runtime = std::chrono::milliseconds(100);
    // A tenth more than the pool can run, so that the queues are never empty and refusals occur.
    constexpr Duration interval = runtime / (instanceCount * slots) * 10 / 11;
    const std::vector<std::string> kinds { "urgent", "normal", "bulk" };

    Scheduler scheduler(SchedulerOptions {});
    SchedulerEffects effects;
    scheduler.setConfiguration(benchConfiguration(), Instant {});
    std::vector<UsableInstance> instances;
    for (unsigned i = 0; i < instanceCount; ++i)
        instances.push_back({ "w" + std::to_string(i), "pool", "a", 1, slots });
    scheduler.setInstances(instances, Instant {}, effects);

    std::queue<std::pair<Instant, uint64_t>> running;
    uint64_t decisions = 0;
    uint64_t refused = 0;
    auto drain = [&](Instant now) {
        for (const auto& dispatch : effects.dispatches)
            running.emplace(now + runtime, dispatch.attempt);
        decisions += effects.dispatches.size() + effects.refusals.size() + effects.completions.size();
        refused += effects.refusals.size();
        effects = {};
    };
    auto begin = std::chrono::steady_clock::now();
    Instant now {};
    for (uint64_t id = 1; id <= requests; ++id) {
        now += interval;
        while (!running.empty() && running.front().first <= now) {
            auto attempt = running.front().second;
            running.pop();
            scheduler.report({ attempt, ResultCode::Ok, true, runtime }, now, effects);
            drain(now);
        }
        WorkRequest request;
        request.id = id;
        request.kind = kinds[id % kinds.size()];
        request.deadline = now + std::chrono::seconds(1);
        scheduler.submit(request, now, effects);
        drain(now);
    }
    auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    std::cout << requests << " requests, " << refused << " refused, " << decisions << " decisions in " << seconds
              << " s: " << static_cast<uint64_t>(static_cast<double>(decisions) / seconds) << " decisions/s\n";
    return 0;
}
