#pragma once

#include "../Jobs/ServiceScheduler.h"
#include "NodeContext.h"

#include <functional>
#include <map>
#include <memory>

namespace shallotdrift::internal {

// The latest incarnation of the worker on each instance. The registry may still list earlier ones, and entries of other
// writers, which name no configured service.
class LatestIncarnations {
public:
    LatestIncarnations(
        const std::map<std::string, WorkerInfo>& registry, const std::map<std::string, ServiceConfiguration>& services);
    // Whether a later incarnation has started on the worker's instance.
    bool isReplaced(const WorkerInfo&) const;

private:
    std::map<std::string, const WorkerInfo*> byInstance_;
};

// An owner's connections to the workers of one service. Each session renews the worker's lease and fetches its report
// with one long-polling request at a time; orders are sent alongside.
class WorkerSessions {
public:
    struct Callbacks {
        std::function<void()> changed; // the scheduler may have something new to place or to store
        std::function<void()> fenced; // a worker has seen a higher fencing token
        std::function<bool()> mayExtendLeases; // false while the ownership is not confirmed recently enough
    };

    WorkerSessions(NodeContext&, ServiceScheduler&, uint64_t fencingToken, Callbacks);

    // Starts sessions with new workers and ends those with workers that the scheduler has removed.
    void sync();
    // Drops workers that a later incarnation on the same instance has replaced: their runs have ended.
    void dropReplacedWorkers(const LatestIncarnations&);
    // The last run end of a worker's incarnation that the scheduler has applied.
    struct AppliedEnd {
        uint64_t number = 0;
        int64_t bootTime = 0; // identifies the incarnation
    };
    // The last applied end of each worker with unacknowledged run ends. To be passed to acknowledgeStoredEnds() once
    // the scheduler's records are stored.
    std::map<std::string, AppliedEnd> appliedEnds() const;
    // Acknowledges the run ends to the workers up to the given one for each, with a lease renewal.
    void acknowledgeStoredEnds(const std::map<std::string, AppliedEnd>& ends);

    // Fencing token for a call of the given stage of a worker's lease.
    uint64_t token(uint32_t stage) const;
    void send(const StartOrder&);
    void send(const StopOrder&);
    void send(const ThrottleOrder&);
    // Responses are ignored afterwards, and no lease is renewed.
    void stop() { *alive_ = false; }

private:
    struct Session {
        std::string worker;
        std::string address;
        uint64_t lastStoredEnd = 0; // highest number of a stored run end; 0: none
        uint64_t acknowledgedEnd = 0; // highest acknowledged number to which the worker has responded
        int64_t bootTime = 0; // of the incarnation that the numbers of ends refer to
        Instant renewalSentAt {};
        bool renewalPending = false; // in flight, or scheduled for a retry
        bool failing = false; // the last lease renewal failed
        std::unique_ptr<asio::steady_timer> timer;
        std::shared_ptr<const HttpPeer> incarnation; // see incarnationOf()
        uint32_t incarnationStage = 0; // of the call that identifies it
    };

    // The incarnation of the worker that the owner knows. Calls that start runs, extend the lease or acknowledge ends
    // are for this one only: they reach no other one, however late they arrive.
    std::shared_ptr<const HttpPeer> incarnationOf(Session&, const Worker&) const;
    std::shared_ptr<const HttpPeer> makePeer(const std::string& worker, int64_t bootTime, uint32_t stage) const;
    void sendLeaseRenewal(const std::shared_ptr<Session>&);
    void onLeaseRenewalResponse(
        const std::shared_ptr<Session>&, HttpOutcome&&, const SentCall&, uint64_t acknowledgedEnd);
    void scheduleLeaseRenewal(const std::shared_ptr<Session>&, Milliseconds);
    void logJoined(const std::string& worker) const;
    void dropWorker(const std::string& worker);
    // True if a worker rejected the call because of a later stage of this owner, not because of another owner.
    bool isSuperseded(const std::string& worker, uint32_t stage) const;

    NodeContext& context_;
    ServiceScheduler& scheduler_;
    uint64_t fencingToken_;
    Callbacks callbacks_;
    std::map<std::string, std::shared_ptr<Session>> sessions_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotdrift::internal
