#pragma once

#include "../Base/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift {

// An instance as the platform lists it.
struct FleetInstance {
    enum class State : uint8_t { Up, Moving, Maintenance, Down };
    std::string id {};
    std::string pool {};
    State state = State::Down;
    std::string kind {};
    std::string zone {};
    std::string rack {};
    double cores = 0;
};

// Instances that operators want one pool to have beyond its own need.
struct PoolLoan {
    std::string id {}; // of the change that asked for it
    std::string fromPool {}; // empty: from any pool
    std::string toPool {};
    uint32_t count = 0;
};

// What the owner of a service reports of its pool.
struct PoolReport {
    struct WorkerLoad {
        std::string instance {};
        uint32_t runs = 0;
        uint32_t lastingRuns = 0;
        bool cordoned = false;
        bool draining = false;
    };
    std::string service {};
    double heldCores = 0; // by runs
    double lastingCores = 0; // of lasting tasks, held or waiting
    double waitingCores = 0; // asked for by tasks whose turn has come
    double requiredCores = 0; // rate of work that ends the accepted jobs in time
    uint32_t minimumWorkers = 0; // that the spread of lasting tasks needs
    std::vector<WorkerLoad> workers {};
    Instant at {}; // when it was asked for, together with the cordons of that moment
};

struct MaintenanceWave {
    uint64_t number = 0;
    std::vector<std::string> instances;
    uint32_t maximumAtOnce = 1;
    Instant deadline {};
};

struct PoolRule {
    std::string name {};
    bool standby = false; // its instances are switched off and cost nothing
};

struct PlannerOptions {
    double fillLevel = 0.92; // share of a pool's cores that tasks of uneven sizes can use
    double reserveCores = 8; // of each pool, for the first jobs of a rise in demand
    double margin = 1.1; // over the required rate of work
    Milliseconds trendTime { 1000 }; // over which the rise of the required rate is measured
    double trendAhead = 1.5; // of that time, until an instance that is ordered now is at work
    Milliseconds wantMemory { 1200 }; // a pool's size follows the largest need of this time
    Milliseconds surplusPause { 700 }; // an instance is idle for so long before it is switched off
    Milliseconds reportLife { 900 }; // an older report decides nothing
    Milliseconds maintenanceLife { 2300 }; // an instance counts as away for so long after the order
    Milliseconds orderLife { 2500 }; // after it, an order without effect in the list is forgotten
    Milliseconds emptyingTime { 4500 }; // an instance that is not empty by then stays in its pool
    double cordonedShare = 0.34; // of a pool, for maintenance, while time is left
    size_t ordersAtOnce = 24;
};

struct InstanceOrder {
    enum class Type : uint8_t { Move, Maintain };
    Type type = Type::Move;
    std::string instance {};
    std::string pool {}; // Move: the new pool
    uint64_t wave = 0; // Maintain
};

// Decides on the pools of instances and on maintenance. An instance is cordoned first and ordered away only when its
// owner reports it empty, so no order ends a run.
class InstancePlanner {
public:
    explicit InstancePlanner(const PlannerOptions&);

    void setPools(std::map<std::string, PoolRule> pools) { pools_ = std::move(pools); }
    void setInstances(std::vector<FleetInstance>);
    void setReport(PoolReport);
    // A wave that is known already is left as it is.
    void addWave(const MaintenanceWave&);
    // Instances of the wave that are done, as an earlier manager has stored them.
    void restoreDone(uint64_t wave, const std::set<std::string>& instances);

    void setLoans(std::vector<PoolLoan> loans) { loans_ = std::move(loans); }
    // Instances that are to be emptied and switched off, and stay so until they are left out here.
    void setOutOfService(std::set<std::string> instances) { outOfService_ = std::move(instances); }

    // An earlier manager has given orders for the instance; this one gives none before the time.
    void rest(const std::string& instance, Instant until) { resting_[instance] = until; }

    // Orders that may be given now; each is reported back by onOrder().
    std::vector<InstanceOrder> plan(Instant now);
    enum class Outcome : uint8_t { Ok, Busy, Impossible, Unknown };
    void onOrder(const InstanceOrder&, Outcome, Instant now);

    // Instances on which nothing new may be placed, but in the pool given: there an instance that has been ordered to
    // it is at work as soon as its new worker is. Empty: in no pool.
    std::map<std::string, std::string> cordons() const;
    // Instances that an open wave has still to maintain; lasting tasks had better not be placed there.
    std::set<std::string> maintenanceDue() const;
    // Waves whose state has changed since the last call: number and whether it is completed.
    std::vector<std::pair<uint64_t, bool>> takeWaveChanges();
    const std::set<std::string>& done(uint64_t wave) const;

    // What the last plan saw of the pools, for tests and the log.
    struct PoolView {
        std::string name;
        size_t size = 0; // instances that are there or on their way
        size_t want = 0;
        size_t least = 0; // of the wanted instances, those for lasting tasks
        PoolReport report;
    };
    std::vector<PoolView> view() const;
    const std::map<std::string, FleetInstance>& instances() const { return instances_; }
    const std::map<std::string, PoolRule>& pools() const { return pools_; }
    struct WaveView {
        uint64_t number = 0;
        size_t instances = 0;
        size_t done = 0;
        bool completed = false;
    };
    std::vector<WaveView> waves() const;
    // Nothing runs on the instance: it is switched off, or its owner reports it cordoned and empty.
    bool isEmpty(const FleetInstance&) const;

private:
    struct Intent {
        InstanceOrder order;
        Instant since {};
        std::optional<Instant> orderedAt;
    };
    struct Pool {
        PoolReport report;
        std::deque<std::pair<Instant, double>> required; // recent rates
        std::vector<std::pair<Instant, size_t>> needs; // recent ones, for the memory of the need
        size_t want = 0;
        size_t least = 1; // of the wanted instances, those for lasting tasks
        Instant surplusSince {}; // since when the pool has been larger than wanted
        size_t size = 0; // instances that are up or on their way, without those that are to leave
    };
    struct Wave {
        MaintenanceWave rule;
        std::set<std::string> done;
        bool announced = false;
        bool completed = false;
    };

    const PoolReport::WorkerLoad* loadOf(const FleetInstance&) const;
    bool fresh(const std::string& pool, Instant now) const;
    bool empty(const FleetInstance&, Instant cordonedSince, Instant now) const;
    double coresPerInstance(const std::string& pool) const;
    void measure(Instant now);
    double expectedRate(Pool&, Instant now) const;
    void forgetOldIntents(Instant now);
    void applyLoans();
    void planOutOfService(Instant now);
    void shareScarceInstances();
    void planWaves(Instant now);
    void planGrowth(Instant now);
    void takeBack(const std::string& pool);
    void takeInstances(const std::string& pool, bool switchedOff, Instant now);
    void takeBusy(const std::string& pool, Instant now);
    void planShrinking(Instant now);
    const std::string* leastLoaded(const std::string& pool, const std::string& target, Instant now) const;
    std::string standbyPool(const FleetInstance&) const;
    bool mayJoin(const FleetInstance&, const std::string& pool) const;

    PlannerOptions options_;
    std::map<std::string, PoolRule> pools_;
    std::map<std::string, FleetInstance> instances_;
    std::map<std::string, Pool> state_; // by pool
    std::map<std::string, Intent> intents_; // by instance
    std::map<std::string, Instant> resting_;
    std::vector<PoolLoan> loans_;
    std::set<std::string> outOfService_;
    bool demandSeen_ = false;
    std::map<uint64_t, Wave> waves_;
    std::set<std::pair<std::string, std::string>> impossible_; // kind, pool
    std::vector<std::pair<uint64_t, bool>> waveChanges_;
};

} // namespace shallotdrift
