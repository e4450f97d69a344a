#pragma once

#include "../Base/ResultCode.h"
#include "../Base/Time.h"
#include "../Fold/FleetState.h"
#include "SchedulingRules.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotdrift {

// A caller's short request, as the scheduler sees it. Bodies stay with the entry.
struct WorkRequest {
    uint64_t id = 0; // unique within the process
    std::string kind;
    std::string team; // empty: no team, no quota
    Instant deadline {};
    Milliseconds declaredRuntime { 0 }; // 0: not declared
    bool resendAllowed = true; // false: never sent a second time once a byte may have left
};

// Sends a request to an instance.
struct Dispatch {
    uint64_t attempt = 0; // unique within the process
    uint64_t request = 0;
    std::string instance;
    std::string pool;
    uint64_t epoch = 0;
    Instant deadline {};
};

// Answers a request without running it (again).
struct Refusal {
    uint64_t request = 0;
    ResultCode code = ResultCode::Internal;
    std::string reason; // with the figures that led to it
};

// Hands the outcome of the final attempt to the caller.
struct Completion {
    uint64_t request = 0;
    uint64_t attempt = 0;
    ResultCode code = ResultCode::Ok;
};

// What the scheduler asks its owner to do, in order within each list.
struct SchedulerEffects {
    std::vector<Dispatch> dispatches;
    std::vector<Refusal> refusals;
    std::vector<Completion> completions;
    std::vector<uint64_t> cancelledAttempts; // attempts to abandon; their answers are dropped
};

// Outcome of an attempt.
struct AttemptReport {
    uint64_t attempt = 0;
    ResultCode code = ResultCode::Ok;
    bool bytesSent = true; // false: the target cannot have seen the request
    Duration runtime {}; // from dispatch to the answer
};

// An instance that this entry may send to now.
struct UsableInstance {
    std::string instance;
    std::string pool;
    std::string zone;
    uint64_t epoch = 0;
    uint32_t slots = 0;
};

struct SchedulerOptions {
    uint64_t seed = 1;
    std::string zone; // of this entry; its own zone's instances are preferred at equal expected wait
    AdmissionRule admission = AdmissionRule::SharesAndUrgency;
    PlacementRule placement = PlacementRule::ExpectedWait;
};

// Queued and running work of a pool at this entry, in slots.
struct PoolLoad {
    std::string pool;
    uint32_t queued = 0;
    uint32_t running = 0;
    double demandSlots = 0; // queued and running work, weighted by learned run time
    double oldestWaitSeconds = 0; // of the urgent queue
};

// Admission, queues, placement, retries and learned costs of short requests at one entry.
class Scheduler {
public:
    explicit Scheduler(SchedulerOptions);
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    void setConfiguration(const FleetConfiguration&, Instant now);
    // Replaces the set of usable instances. Attempts under way on others are kept.
    void setInstances(const std::vector<UsableInstance>&, Instant now, SchedulerEffects&);
    // Demand of other live entries for each pool, from their heartbeats; scales this entry's share of the slots.
    void setPeerDemand(const std::map<std::string, double>& slotsByPool, uint32_t liveEntries, Instant now);

    void submit(const WorkRequest&, Instant now, SchedulerEffects&);
    void report(const AttemptReport&, Instant now, SchedulerEffects&);
    // The caller went away. Queued work is dropped; running attempts are abandoned.
    void cancel(uint64_t request, Instant now, SchedulerEffects&);
    // Expires deadlines and dispatches; to be called at least every 10 ms while work is queued.
    void tick(Instant now, SchedulerEffects&);

    std::vector<PoolLoad> load(Instant now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
