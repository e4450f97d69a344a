#pragma once

#include "../Callers/CallerServer.h"
#include "../Platform/PlatformClient.h"
#include "../Policy/TaskPlanner.h"
#include "CoreContext.h"
#include "DutyLimiter.h"
#include "PeerDirectory.h"
#include "Proposals.h"

#include <map>
#include <string>

namespace shallotdrift {

// Long tasks: accepted, placed under a lease, renewed by their owner, taken over when the owner is gone.
class TaskDriver {
public:
    TaskDriver(CoreContext&, Proposals&, PeerDirectory&);

    void submit(const CallerRequest&);
    void query(const CallerRequest&);
    void cancel(const CallerRequest&);

    void listed(const std::vector<PlatformTask>&, Instant now);
    void callDone(const PlatformCallResult&, Instant now);
    void tick(const std::map<std::string, uint32_t>& urgentSlots, Instant now);

private:
    void reply(uint64_t request, ResultCode, std::string reason, std::string body = {});
    // Replies to a request whose record was appended, unless it was answered as unknown meanwhile.
    void replyToProposal(uint64_t request, ResultCode, std::string reason, std::string body = {});
    void expireProposals(Instant now);
    void end(const Task&, proto::TaskEnded::End, const std::string& receipt, const std::string& reason, Instant now);
    void command(const Task&, TaskCommand, Instant now);
    void start(const Task&);
    void renewOwned(Instant now);
    void takeOver(Instant now);
    void plan(const std::map<std::string, uint32_t>& urgentSlots, Instant now);

    CoreContext& context_;
    Proposals& proposals_;
    PeerDirectory& peers_;
    std::map<std::string, PlatformTask> platformTasks_;
    std::map<std::string, Instant> lastRenewal_;
    DutyLimiter duties_;
    std::map<std::string, Instant> ownerSilentSince_;
    std::map<uint64_t, Instant> awaitingVerdict_; // request to its deadline
    Instant nextPlan_ {};
    uint64_t taskNumber_ = 0;
};

} // namespace shallotdrift
