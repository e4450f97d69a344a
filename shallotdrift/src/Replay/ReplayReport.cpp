#include "ReplayReport.h"

#include <cmath>
#include <ostream>
#include <spdlog/fmt/fmt.h>

namespace shallotdrift {

using Json = nlohmann::ordered_json;

// Three decimals are enough for a share and keep the output equal on all machines.
static double rounded(double value) { return std::round(value * 1000) / 1000; }

static std::string codesText(const std::map<ResultCode, uint64_t>& codes)
{
    std::string text;
    for (const auto& [code, count] : codes)
        text += fmt::format(" {}:{}", infoOf(code).name, count);
    return text;
}

static std::string badJobsText(const KindReport& kind)
{
    if (!kind.cannotRun)
        return {};
    return fmt::format(" ({} of {} bad jobs answered as failed)", kind.cannotRunAnswered, kind.cannotRun);
}

static void printKind(const std::string& name, const KindReport& kind, std::ostream& stream)
{
    stream << fmt::format("  {:<12} {:>8} {:>8.4f} {:>9.1f} {:>9.1f} {:>8.3f}  {}{}{}\n", name, kind.offered,
        kind.inTimeShare(), kind.startDelayP50Milliseconds, kind.startDelayP99Milliseconds, kind.guaranteedKept,
        codesText(kind.refusals), codesText(kind.failures), badJobsText(kind));
}

static void printHeading(const std::string& name, std::ostream& stream)
{
    stream << fmt::format("{}\n  {:<12} {:>8} {:>8} {:>9} {:>9} {:>8}  refusals and failures\n", name, "kind",
        "offered", "in time", "p50 ms", "p99 ms", "share");
}

void printReport(const ReplayReport& report, std::ostream& stream)
{
    stream << "trace " << report.trace << ", policy " << report.policy << "\n";
    printHeading("whole trace", stream);
    for (const auto& [name, kind] : report.kinds)
        printKind(name, kind, stream);
    printKind("all", report.total, stream);
    for (const auto& [phase, kinds] : report.phases) {
        printHeading("phase " + phase, stream);
        for (const auto& [name, kind] : kinds)
            printKind(name, kind, stream);
    }
    stream << fmt::format("buffer {:.0f} instance-seconds above the need of {:.0f}\n", report.bufferInstanceSeconds,
        report.neededInstanceSeconds);
    stream << fmt::format("moves {}, {:.2f} for each flood and instance; aborted {}, proposals refused {}\n",
        report.moves, report.movesPerFloodAndInstance, report.movesAborted, report.proposalsRefused);
    if (report.wavesStarted) {
        stream << fmt::format("waves {} of {} done; roll-out {:.1f} s, best possible {:.1f} s\n", report.wavesDone,
            report.wavesStarted, report.rolloutSeconds, report.bestRolloutSeconds);
    }
    stream << fmt::format("budget violations {}, double runs {}, false refusals {}, ended twice {}, unanswered {}\n",
        report.budgetViolations, report.doubleRuns, report.falseRefusals, report.endedTwice, report.unanswered);
}

static Json kindToJson(const KindReport& kind)
{
    Json json { { "offered", kind.offered }, { "in_time", kind.inTime }, { "cancelled", kind.cancelled },
        { "cannot_run", kind.cannotRun }, { "cannot_run_answered", kind.cannotRunAnswered },
        { "in_time_share", rounded(kind.inTimeShare()) },
        { "start_delay_p50_ms", rounded(kind.startDelayP50Milliseconds) },
        { "start_delay_p99_ms", rounded(kind.startDelayP99Milliseconds) },
        { "guaranteed_kept", rounded(kind.guaranteedKept) } };
    auto add = [&json](const char* name, const std::map<ResultCode, uint64_t>& codes) {
        json[name] = Json::object();
        for (const auto& [code, count] : codes)
            json[name][std::string(infoOf(code).name)] = count;
    };
    add("refusals", kind.refusals);
    add("failures", kind.failures);
    return json;
}

Json reportToJson(const ReplayReport& report)
{
    Json json { { "trace", report.trace }, { "policy", report.policy } };
    json["total"] = kindToJson(report.total);
    for (const auto& [name, kind] : report.kinds)
        json["kinds"][name] = kindToJson(kind);
    for (const auto& [phase, kinds] : report.phases) {
        for (const auto& [name, kind] : kinds)
            json["phases"][phase][name] = kindToJson(kind);
    }
    json["buffer_instance_seconds"] = rounded(report.bufferInstanceSeconds);
    json["needed_instance_seconds"] = rounded(report.neededInstanceSeconds);
    json["moves"] = report.moves;
    json["moves_aborted"] = report.movesAborted;
    json["proposals_refused"] = report.proposalsRefused;
    json["moves_per_flood_and_instance"] = rounded(report.movesPerFloodAndInstance);
    json["waves_started"] = report.wavesStarted;
    json["waves_done"] = report.wavesDone;
    json["rollout_seconds"] = rounded(report.rolloutSeconds);
    json["best_rollout_seconds"] = rounded(report.bestRolloutSeconds);
    json["budget_violations"] = report.budgetViolations;
    json["double_runs"] = report.doubleRuns;
    json["false_refusals"] = report.falseRefusals;
    json["ended_twice"] = report.endedTwice;
    json["unanswered"] = report.unanswered;
    return json;
}

} // namespace shallotdrift
