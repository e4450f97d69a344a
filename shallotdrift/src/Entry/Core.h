#pragma once

#include "../Peers/Gate.h"
#include "../Peers/ViewLeaseHolder.h"
#include "CoreContext.h"
#include "CoreEvent.h"
#include "FleetObserver.h"
#include "KeyedRequests.h"
#include "OperationDriver.h"
#include "PeerDirectory.h"
#include "Proposals.h"
#include "RequestService.h"
#include "StateKeeper.h"
#include "TaskDriver.h"

#include <atomic>
#include <memory>

namespace shallotdrift {

// The decision loop of an entry: sole owner of the folded state and of every decision. Events come in through a
// bounded ring, effects go out through CoreOutputs.
class Core {
public:
    Core(const EntrySettings&, uint64_t boot, CoreOutputs, Metrics&, SendPermissions&);

    // From other threads. tryPost refuses when the ring is full; post waits.
    bool tryPost(CoreEvent&& event) { return ring_.tryPush(std::move(event)); }
    bool post(CoreEvent event) { return ring_.push(std::move(event)); }
    bool ready() const { return ready_; }

    // Runs until stop() was called and the ring is drained.
    void run();
    void stop() { ring_.close(); }

    // On the core's thread, through RunOnCore.
    const CoreContext& context() const { return context_; }
    Proposals& proposals() { return proposals_; }
    const PeerDirectory& peers() const { return peers_; }
    const RequestService& requests() const { return requests_; }
    void beginStop();
    // Nothing is in flight any more: appends EntryLeft and sends nothing from now on.
    void leave();
    bool idle() const;
    bool stateComplete() const { return keeper_.complete() && !context_.stopping; }

private:
    void handle(CallerRequest&&, Instant now);
    void handle(CallerCancelled&&, Instant now);
    void handle(AttemptResult&&, Instant now);
    void handle(LogPageArrived&&, Instant now);
    void handle(proto::PeerMessage&&, Instant now);
    void handle(InstanceList&&, Instant now);
    void handle(TasksListed&&, Instant now);
    void handle(PlatformCallResult&&, Instant now);
    void handle(RunOnCore&&, Instant now);

    void folded(const FoldedRecord&);
    void stateReplaced();
    void stateChanged(Instant now);
    void tick(Instant now);
    void join(Instant now);
    // Leases, acknowledgements, moves, waves and tasks.
    void runDuties(Instant now);
    void refreshInstances(Instant now);
    void heartbeat(Instant now);
    void updateGauges();

    static constexpr size_t ringCapacity = 4096;

    CoreContext context_;
    Proposals proposals_;
    PeerDirectory peers_;
    Gate gate_;
    ViewLeaseHolder leases_;
    RequestService requests_;
    FleetObserver observer_;
    OperationDriver operations_;
    TaskDriver tasks_;
    StateKeeper keeper_;
    BoundedRing<CoreEvent> ring_;
    std::atomic<bool> ready_ { false };
    bool left_ = false;
    bool instancesStale_ = true;
    uint64_t configurationVersion_ = 0;
    Instant nextTick_ {};
    Instant nextRefresh_ {};
    Instant nextDuties_ {};
    Instant nextHeartbeat_ {};
    Instant nextJoin_ {};
    Instant nextTimeStamp_ {};
    Instant nextGauges_ {};
};

} // namespace shallotdrift
