#pragma once

#include "../Jobs/ServiceScheduler.h"
#include "NodeContext.h"

#include <functional>
#include <map>
#include <memory>

namespace shallotdrift::internal {

// The latest boot of each instance in the registry, which may go on listing earlier ones.
class NewestBoots {
public:
    explicit NewestBoots(const std::map<std::string, WorkerInfo>& registry);
    // Another worker has booted on the instance of this one since.
    bool replaced(const WorkerInfo&) const;

private:
    std::map<std::string, const WorkerInfo*> byInstance_;
};

// The owner's calls to the workers of one service: leases and lists are kept up with one waiting call for each worker,
// orders go beside it.
class WorkerLinks {
public:
    struct Events {
        std::function<void()> changed; // the scheduler has learnt something
        std::function<void()> fenced; // a worker has seen a higher token
        std::function<bool()> mayExtendLeases;
    };

    WorkerLinks(NodeContext&, ServiceScheduler&, uint64_t token, Events);

    // Begins calls to new workers and ends those to workers that are gone.
    void sync();
    // Ends the runs of workers whose instances have started again as other workers.
    void loseReplaced(const NewestBoots&);
    // Numbers of the ends that the scheduler has taken so far, to be confirmed once its records are stored.
    std::map<std::string, uint64_t> notedEnds() const;
    void setDurable(const std::map<std::string, uint64_t>& noted);

    void send(const StartOrder&);
    void send(const StopOrder&);
    void send(const ThrottleOrder&);
    void stop() { *alive_ = false; }

private:
    struct Link {
        std::string worker;
        std::string address;
        uint64_t durable = 0; // ends up to this number are stored
        Instant heldAt {}; // when the last call was sent
        bool calling = false;
        bool failing = false;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void hold(const std::shared_ptr<Link>&);
    void onHold(const std::shared_ptr<Link>&, HttpOutcome&&, Instant askedAt);
    void holdLater(const std::shared_ptr<Link>&, Milliseconds);
    void logJoined(const std::string& worker) const;
    void loseWorker(const std::string& worker);
    Milliseconds leaseEnd(Worker&);

    NodeContext& context_;
    ServiceScheduler& scheduler_;
    uint64_t token_;
    Events events_;
    std::map<std::string, std::shared_ptr<Link>> links_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotdrift::internal
