#pragma once

#include "../Policy/Scheduler.h"
#include "EventQueue.h"
#include "FleetDriver.h"
#include "Measures.h"
#include "TraceReplay.h"

#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace shallotdrift::internal {

// One replay: entries with real schedulers in front of simulated instances.
class Simulation {
public:
    Simulation(const Trace&, const ReplayPolicy&);

    ReplayReport run();

private:
    struct Attempt {
        size_t request = 0;
        SimulatedInstance* instance = nullptr;
        std::string pool;
        uint64_t life = 0;
        Instant sentAt {};
        Instant startedAt {};
        Instant deadline {};
        ResultCode code = ResultCode::Ok;
        bool bytesSent = true;
        bool lost = false; // its instance died
        bool closed = false; // answered or abandoned
    };
    struct Entry {
        std::unique_ptr<Scheduler> scheduler;
        std::string zone;
        bool alive = true;
        bool refreshing = false;
        std::vector<Attempt> attempts; // by number less one
        std::map<std::string, double> demand; // as last published
    };
    struct Request {
        uint32_t entry = 0;
        uint32_t runs = 0; // starts on instances
        Instant arrivedAt {};
        Instant deadline {};
        bool arrived = false;
        bool ended = false;
        bool cancelled = false;
    };

    void makeEntries();
    void addEntry(const std::string& zone);

    // Events.
    void arrive(uint64_t request, uint64_t);
    void cancel(uint64_t request, uint64_t);
    void reachInstance(uint64_t entry, uint64_t attempt);
    void finishOnInstance(uint64_t entry, uint64_t attempt);
    void answer(uint64_t entry, uint64_t attempt);
    void tick(uint64_t entry, uint64_t);
    void heartbeat(uint64_t entry, uint64_t);
    void planLending(uint64_t, uint64_t);
    void applyEvent(uint64_t event, uint64_t);
    void refreshView(uint64_t entry, uint64_t);
    void sample(uint64_t, uint64_t);

    void apply(uint32_t entry, const SchedulerEffects&);
    void dispatch(uint32_t entry, const Dispatch&);
    void refuse(const Refusal&);
    void complete(uint32_t entry, const Completion&);
    void closeAttempt(Attempt&);
    void startOnInstance(uint32_t entry, uint64_t number, Attempt&);
    void answerAt(Instant, uint32_t entry, uint64_t number, ResultCode, bool bytesSent);
    void loseEntries(const std::string& zone);
    void restoreEntries(const std::string& zone);
    void scheduleRefresh();
    void endRequest(size_t request);
    uint32_t refusalsInSecond(const std::string& kind);
    std::optional<uint32_t> liveEntry();
    Duration delay(const Entry&, const SimulatedInstance&) const;
    Attempt& attemptOf(uint64_t entry, uint64_t number) { return entries_[entry].attempts[number - 1]; }

    const Trace& trace_;
    ReplayPolicy policy_;
    EventQueue queue_;
    Measures measures_;
    SimulatedInstances instances_;
    FleetDriver fleet_;
    std::mt19937_64 random_;
    std::deque<Entry> entries_; // grows while references are in use
    std::vector<Request> requests_;
    std::map<std::string, KindUse> uses_; // by kind
    std::map<std::string, std::deque<Instant>> refusals_; // of the last second, by kind
};

} // namespace shallotdrift::internal
