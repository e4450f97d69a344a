#pragma once

#include "shallotdrift/Base.h"

#include <random>
#include <string>
#include <vector>

namespace shallotdrift::standin {

// From `begin` on, the rate of a kind is multiplied.
struct LoadPhase {
    Duration begin {};
    double multiplier = 1;
};

struct LoadKind {
    enum class Distribution : uint8_t { Fixed, Exponential, Lognormal };

    std::string name;
    double ratePerSecond = 0;
    std::vector<LoadPhase> phases; // in order of their begin
    Distribution distribution = Distribution::Fixed;
    double meanRunMilliseconds = 10;
    double sigma = 0.5; // of the logarithm, for Lognormal
    double failShare = 0;
    size_t answerBytes = 1000;
    size_t bodyBytes = 0; // padding of the request's body
    Milliseconds timeout { 1000 };
    bool idempotent = true;
    int retries = 0; // through another entry, with the same key
    bool declareRuntime = false;
    std::string team;

    double rateAt(Duration sinceStart) const;
    // Begin of the next phase after a time; Duration::max() after the last one.
    Duration nextPhaseAfter(Duration sinceStart) const;
    Milliseconds drawRunTime(std::mt19937_64&) const;
};

// Reads {"kinds": [{name, rate, phases: [{at_s, multiplier}], run_ms, distribution, sigma, fail_share, answer_bytes,
// body_bytes, timeout_ms, idempotent, retries, declare, team}]}.
Result<std::vector<LoadKind>> readLoadPlan(const std::string& path);

} // namespace shallotdrift::standin
