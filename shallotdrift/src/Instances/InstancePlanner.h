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

// Instances that operators add to the demand of one pool, at the expense of another.
struct PoolLoan {
    std::string id {}; // of the change that requested it
    std::string fromPool {}; // empty: from any pool
    std::string toPool {};
    uint32_t count = 0;
};

// Demand and load of a pool, as the owner of its service reports them.
struct PoolReport {
    struct WorkerLoad {
        std::string instance {};
        uint32_t runs = 0;
        uint32_t longRunningRuns = 0;
        bool cordoned = false;
        bool draining = false;
    };
    std::string service {};
    double allocatedCores = 0; // of runs
    double longRunningCores = 0; // of long-running tasks, allocated or waiting
    double waitingCores = 0; // of waiting tasks whose dependencies are completed
    double requiredCores = 0; // to complete the accepted jobs by their soft deadlines, without long-running tasks
    uint32_t minimumWorkers = 0; // for long-running tasks with a limit per worker
    std::vector<WorkerLoad> workers {};
    Instant requestedAt {}; // the request also carried the cordons of that time
};

// Maintenance of a set of instances before a deadline.
struct MaintenanceWave {
    uint64_t number = 0;
    std::vector<std::string> instances;
    uint32_t maximumParallel = 1; // instances out for maintenance at the same time
    Instant deadline {};
};

struct PoolConfiguration {
    std::string name {};
    bool standby = false; // its instances are switched off and cost nothing
};

struct PlannerOptions {
    double targetUtilization = 0.92; // tasks of uneven sizes cannot fill a pool's cores completely
    double reserveCores = 8; // added to each pool, for the first jobs when demand rises
    double demandMargin = 1.1; // factor on requiredCores
    Milliseconds trendWindow { 1000 }; // over which the rise of requiredCores is measured
    double forecastHorizonWindows = 1.5; // trend windows until an instance that is ordered now runs tasks
    Milliseconds stabilizationWindow { 1200 }; // the desired size is the largest need in this window
    Milliseconds scaleDownDelay { 700 }; // a pool is larger than desired for so long before it shrinks
    Milliseconds maximumReportAge { 900 }; // older reports are ignored
    Milliseconds maintenanceDuration { 2300 }; // an instance counts as in maintenance for so long after the order
    Milliseconds orderTimeout { 2500 }; // an order that has not taken effect by then is dropped
    Milliseconds emptyingTimeout { 4500 }; // the move of an instance that is not empty by then is dropped
    double maximumCordonedShare = 0.34; // limit of busy instances in maintenance, until 6 s before the deadline
    size_t maximumOrdersPerPlan = 24; // limit of orders from one plan()
};

struct InstanceOrder {
    enum class Type : uint8_t { Move, Maintain };
    Type type = Type::Move;
    std::string instance {};
    std::string pool {}; // the new pool; Move only
    uint64_t wave = 0; // Maintain only
};

// Decides on the size of pools, on moves of instances between them and on maintenance. An instance is cordoned first
// and ordered to move or into maintenance only when the owner of its pool reports it empty, so no order ends a run.
class InstancePlanner {
public:
    explicit InstancePlanner(const PlannerOptions&);

    void setPools(std::map<std::string, PoolConfiguration> pools) { pools_ = std::move(pools); }
    void setInstances(std::vector<FleetInstance>);
    void setReport(PoolReport);
    // Has no effect on a known wave.
    void addWave(const MaintenanceWave&);
    // Instances of the wave that a previous manager has had maintained, from the store.
    void restoreMaintained(uint64_t wave, const std::set<std::string>& instances);

    void setLoans(std::vector<PoolLoan> loans) { loans_ = std::move(loans); }
    // The instances to be emptied, switched off and kept out of service.
    void setOutOfService(std::set<std::string> instances) { outOfService_ = std::move(instances); }

    // A previous manager ordered the instance; it gets no further orders before the time given.
    void setCooldown(const std::string& instance, Instant until) { cooldowns_[instance] = until; }

    // Returns the orders to send now. The caller passes the outcome of each to onOrderResult().
    std::vector<InstanceOrder> plan(Instant now);
    enum class Outcome : uint8_t {
        Ok,
        Busy, // rejected for now; dropped and planned anew
        Impossible, // rejected: not possible for this instance type and pool, or not part of the wave
        Unknown // no response; may have taken effect
    };
    void onOrderResult(const InstanceOrder&, Outcome, Instant now);

    // Instances that get no new runs, except in the pool given: an instance that is moving there may be used as soon as
    // its new worker is up. Empty: in no pool.
    std::map<std::string, std::string> cordons() const;
    // Instances that an open wave has yet to maintain. Owners avoid placing long-running tasks there.
    std::set<std::string> maintenanceDue() const;
    // Waves that have been started or completed since the last call: number, and whether the wave is completed.
    std::vector<std::pair<uint64_t, bool>> takeWaveChanges();
    const std::set<std::string>& maintainedInstances(uint64_t wave) const;

    // State of a pool as of the last plan().
    struct PoolView {
        std::string name;
        size_t size = 0; // instances in the pool or moving to it, without those that are about to leave
        size_t desiredSize = 0;
        size_t minimumSize = 0; // part of the desired size that long-running tasks need
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
    // True if the instance is switched off or the owner of its pool reports it cordoned and without runs.
    bool isEmpty(const FleetInstance&) const;

private:
    // An order that waits for its instance to become empty, or that has been sent.
    struct PlannedOrder {
        InstanceOrder order;
        Instant plannedAt {};
        std::optional<Instant> orderedAt;
    };
    struct Pool {
        PoolReport report;
        std::deque<std::pair<Instant, double>> requiredCoresHistory; // within the trend window
        std::vector<std::pair<Instant, size_t>> neededSizes; // within the stabilization window
        size_t desiredSize = 0;
        size_t minimumSize = 1; // part of the desired size that long-running tasks need
        Instant surplusSince {}; // last time when the pool was not larger than desired
        size_t size = 0; // instances in the pool or moving to it, without those that are about to leave
    };
    struct Wave {
        MaintenanceWave request;
        std::set<std::string> maintained;
        bool announced = false; // its start is among waveChanges_
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
    const std::string* leastLoadedInstance(const std::string& pool, const std::string& newPool, Instant now) const;
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
    std::set<std::pair<std::string, std::string>> impossibleMoves_; // instance type, pool
    std::vector<std::pair<uint64_t, bool>> waveChanges_;
};

} // namespace shallotdrift
