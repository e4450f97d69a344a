#pragma once

#include "../Jobs/ServiceScheduler.h"
#include "NodeContext.h"

#include <functional>
#include <map>
#include <memory>

namespace shallotdrift::internal {

// The latest boot of each instance in the registry, which may go on listing earlier ones.
class LatestIncarnations {
public:
    explicit LatestIncarnations(const std::map<std::string, WorkerInfo>& registry);
    // Another worker has booted on the instance of this one since.
    bool isReplaced(const WorkerInfo&) const;

private:
    std::map<std::string, const WorkerInfo*> byInstance_;
};

// The owner's calls to the workers of one service: leases and lists are kept up with one waiting call for each worker,
// orders go beside it.
class WorkerSessions {
public:
    struct Callbacks {
        std::function<void()> changed; // the scheduler has learnt something
        std::function<void()> fenced; // a worker has seen a higher token
        std::function<bool()> mayExtendLeases;
    };

    WorkerSessions(NodeContext&, ServiceScheduler&, uint64_t token, Callbacks);

    // Begins calls to new workers and ends those to workers that are gone.
    void sync();
    // Ends the runs of workers whose instances have started again as other workers.
    void dropReplacedWorkers(const LatestIncarnations&);
    // Numbers of the ends that the scheduler has taken so far, to be confirmed once its records are stored.
    std::map<std::string, uint64_t> appliedEnds() const;
    void setStoredEnds(const std::map<std::string, uint64_t>& noted);

    void send(const StartOrder&);
    void send(const StopOrder&);
    void send(const ThrottleOrder&);
    void stop() { *alive_ = false; }

private:
    struct Session {
        std::string worker;
        std::string address;
        uint64_t storedEnds = 0; // ends up to this number are stored
        Instant renewalSentAt {}; // when the last call was sent
        bool renewalPending = false;
        bool failing = false;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void sendLeaseRenewal(const std::shared_ptr<Session>&);
    void onLeaseRenewalResponse(const std::shared_ptr<Session>&, HttpOutcome&&, Instant askedAt);
    void scheduleLeaseRenewal(const std::shared_ptr<Session>&, Milliseconds);
    void logJoined(const std::string& worker) const;
    void dropWorker(const std::string& worker);
    Milliseconds nextLeaseEnd(Worker&);

    NodeContext& context_;
    ServiceScheduler& scheduler_;
    uint64_t token_;
    Callbacks callbacks_;
    std::map<std::string, std::shared_ptr<Session>> sessions_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotdrift::internal
