#pragma once

#include "Scheduler.h"
#include "TargetInstance.h"

#include <memory>
#include <optional>
#include <vector>

namespace shallotdrift::internal {

struct KindState;
struct TeamState;

// A request between its submission and its one refusal or completion.
struct WorkItem {
    WorkRequest request;
    KindState* kind = nullptr;
    TeamState* team = nullptr;
    size_t sizeClass = 0;
    uint64_t sequence = 0; // order of arrival
    Instant submittedAt {};
    double expectedSeconds = 0; // of run time, at the time it was queued
    double likelySeconds = 0; // as expectedSeconds, but seldom exceeded
    uint64_t attempt = 0; // under way; 0 while queued
    uint64_t lastAttempt = 0;
    uint32_t sends = 0; // less those that a busy instance refused
    // Outcome of the last attempt that ran or may have run; the request can no longer be refused as not run.
    std::optional<ResultCode> executedCode;
    std::vector<std::shared_ptr<TargetInstance>> failedOn;
    const TargetInstance* avoid = nullptr; // answered busy or could not be reached
};

// One dispatch under way.
struct Attempt {
    WorkItem* item = nullptr;
    std::shared_ptr<TargetInstance> target;
    Instant startedAt {};
    bool probe = false;
};

} // namespace shallotdrift::internal
