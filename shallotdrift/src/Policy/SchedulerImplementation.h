#pragma once

#include "AdmissionOrder.h"
#include "Placement.h"
#include "PoolState.h"
#include "Scheduler.h"

#include <random>
#include <unordered_map>

namespace shallotdrift {

class Scheduler::Implementation {
public:
    explicit Implementation(SchedulerOptions);

    void setConfiguration(const FleetConfiguration&, Instant now);
    void setInstances(const std::vector<UsableInstance>&, Instant now, SchedulerEffects&);
    void setPeerDemand(const std::map<std::string, double>& slotsByPool, uint32_t liveEntries, Instant now);
    void submit(const WorkRequest&, Instant now, SchedulerEffects&);
    void report(const AttemptReport&, Instant now, SchedulerEffects&);
    void cancel(uint64_t request, Instant now, SchedulerEffects&);
    void tick(Instant now, SchedulerEffects&);
    std::vector<PoolLoad> load(Instant now) const;

private:
    using Attempt = internal::Attempt;
    using KindState = internal::KindState;
    using PoolState = internal::PoolState;
    using TargetInstance = internal::TargetInstance;
    using TeamState = internal::TeamState;
    using WorkItem = internal::WorkItem;

    // Why a request cannot be taken; nothing when it can.
    struct Objection {
        ResultCode code;
        std::string reason;
    };

    PoolState& poolNamed(const std::string&);
    KindState& kindNamed(const std::string&);
    TeamState* teamNamed(const std::string&);
    void setTeamQuotas();
    // The same instance under the same epoch; null for a new one.
    std::shared_ptr<TargetInstance> knownInstance(const UsableInstance&) const;
    void setFractions(PoolState&, Instant now);

    std::optional<Objection> objectionTo(const WorkRequest&, const KindState&, const TeamState*, Instant now) const;
    std::optional<Objection> lateness(const WorkRequest&, const KindState&, Instant now) const;
    static double expectedWaitSeconds(const WorkRequest&, const KindState&, Instant now);

    void dispatchPool(PoolState&, Instant now, SchedulerEffects&);
    void send(WorkItem&, const std::shared_ptr<TargetInstance>&, Instant now, SchedulerEffects&);
    void expire(KindState&, Instant now, SchedulerEffects&);
    void enqueue(WorkItem&, Instant now);

    // Parts of report().
    void learn(const Attempt&, const AttemptReport&, Instant now);
    void handleSuccess(const Attempt&, Instant now);
    void handleNotRun(const Attempt&, const AttemptReport&, Instant now, SchedulerEffects&);
    void handleExecutedFailure(const Attempt&, const AttemptReport&, Instant now, SchedulerEffects&);
    void releaseSlot(const Attempt&, Instant now);
    void recordFailure(TargetInstance&, bool probe, Instant now);
    void blameFailedInstances(WorkItem&, Instant now);

    // Ends a request that is not under way: refused as not run, unless an earlier attempt ran or may have run.
    void endWithoutRunning(WorkItem&, ResultCode, std::string reason, SchedulerEffects&);
    void complete(WorkItem&, uint64_t attempt, ResultCode, SchedulerEffects&);
    void forget(WorkItem&);

    SchedulerOptions options_;
    const internal::AdmissionOrder& order_;
    const internal::Placement& placement_;
    std::mt19937_64 random_;
    uint32_t liveEntries_ = 1;
    uint64_t nextAttempt_ = 1;
    uint64_t nextSequence_ = 1;
    std::map<std::string, PoolState> pools_;
    std::map<std::string, KindState> kinds_;
    std::map<std::string, TeamState> teams_;
    std::map<std::string, uint32_t> quotas_; // over all entries
    std::map<std::string, std::shared_ptr<TargetInstance>> instances_; // usable ones
    // Instances that left the list with attempts under way. The list may lag and show them again.
    std::map<std::string, std::weak_ptr<TargetInstance>> departed_;
    std::unordered_map<uint64_t, WorkItem> items_; // by request
    std::unordered_map<uint64_t, Attempt> attempts_;
};

} // namespace shallotdrift
