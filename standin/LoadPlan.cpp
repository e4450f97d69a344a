#include "LoadPlan.h"

#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace shallotdrift::standin {

double LoadKind::rateAt(Duration sinceStart) const
{
    double multiplier = 1;
    for (const auto& phase : phases) {
        if (phase.begin <= sinceStart)
            multiplier = phase.multiplier;
    }
    return ratePerSecond * multiplier;
}

Duration LoadKind::nextPhaseAfter(Duration sinceStart) const
{
    for (const auto& phase : phases) {
        if (phase.begin > sinceStart)
            return phase.begin;
    }
    return Duration::max();
}

Milliseconds LoadKind::drawRunTime(std::mt19937_64& random) const
{
    double value = meanRunMilliseconds;
    if (distribution == Distribution::Exponential)
        value = std::exponential_distribution<double>(1 / meanRunMilliseconds)(random);
    else if (distribution == Distribution::Lognormal) // the location is chosen so that the mean is as stated
        value = std::lognormal_distribution<double>(std::log(meanRunMilliseconds) - sigma * sigma / 2, sigma)(random);
    return Milliseconds(std::max<int64_t>(1, std::llround(value)));
}

static LoadKind parseKind(const nlohmann::json& object)
{
    static const std::map<std::string, LoadKind::Distribution> distributions {
        { "fixed", LoadKind::Distribution::Fixed },
        { "exponential", LoadKind::Distribution::Exponential },
        { "lognormal", LoadKind::Distribution::Lognormal },
    };
    LoadKind kind;
    kind.name = object.at("name");
    kind.ratePerSecond = object.at("rate");
    for (const auto& phase : object.value("phases", nlohmann::json::array())) {
        auto begin = std::chrono::duration<double>(phase.at("at_s").get<double>());
        kind.phases.push_back({ std::chrono::duration_cast<Duration>(begin), phase.at("multiplier") });
    }
    kind.distribution = distributions.at(object.value("distribution", "fixed"));
    kind.meanRunMilliseconds = object.value("run_ms", kind.meanRunMilliseconds);
    kind.sigma = object.value("sigma", kind.sigma);
    kind.failShare = object.value("fail_share", kind.failShare);
    kind.answerBytes = object.value("answer_bytes", kind.answerBytes);
    kind.bodyBytes = object.value("body_bytes", kind.bodyBytes);
    kind.timeout = Milliseconds(object.value("timeout_ms", kind.timeout.count()));
    kind.idempotent = object.value("idempotent", kind.idempotent);
    kind.retries = object.value("retries", kind.retries);
    kind.declareRuntime = object.value("declare", kind.declareRuntime);
    kind.team = object.value("team", kind.team);
    return kind;
}

Result<std::vector<LoadKind>> readLoadPlan(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(ResultCode::InvalidSettings, fmt::format("cannot read load file {}", path));
    std::vector<LoadKind> kinds;
    try {
        auto plan = nlohmann::json::parse(file);
        for (const auto& object : plan.at("kinds"))
            kinds.push_back(parseKind(object));
    } catch (const std::exception& error) {
        return fail(ResultCode::InvalidSettings, fmt::format("load file {}: {}", path, error.what()));
    }
    return kinds;
}

} // namespace shallotdrift::standin
