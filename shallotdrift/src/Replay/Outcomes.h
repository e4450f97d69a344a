#pragma once

#include "ReplayReport.h"
#include "Trace.h"

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotdrift {

// A bound on one measure of a replay.
struct StatedOutcome {
    std::string measure;
    std::string kind; // empty: all kinds together
    std::string phase; // empty: the whole trace
    std::optional<double> atLeast;
    std::optional<double> atMost;
    // The bound is a factor of the same measure of another phase or policy, or of another measure.
    std::string relativeToPhase;
    std::string relativeToPolicy;
    std::string relativeToMeasure;
    std::string because; // the promise or target behind the bound
};

// One JSON object for each line. The error's message lists every mistake as "<source>:<line>: what is wrong".
Result<std::vector<StatedOutcome>> parseOutcomes(std::istream&, const std::string& source);
Result<std::vector<StatedOutcome>> readOutcomes(const std::string& path);

// Value of a measure; nothing when the report has none of the name, kind or phase.
std::optional<double> measureOf(
    const ReplayReport&, const std::string& measure, const std::string& kind, const std::string& phase);

// Policies that the outcomes are relative to.
std::vector<std::string> comparedPolicies(const std::vector<StatedOutcome>&);

// One line for each outcome that the report misses. Reports of compared policies are given by name.
std::vector<std::string> missedOutcomes(
    const std::vector<StatedOutcome>&, const ReplayReport&, const std::map<std::string, ReplayReport>& compared);

} // namespace shallotdrift
