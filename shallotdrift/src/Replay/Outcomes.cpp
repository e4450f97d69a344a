#include "Outcomes.h"

#include "JsonLine.h"

#include <algorithm>
#include <fstream>
#include <spdlog/fmt/fmt.h>

namespace shallotdrift {

using internal::JsonLine;

namespace {

    struct KindMeasure {
        const char* name;
        double (*value)(const KindReport&);
    };
    constexpr KindMeasure kindMeasures[] = {
        { "in_time_share", [](const KindReport& kind) { return kind.inTimeShare(); } },
        { "guaranteed_kept", [](const KindReport& kind) { return kind.guaranteedKept; } },
        { "cannot_run_answered_share",
            [](const KindReport& kind) {
                return kind.cannotRun
                    ? static_cast<double>(kind.cannotRunAnswered) / static_cast<double>(kind.cannotRun)
                    : 1;
            } },
        { "start_delay_p50_ms", [](const KindReport& kind) { return kind.startDelayP50Milliseconds; } },
        { "start_delay_p99_ms", [](const KindReport& kind) { return kind.startDelayP99Milliseconds; } },
    };

    struct FleetMeasure {
        const char* name;
        double (*value)(const ReplayReport&);
    };
    constexpr FleetMeasure fleetMeasures[] = {
        { "buffer_instance_seconds", [](const ReplayReport& report) { return report.bufferInstanceSeconds; } },
        { "moves_per_flood_and_instance", [](const ReplayReport& report) { return report.movesPerFloodAndInstance; } },
        { "rollout_seconds", [](const ReplayReport& report) { return report.rolloutSeconds; } },
        { "best_rollout_seconds", [](const ReplayReport& report) { return report.bestRolloutSeconds; } },
        { "waves_unfinished",
            [](const ReplayReport& report) { return static_cast<double>(report.wavesStarted - report.wavesDone); } },
        { "budget_violations",
            [](const ReplayReport& report) { return static_cast<double>(report.budgetViolations); } },
        { "double_runs", [](const ReplayReport& report) { return static_cast<double>(report.doubleRuns); } },
        { "false_refusals", [](const ReplayReport& report) { return static_cast<double>(report.falseRefusals); } },
        { "ended_twice", [](const ReplayReport& report) { return static_cast<double>(report.endedTwice); } },
        { "unanswered", [](const ReplayReport& report) { return static_cast<double>(report.unanswered); } },
    };

    const KindReport* kindReport(const ReplayReport& report, const std::string& kind, const std::string& phase)
    {
        if (kind.empty())
            return phase.empty() ? &report.total : nullptr;
        const auto* kinds = &report.kinds;
        if (!phase.empty()) {
            auto named = report.phases.find(phase);
            if (named == report.phases.end())
                return nullptr;
            kinds = &named->second;
        }
        auto named = kinds->find(kind);
        return named == kinds->end() ? nullptr : &named->second;
    }

    bool knownMeasure(const std::string& name)
    {
        auto matches = [&name](const auto& measure) { return measure.name == name; };
        return std::any_of(std::begin(kindMeasures), std::end(kindMeasures), matches)
            || std::any_of(std::begin(fleetMeasures), std::end(fleetMeasures), matches);
    }

    StatedOutcome parseOutcome(JsonLine& line)
    {
        StatedOutcome outcome;
        outcome.measure = line.text("measure", true);
        outcome.kind = line.text("kind");
        outcome.phase = line.text("phase");
        outcome.atLeast = line.real("at_least");
        outcome.atMost = line.real("at_most");
        outcome.relativeToPhase = line.text("relative_to_phase");
        outcome.relativeToPolicy = line.text("relative_to_policy");
        outcome.relativeToMeasure = line.text("relative_to_measure");
        outcome.because = line.text("because", true);
        if (!knownMeasure(outcome.measure))
            line.mistake("unknown measure " + outcome.measure);
        if (!outcome.relativeToMeasure.empty() && !knownMeasure(outcome.relativeToMeasure))
            line.mistake("unknown measure " + outcome.relativeToMeasure);
        if (!outcome.atLeast && !outcome.atMost)
            line.mistake("at_least or at_most is missing");
        line.rejectUnknown();
        return outcome;
    }

} // namespace

Result<std::vector<StatedOutcome>> parseOutcomes(std::istream& stream, const std::string& source)
{
    std::vector<StatedOutcome> outcomes;
    std::vector<std::string> mistakes;
    std::string text;
    for (unsigned number = 1; std::getline(stream, text); ++number) {
        if (text.empty())
            continue;
        auto object = nlohmann::json::parse(text, nullptr, false);
        JsonLine line(object, source + ":" + std::to_string(number), mistakes);
        if (object.is_object())
            outcomes.push_back(parseOutcome(line));
        else
            line.mistake("a line must be one JSON object");
    }
    if (mistakes.empty())
        return outcomes;
    std::string message;
    for (const auto& mistake : mistakes)
        message += (message.empty() ? "" : "\n") + mistake;
    return fail(ResultCode::InvalidTrace, message);
}

Result<std::vector<StatedOutcome>> readOutcomes(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(ResultCode::InvalidTrace, path + ":1: the file cannot be read");
    return parseOutcomes(file, path);
}

std::optional<double> measureOf(
    const ReplayReport& report, const std::string& measure, const std::string& kind, const std::string& phase)
{
    for (const auto& known : fleetMeasures) {
        if (known.name == measure)
            return known.value(report);
    }
    const auto* counted = kindReport(report, kind, phase);
    for (const auto& known : kindMeasures) {
        if (known.name == measure && counted)
            return known.value(*counted);
    }
    return std::nullopt;
}

std::vector<std::string> comparedPolicies(const std::vector<StatedOutcome>& outcomes)
{
    std::vector<std::string> names;
    for (const auto& outcome : outcomes) {
        if (!outcome.relativeToPolicy.empty()
            && std::find(names.begin(), names.end(), outcome.relativeToPolicy) == names.end())
            names.push_back(outcome.relativeToPolicy);
    }
    return names;
}

// What the bound is a factor of; 1 for an absolute bound.
static std::optional<double> referenceOf(
    const StatedOutcome& outcome, const ReplayReport& report, const std::map<std::string, ReplayReport>& compared)
{
    const auto* source = &report;
    if (!outcome.relativeToPolicy.empty()) {
        auto named = compared.find(outcome.relativeToPolicy);
        if (named == compared.end())
            return std::nullopt;
        source = &named->second;
    }
    bool relative
        = !outcome.relativeToPolicy.empty() || !outcome.relativeToPhase.empty() || !outcome.relativeToMeasure.empty();
    if (!relative)
        return 1;
    return measureOf(*source, outcome.relativeToMeasure.empty() ? outcome.measure : outcome.relativeToMeasure,
        outcome.kind, outcome.relativeToPhase.empty() ? outcome.phase : outcome.relativeToPhase);
}

std::vector<std::string> missedOutcomes(const std::vector<StatedOutcome>& outcomes, const ReplayReport& report,
    const std::map<std::string, ReplayReport>& compared)
{
    static constexpr double tolerance = 1e-9; // of the floating-point sums
    std::vector<std::string> missed;
    for (const auto& outcome : outcomes) {
        auto subject = fmt::format("{}{}{}", outcome.measure, outcome.kind.empty() ? "" : " of " + outcome.kind,
            outcome.phase.empty() ? "" : " in phase " + outcome.phase);
        auto value = measureOf(report, outcome.measure, outcome.kind, outcome.phase);
        auto reference = referenceOf(outcome, report, compared);
        if (!value || !reference) {
            missed.push_back(subject + ": the replay has no such figure");
            continue;
        }
        if (outcome.atLeast && *value < *outcome.atLeast * *reference - tolerance)
            missed.push_back(fmt::format("{} is {:.4f}, stated at least {:.4f} ({})", subject, *value,
                *outcome.atLeast * *reference, outcome.because));
        if (outcome.atMost && *value > *outcome.atMost * *reference + tolerance)
            missed.push_back(fmt::format("{} is {:.4f}, stated at most {:.4f} ({})", subject, *value,
                *outcome.atMost * *reference, outcome.because));
    }
    return missed;
}

} // namespace shallotdrift
