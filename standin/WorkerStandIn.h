#pragma once

#include "shallotdrift/src/Base/Time.h"
#include "shallotdrift/src/Http/HttpServer.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift::standin {

// Counts over all workers, for the checks at the end of a test.
struct RunStatistics {
    std::map<std::string, int> runningCount; // task -> number of its current runs
    std::set<std::string> acknowledgedDone; // tasks whose run end "done" an owner has acknowledged
    uint64_t starts = 0;
    uint64_t duplicateRuns = 0; // starts of a task that was running elsewhere or whose end had been acknowledged
    uint64_t overCapacity = 0;
    uint64_t running = 0; // on all workers now
    uint64_t peakRunning = 0; // since it was last reset
};

// Simulates one worker: checks fencing tokens, ends its runs when the lease expires on its own clock, and reports
// runs and run ends. A run takes the time that its payload states as "work=MS".
class WorkerStandIn {
public:
    WorkerStandIn(std::string id, int64_t milliCores, RunStatistics&);

    void handle(const HttpMessage&, HttpServer::ResponseCallback);
    // Ends the runs that are complete, or all runs if the lease has expired. Then responds to the pending lease
    // renewals: to all if a run end is to be reported, else to those whose wait is over.
    void poll(Instant now);
    const std::string& id() const { return id_; }
    int64_t bootTime() const { return bootTime_; } // Unix time in ms
    size_t runCount() const { return runs_.size(); }
    // Ends all runs without reporting them, as when the instance is moved to another pool.
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
    std::map<std::string, uint64_t> highestEndedRun_; // task -> highest run number that has ended or been stopped
    std::vector<End> ends_;
    std::vector<PendingLeaseRenewal> pendingLeaseRenewals_;
};

} // namespace shallotdrift::standin
