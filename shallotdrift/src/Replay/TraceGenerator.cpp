#include "TraceGenerator.h"

#include "DeploymentModel.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <spdlog/fmt/fmt.h>

namespace shallotdrift {

using internal::DeploymentModel;
using internal::ModelKind;

namespace {

    // Mean demand of a kind, as part of its pool's slots: five times of it is more than the pool can hold.
    constexpr double meanUtilization = 0.28;
    constexpr double floodFactor = 5;
    constexpr double quietFactor = 0.05;
    // Spread of the run times: one in a hundred takes more than three times the mean.
    constexpr double runtimeSigma = 0.5;

    Microseconds atSecond(double seconds) { return Microseconds { std::llround(seconds * 1e6) }; }

    // Sampling that gives the same numbers with every standard library.
    class Sampler {
    public:
        explicit Sampler(uint64_t seed)
            : engine_(seed)
        {
        }

        // In (0, 1].
        double uniform() { return static_cast<double>((engine_() >> 11) + 1) / 9007199254740992.0; }
        double between(double low, double high) { return low + (high - low) * uniform(); }
        bool chance(double part) { return uniform() <= part; }
        double exponential(double mean) { return -mean * std::log(uniform()); }
        double lognormal(double mean, double sigma)
        {
            double normal = std::sqrt(-2 * std::log(uniform())) * std::cos(2 * M_PI * uniform());
            return mean * std::exp(sigma * normal - sigma * sigma / 2);
        }

    private:
        std::mt19937_64 engine_;
    };

    // A trace while its scenario is laid out.
    struct Draft {
        struct Stretch {
            std::string kind;
            double from = 0;
            double to = 0;
            double factor = 1; // of the mean demand
        };
        using Change = void (*)(TraceRequest&, Sampler&);

        DeploymentModel model;
        Sampler sampler;
        Trace trace;
        double baseFactor = quietFactor;
        std::vector<Stretch> stretches;
        double seconds = 0;
        double changeFrom = 0;
        Change change = nullptr; // of each request from changeFrom on

        void flood(const std::string& kind, double from, double to)
        {
            stretches.push_back({ kind, from, to, floodFactor });
            ++trace.floods;
        }
        void phase(const std::string& name, double from, double to)
        {
            trace.phases.push_back({ name, atSecond(from), atSecond(to) });
        }
        void event(TraceEvent::Action action, double second, TraceEvent selector = {})
        {
            selector.action = action;
            selector.at = atSecond(second);
            trace.events.push_back(std::move(selector));
        }
        // Floods of all queues one after the other; returns the end.
        double floodsInTurn(double from, double length, double gap)
        {
            for (const auto& kind : model.kinds) {
                flood(kind.name, from, from + length);
                from += length + gap;
            }
            return from;
        }
    };

    void queuesInTurn(Draft& draft)
    {
        double at = 10;
        for (int cycle = 1; cycle <= 3; ++cycle) {
            double end = draft.floodsInTurn(at, 20, 2);
            draft.phase(fmt::format("cycle {}", cycle), at, end);
            at = end;
        }
        draft.seconds = at;
    }

    void shortFloodsInTurn(Draft& draft)
    {
        double at = 10;
        for (int cycle = 1; cycle <= 3; ++cycle) {
            double end = draft.floodsInTurn(at, 8, 12);
            draft.phase(fmt::format("cycle {}", cycle), at, end);
            at = end;
        }
        draft.seconds = at;
    }

    // No order or length that could be learned.
    void randomFloods(Draft& draft)
    {
        double at = 10;
        for (int flood = 0; flood < 14; ++flood) {
            double length = draft.sampler.between(6, 30);
            auto number = static_cast<size_t>(draft.sampler.uniform() * static_cast<double>(draft.model.kinds.size()));
            const auto& kind = draft.model.kinds[std::min(number, draft.model.kinds.size() - 1)];
            draft.flood(kind.name, at, at + length);
            at += length + draft.sampler.between(0, 15);
        }
        draft.phase("floods", 10, at);
        draft.seconds = at;
    }

    void bulkThenUrgent(Draft& draft)
    {
        draft.baseFactor = 1;
        draft.phase("calm", 5, 30);
        draft.phase("bulk flood", 30, 60);
        draft.phase("urgent flood", 60, 85);
        draft.flood(draft.model.firstOf(Urgency::Bulk).name, 30, 60);
        draft.flood(draft.model.firstOf(Urgency::Urgent).name, 60, 85);
        draft.seconds = 110;
    }

    void sharedBulkThenUrgent(Draft& draft)
    {
        draft.model.sharePool();
        bulkThenUrgent(draft);
    }

    void waveDuringFloods(Draft& draft)
    {
        double end = draft.floodsInTurn(10, 20, 2);
        draft.phase("floods", 10, end);
        draft.event(TraceEvent::Action::Wave, 15);
        draft.seconds = end + 20;
    }

    void zoneLost(Draft& draft)
    {
        draft.baseFactor = 1;
        draft.phase("calm", 5, 25);
        draft.phase("zone lost", 32, 60);
        draft.phase("returned", 65, 85);
        TraceEvent zone;
        zone.zone = draft.model.zones[1];
        draft.event(TraceEvent::Action::Lose, 30, zone);
        draft.event(TraceEvent::Action::Restore, 60, zone);
        draft.seconds = 90;
    }

    void rackLostMidWave(Draft& draft)
    {
        draft.baseFactor = 1;
        draft.phase("calm", 5, 20);
        draft.phase("wave", 20, 80);
        draft.event(TraceEvent::Action::Wave, 20);
        TraceEvent rack;
        rack.rack = "rack-02";
        draft.event(TraceEvent::Action::Lose, 30, rack);
        draft.event(TraceEvent::Action::Restore, 45, rack);
        draft.seconds = 110;
    }

    void failingWorkers(Draft& draft)
    {
        draft.baseFactor = 2;
        draft.phase("calm", 5, 30);
        draft.phase("failing", 30, 70);
        draft.phase("healed", 90, 110);
        for (const auto& pool : draft.model.pools) {
            for (int i = 1; i <= 2; ++i) {
                TraceEvent worker;
                worker.instance = fmt::format("{}-{:02}", pool.name, i * 3);
                draft.event(TraceEvent::Action::FailAll, 30, worker);
                draft.event(TraceEvent::Action::Heal, 70, worker);
            }
        }
        draft.seconds = 110;
    }

    void jobsThatCannotRun(Draft& draft)
    {
        draft.baseFactor = 2;
        draft.phase("calm", 5, 30);
        draft.phase("bad jobs", 30, 80);
        draft.changeFrom = 30;
        draft.change = [](TraceRequest& request, Sampler& sampler) { request.cannotRun = sampler.chance(0.03); };
        draft.seconds = 80;
    }

    void wrongDeclarations(Draft& draft)
    {
        draft.baseFactor = 1;
        draft.phase("floods", 10, 120);
        draft.change = [](TraceRequest& request, Sampler& sampler) {
            double factor = sampler.chance(0.5) ? 0.1 : 10;
            auto declared = std::llround(std::chrono::duration<double, std::milli>(request.runtime).count() * factor);
            request.declaredRuntime = Milliseconds { std::max(1LL, declared) };
        };
        draft.floodsInTurn(10, 20, 2);
        draft.seconds = 125;
    }

    void cancellationWaves(Draft& draft)
    {
        draft.baseFactor = 2;
        draft.phase("calm", 5, 20);
        draft.phase("cancellations", 20, 70);
        draft.changeFrom = 20;
        draft.change = [](TraceRequest& request, Sampler& sampler) {
            // Two seconds in ten, callers give up most of their requests.
            bool wave = request.at % std::chrono::seconds(10) < std::chrono::seconds(2);
            if (wave && sampler.chance(0.7))
                request.cancelAfter = Milliseconds { std::lround(sampler.between(0, 400)) };
        };
        const auto& urgent = draft.model.firstOf(Urgency::Urgent);
        draft.flood(urgent.name, 20, 60);
        draft.seconds = 80;
    }

    struct Scenario {
        const char* name;
        void (*layOut)(Draft&);
    };
    constexpr Scenario scenarios[] = {
        { "queues-in-turn", queuesInTurn },
        { "short-floods-in-turn", shortFloodsInTurn },
        { "random-floods", randomFloods },
        { "bulk-then-urgent", bulkThenUrgent },
        { "shared-bulk-then-urgent", sharedBulkThenUrgent },
        { "wave-during-floods", waveDuringFloods },
        { "zone-lost", zoneLost },
        { "rack-lost-mid-wave", rackLostMidWave },
        { "failing-workers", failingWorkers },
        { "jobs-that-cannot-run", jobsThatCannotRun },
        { "wrong-declarations", wrongDeclarations },
        { "cancellation-waves", cancellationWaves },
    };

    void addRequests(Draft& draft, const ModelKind& kind, double meanSlots, double from, double to, double factor)
    {
        double runtime = std::chrono::duration<double>(kind.runtime).count();
        double interval = runtime / (meanSlots * factor);
        double at = from + draft.sampler.exponential(interval);
        for (; at < to; at += draft.sampler.exponential(interval)) {
            TraceRequest request;
            request.at = atSecond(at);
            request.kind = kind.name;
            request.runtime = std::max(Microseconds { 1 }, atSecond(draft.sampler.lognormal(runtime, runtimeSigma)));
            request.timeout = kind.timeout;
            if (draft.change && at >= draft.changeFrom)
                draft.change(request, draft.sampler);
            draft.trace.requests.push_back(std::move(request));
        }
    }

    // The demand of a kind: its floods, and the base demand in between.
    void addDemand(Draft& draft, const ModelKind& kind, double meanSlots)
    {
        double at = 0;
        for (const auto& stretch : draft.stretches) {
            if (stretch.kind != kind.name)
                continue;
            addRequests(draft, kind, meanSlots, at, stretch.from, draft.baseFactor);
            addRequests(draft, kind, meanSlots, stretch.from, stretch.to, stretch.factor);
            at = stretch.to;
        }
        addRequests(draft, kind, meanSlots, at, draft.seconds, draft.baseFactor);
    }

} // namespace

std::vector<std::string> scenarioNames()
{
    std::vector<std::string> names;
    for (const auto& scenario : scenarios)
        names.emplace_back(scenario.name);
    return names;
}

Result<Trace> generateTrace(const GeneratorOptions& options)
{
    const auto* deployment = internal::findDeployment(options.deployment);
    if (!deployment)
        return fail(ResultCode::InvalidCommand, "no deployment " + options.deployment + "; there are chamber, karoo");
    const auto* scenario = std::find_if(std::begin(scenarios), std::end(scenarios),
        [&options](const auto& candidate) { return candidate.name == options.scenario; });
    if (scenario == std::end(scenarios))
        return fail(ResultCode::InvalidCommand, "no scenario " + options.scenario);
    Draft draft { *deployment, Sampler(options.seed), {}, quietFactor, {}, 0, 0, nullptr };
    scenario->layOut(draft);
    for (const auto& kind : draft.model.kinds) {
        // The mean demand is that of the kind's own pool also where it shares another.
        double meanSlots = meanUtilization * draft.model.slotsOf(deployment->kind(kind.name).pool);
        addDemand(draft, kind, meanSlots);
    }
    auto& trace = draft.trace;
    auto byTime = [](const TraceRequest& a, const TraceRequest& b) { return a.at < b.at; };
    std::stable_sort(trace.requests.begin(), trace.requests.end(), byTime);
    draft.model.scale(options.fleetPercent);
    trace.name = options.deployment + "/" + options.scenario;
    trace.seed = options.seed;
    trace.duration = atSecond(draft.seconds);
    trace.environment.zoneDelay = draft.model.zoneDelay;
    trace.instances = draft.model.instances();
    trace.configurationIni = draft.model.ini();
    BOOST_LEAF_ASSIGN(trace.configuration, parseFleetConfiguration(trace.configurationIni, trace.name));
    return std::move(trace);
}

} // namespace shallotdrift
