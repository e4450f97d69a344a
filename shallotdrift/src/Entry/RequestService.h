#pragma once

#include "../Policy/Scheduler.h"
#include "CoreContext.h"
#include "KeyedRequests.h"
#include "PeerDirectory.h"
#include "Proposals.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace shallotdrift {

// Callers' requests from arrival to the one reply: scheduling, attempts at targets, keys.
class RequestService {
public:
    RequestService(CoreContext&, Proposals&, PeerDirectory&);

    void arrived(CallerRequest&&, Instant now);
    void callerLeft(uint64_t request, Instant now);
    void attemptDone(AttemptResult&&, Instant now);
    void tick(Instant now);

    void configurationChanged(Instant now);
    void setInstances(const std::vector<UsableInstance>&, Instant now);

    void setPeerDemand(const std::map<std::string, double>& slotsByPool, uint32_t liveEntries, Instant now)
    {
        scheduler_.setPeerDemand(slotsByPool, liveEntries, now);
    }

    KeyedRequests& keyed() { return keyed_; }
    std::vector<PoolLoad> load(Instant now) const { return scheduler_.load(now); }
    // Instances on which this entry has attempts under way.
    std::set<std::string> inFlightInstances() const;
    // Slots that this entry's urgent requests hold, by instance.
    std::map<std::string, uint32_t> urgentSlots() const;
    size_t openRequests() const { return open_.size(); }
    // The last refusals, for explain.
    const std::deque<std::string>& recentRefusals() const { return recentRefusals_; }

private:
    struct OpenRequest {
        CallerRequest request;
        Instant deadline {};
        bool keyed = false;
        bool callerGone = false;
        bool submitted = false;
        AttemptResult lastResult;
    };
    struct Attempt {
        uint64_t request = 0;
        std::string instance;
    };

    void arrivedWork(CallerRequest&&, Instant now);
    void submit(OpenRequest&, Instant now);
    void apply(const SchedulerEffects&, Instant now);
    void dispatch(const Dispatch&);
    void complete(const Completion&);
    void finish(uint64_t request, CallerReply);
    void forgetAttempt(uint64_t attempt);

    CoreContext& context_;
    Scheduler scheduler_;
    KeyedRequests keyed_;
    std::unordered_map<uint64_t, OpenRequest> open_;
    std::unordered_map<uint64_t, Attempt> attempts_;
    std::map<std::string, uint32_t> inFlight_; // attempts by instance
    std::deque<std::string> recentRefusals_;
};

} // namespace shallotdrift
