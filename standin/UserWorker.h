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
struct RunLedger {
    std::map<std::string, int> running; // task -> runs at this moment
    std::set<std::string> done; // tasks whose end "done" the owner has confirmed
    uint64_t starts = 0;
    uint64_t twice = 0; // two runs of a task at once, or a start after a confirmed end
    uint64_t overCapacity = 0;
};

// Plays one worker of the users' platform: fences, a lease on its own clock, and lists of runs and ends. A task works
// for the time that its payload states as "work=MS".
class UserWorker {
public:
    UserWorker(std::string id, int64_t milliCores, RunLedger&);

    void handle(const HttpMessage&, HttpServer::ResponseCallback);
    // Ends runs whose work or lease is over and answers waiting calls.
    void poll(Instant now);
    const std::string& id() const { return id_; }
    int64_t bornAt() const { return bornAt_; }
    size_t runs() const { return runs_.size(); }
    // Everything ends at once, as when the instance is moved.
    void kill();

private:
    struct Run {
        uint64_t number = 0;
        Instant begun {};
        Instant ends {};
    };
    struct End {
        uint64_t number = 0;
        std::string task;
        uint64_t run = 0;
        std::string how;
    };
    struct Waiting {
        Instant until {};
        HttpServer::ResponseCallback reply;
    };

    int64_t clock(Instant now) const;
    HttpResponse start(const nlohmann::json&, Instant now);
    HttpResponse stop(const nlohmann::json&, Instant now);
    void end(const std::string& task, const char* how);
    HttpResponse lists(Instant now) const;

    std::string id_;
    int64_t milliCores_;
    RunLedger& ledger_;
    Instant born_ = BootClock::now();
    int64_t bornAt_ = unixMilliseconds(wallNow());
    uint64_t token_ = 0;
    int64_t leaseEnd_ = 0;
    uint64_t lastEnd_ = 0;
    std::map<std::string, Run> runs_;
    std::map<std::string, uint64_t> finished_; // task -> highest run that has ended or was stopped
    std::vector<End> ends_;
    std::vector<Waiting> waiting_;
};

} // namespace shallotdrift::standin
