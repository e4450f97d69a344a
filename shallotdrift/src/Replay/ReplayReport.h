#pragma once

#include "../Base/ResultCode.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shallotdrift {

// Requests of one kind, in one phase or in the whole trace.
struct KindReport {
    uint64_t offered = 0; // less those that their callers cancelled and those that cannot run
    uint64_t inTime = 0;
    uint64_t cancelled = 0;
    uint64_t cannotRun = 0; // jobs that fail on every instance
    uint64_t cannotRunAnswered = 0; // of them, those whose caller was told that the work failed
    double startDelayP50Milliseconds = 0; // from arrival at the entry to the start on the instance
    double startDelayP99Milliseconds = 0;
    // Slots in use, as part of those that the guaranteed share entitles to; work that was refused counts as demand.
    double guaranteedKept = 1;
    std::map<ResultCode, uint64_t> refusals;
    std::map<ResultCode, uint64_t> failures; // other ends than in time

    double inTimeShare() const { return offered ? static_cast<double>(inTime) / static_cast<double>(offered) : 1; }
};

struct ReplayReport {
    std::string trace;
    std::string policy;
    std::map<std::string, KindReport> kinds;
    std::map<std::string, std::map<std::string, KindReport>> phases; // by phase, then kind
    KindReport total;
    double bufferInstanceSeconds = 0; // instances in service beyond those that the work in progress needs
    double neededInstanceSeconds = 0;
    uint64_t moves = 0; // granted
    uint64_t movesAborted = 0;
    uint64_t proposalsRefused = 0;
    double movesPerFloodAndInstance = 0;
    uint64_t wavesStarted = 0;
    uint64_t wavesDone = 0;
    double rolloutSeconds = 0; // of the longest wave
    double bestRolloutSeconds = 0; // that the budgets allow for it
    // Broken promises; each must be 0.
    uint64_t budgetViolations = 0; // planned work that left a pool below its minimum
    uint64_t doubleRuns = 0; // non-idempotent requests that ran twice
    uint64_t falseRefusals = 0; // refused as not run after a run
    uint64_t endedTwice = 0;
    uint64_t unanswered = 0;
};

void printReport(const ReplayReport&, std::ostream&);
nlohmann::ordered_json reportToJson(const ReplayReport&);

} // namespace shallotdrift
