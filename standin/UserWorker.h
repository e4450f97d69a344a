#pragma once

#include "shallotdrift/src/Base/Time.h"
#include "shallotdrift/src/Http/HttpServer.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift::standin {

// What all workers together have done, for the check at the end of a test.
struct RunStatistics {
    std::map<std::string, int> runningCount; // task -> runs at this moment
    std::set<std::string> acknowledgedDone; // tasks whose end "done" the owner has confirmed
    uint64_t starts = 0;
    uint64_t duplicateRuns = 0; // two runs of a task at once, or a start after a confirmed end
    uint64_t overCapacity = 0;
};

// Plays one worker of the users' platform: fences, a lease on its own clock, and lists of runs and ends. A task works
// for the time that its payload states as "work=MS".
class WorkerStandIn {
public:
    WorkerStandIn(std::string id, int64_t milliCores, RunStatistics&);

    void handle(const HttpMessage&, HttpServer::ResponseCallback);
    // Ends runs whose work or lease is over and answers waiting calls.
    void poll(Instant now);
    const std::string& id() const { return id_; }
    int64_t bootTime() const { return bootTime_; }
    size_t runCount() const { return runs_.size(); }
    // Everything ends at once, as when the instance is moved.
    void killAll();

private:
    struct Run {
        uint64_t number = 0;
        Instant startedAt {};
        Instant finishesAt {};
    };
    struct End {
        uint64_t number = 0;
        std::string task;
        uint64_t run = 0;
        std::string outcome;
    };
    struct PendingLeaseRenewal {
        Instant deadline {};
        HttpServer::ResponseCallback respond;
    };

    int64_t clock(Instant now) const;
    HttpResponse start(const nlohmann::json&, Instant now);
    HttpResponse stop(const nlohmann::json&, Instant now);
    void end(const std::string& task, const char* outcome);
    HttpResponse report(Instant now) const;

    std::string id_;
    int64_t milliCores_;
    RunStatistics& statistics_;
    Instant bootInstant_ = BootClock::now();
    int64_t bootTime_ = unixMilliseconds(wallNow());
    uint64_t fencingToken_ = 0;
    int64_t leaseEnd_ = 0;
    uint64_t lastEndNumber_ = 0;
    std::map<std::string, Run> runs_;
    std::map<std::string, uint64_t> highestEndedRun_; // task -> highest run that has ended or was stopped
    std::vector<End> ends_;
    std::vector<PendingLeaseRenewal> pendingLeaseRenewals_;
};

} // namespace shallotdrift::standin
