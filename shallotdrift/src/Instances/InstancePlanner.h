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
    std::string instanceType {};
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
        uint32_t longRunningRuns = 0;
        bool cordoned = false;
        bool draining = false;
    };
    std::string service {};
    double allocatedCores = 0; // by runs
    double longRunningCores = 0; // of lasting tasks, held or waiting
    double waitingCores = 0; // asked for by tasks whose turn has come
    double requiredCores = 0; // rate of work that ends the accepted jobs in time
    uint32_t minimumWorkers = 0; // that the spread of lasting tasks needs
    std::vector<WorkerLoad> workers {};
    Instant requestedAt {}; // when it was asked for, together with the cordons of that moment
};

struct MaintenanceWave {
    uint64_t number = 0;
    std::vector<std::string> instances;
    uint32_t maximumParallel = 1;
    Instant deadline {};
};

struct PoolConfiguration {
    std::string name {};
    bool standby = false; // its instances are switched off and cost nothing
};

struct PlannerOptions {
    double targetUtilization = 0.92; // share of a pool's cores that tasks of uneven sizes can use
    double reserveCores = 8; // of each pool, for the first jobs of a rise in demand
    double demandMargin = 1.1; // over the required rate of work
    Milliseconds trendWindow { 1000 }; // over which the rise of the required rate is measured
    double forecastHorizonWindows = 1.5; // of that time, until an instance that is ordered now is at work
    Milliseconds stabilizationWindow { 1200 }; // a pool's size follows the largest need of this time
    Milliseconds scaleDownDelay { 700 }; // an instance is idle for so long before it is switched off
    Milliseconds maximumReportAge { 900 }; // an older report decides nothing
    Milliseconds maintenanceDuration { 2300 }; // an instance counts as away for so long after the order
    Milliseconds orderTimeout { 2500 }; // after it, an order without effect in the list is forgotten
    Milliseconds emptyingTimeout { 4500 }; // an instance that is not empty by then stays in its pool
    double maximumCordonedShare = 0.34; // of a pool, for maintenance, while time is left
    size_t maximumOrdersPerPlan = 24;
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

    void setPools(std::map<std::string, PoolConfiguration> pools) { pools_ = std::move(pools); }
    void setInstances(std::vector<FleetInstance>);
    void setReport(PoolReport);
    // A wave that is known already is left as it is.
    void addWave(const MaintenanceWave&);
    // Instances of the wave that are done, as an earlier manager has stored them.
    void restoreMaintained(uint64_t wave, const std::set<std::string>& instances);

    void setLoans(std::vector<PoolLoan> loans) { loans_ = std::move(loans); }
    // Instances that are to be emptied and switched off, and stay so until they are left out here.
    void setOutOfService(std::set<std::string> instances) { outOfService_ = std::move(instances); }

    // An earlier manager has given orders for the instance; this one gives none before the time.
    void setCooldown(const std::string& instance, Instant until) { cooldowns_[instance] = until; }

    // Orders that may be given now; each is reported back by onOrderResult().
    std::vector<InstanceOrder> plan(Instant now);
    enum class Outcome : uint8_t { Ok, Busy, Impossible, Unknown };
    void onOrderResult(const InstanceOrder&, Outcome, Instant now);

    // Instances on which nothing new may be placed, but in the pool given: there an instance that has been ordered to
    // it is at work as soon as its new worker is. Empty: in no pool.
    std::map<std::string, std::string> cordons() const;
    // Instances that an open wave has still to maintain; lasting tasks had better not be placed there.
    std::set<std::string> maintenanceDue() const;
    // Waves whose state has changed since the last call: number and whether it is completed.
    std::vector<std::pair<uint64_t, bool>> takeWaveChanges();
    const std::set<std::string>& maintainedInstances(uint64_t wave) const;

    // What the last plan saw of the pools, for tests and the log.
    struct PoolView {
        std::string name;
        size_t size = 0; // instances that are there or on their way
        size_t desiredSize = 0;
        size_t minimumSize = 0; // of the wanted instances, those for lasting tasks
        PoolReport report;
    };
    std::vector<PoolView> poolViews() const;
    const std::map<std::string, FleetInstance>& instances() const { return instances_; }
    const std::map<std::string, PoolConfiguration>& pools() const { return pools_; }
    struct WaveView {
        uint64_t number = 0;
        size_t instances = 0;
        size_t maintained = 0;
        bool completed = false;
    };
    std::vector<WaveView> waves() const;
    // Nothing runs on the instance: it is switched off, or its owner reports it cordoned and empty.
    bool isEmpty(const FleetInstance&) const;

private:
    struct PlannedOrder {
        InstanceOrder order;
        Instant plannedAt {};
        std::optional<Instant> orderedAt;
    };
    struct Pool {
        PoolReport report;
        std::deque<std::pair<Instant, double>> requiredCoresHistory; // recent rates
        std::vector<std::pair<Instant, size_t>> neededSizes; // recent ones, for the memory of the need
        size_t desiredSize = 0;
        size_t minimumSize = 1; // of the wanted instances, those for lasting tasks
        Instant surplusSince {}; // since when the pool has been larger than wanted
        size_t size = 0; // instances that are up or on their way, without those that are to leave
    };
    struct Wave {
        MaintenanceWave request;
        std::set<std::string> maintained;
        bool announced = false;
        bool completed = false;
    };

    const PoolReport::WorkerLoad* loadOf(const FleetInstance&) const;
    bool hasFreshReport(const std::string& pool, Instant now) const;
    bool isEmptySinceCordon(const FleetInstance&, Instant cordonedSince, Instant now) const;
    double coresPerInstance(const std::string& pool) const;
    void updatePoolSizes(Instant now);
    double forecastRequiredCores(Pool&, Instant now) const;
    void dropExpiredOrders(Instant now);
    void applyLoans();
    void planOutOfService(Instant now);
    void distributeScarceInstances();
    void planWaves(Instant now);
    void planScaleUp(Instant now);
    void cancelMovesOut(const std::string& pool);
    void takeIdleInstances(const std::string& pool, bool switchedOff, Instant now);
    void takeBusyInstances(const std::string& pool, Instant now);
    void planScaleDown(Instant now);
    const std::string* leastLoadedInstance(const std::string& pool, const std::string& target, Instant now) const;
    std::string standbyPool(const FleetInstance&) const;
    bool canJoin(const FleetInstance&, const std::string& pool) const;

    PlannerOptions options_;
    std::map<std::string, PoolConfiguration> pools_;
    std::map<std::string, FleetInstance> instances_;
    std::map<std::string, Pool> poolStates_; // by pool
    std::map<std::string, PlannedOrder> plannedOrders_; // by instance
    std::map<std::string, Instant> cooldowns_;
    std::vector<PoolLoan> loans_;
    std::set<std::string> outOfService_;
    bool demandSeen_ = false;
    std::map<uint64_t, Wave> waves_;
    std::set<std::pair<std::string, std::string>> impossibleMoves_; // kind, pool
    std::vector<std::pair<uint64_t, bool>> waveChanges_;
};

} // namespace shallotdrift
