#pragma once

#include "../Base/Time.h"

#include <array>
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
    double memory = 0; // MB
};

// A number of instances that operators add to the desired size of one pool and take from that of another.
struct PoolLoan {
    std::string id {}; // of the change that requested the loan
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
    double allocatedCores = 0; // allocated to runs
    double longRunningCores = 0; // requested by long-running tasks, whether they are placed or waiting
    double waitingCores = 0; // requested by waiting tasks whose dependencies are completed
    // Cores needed to complete the accepted jobs by their soft deadlines, excluding long-running tasks.
    double requiredCores = 0;
    uint32_t minimumWorkers = 0; // workers onto which all long-running tasks can be packed
    double overdueCores = 0; // part of requiredCores for jobs that can no longer meet their soft deadlines
    double longRunningMemory = 0; // MB, requested by long-running tasks
    double requiredMemory = 0; // MB, for the same work as requiredCores
    std::vector<WorkerLoad> workers {};
    Instant requestedAt {}; // the request for the report also carried the cordons of that time
};

// Maintenance of a set of instances before a deadline.
struct MaintenanceWave {
    uint64_t number = 0;
    std::vector<std::string> instances;
    uint32_t maximumParallel = 1; // limit of instances in maintenance at the same time
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
    Milliseconds trendWindow { 1000 }; // time over which the rise of requiredCores is measured
    double forecastHorizonWindows = 1.5; // time from an order until its instance runs tasks, in trend windows
    Milliseconds stabilizationWindow { 1200 }; // the desired size is the largest size needed within this window
    Milliseconds scaleDownDelay { 700 }; // a pool shrinks after it has been larger than desired for this time
    Milliseconds maximumReportAge { 900 }; // older reports are ignored
    Milliseconds maintenanceDuration { 2300 }; // an instance counts as in maintenance for this time after the order
    Milliseconds orderTimeout { 2500 }; // a move order that has not taken effect after this time is dropped
    Milliseconds emptyingTimeout { 4500 }; // a planned move is dropped if its instance is not empty after this time
    // A wave takes instances with runs only up to this share of their pool.
    double maximumCordonedShare = 0.34;
    Milliseconds waveUrgentTime { 6000 }; // before the deadline of a wave; from then on its limits in a pool are lifted
    Milliseconds waveCycleTime { 5000 }; // to empty and to maintain an instance that has long-running tasks
    size_t maximumOrdersPerPlan = 24; // limit of orders from one plan()
    Milliseconds orderRetryInterval { 500 }; // after a rejection that leaves an earlier order open
};

struct InstanceOrder {
    enum class Type : uint8_t { Move, Maintain };
    Type type = Type::Move;
    std::string instance {};
    std::string pool {}; // the new pool; set only for Move
    uint64_t wave = 0; // number of the wave that the instance is maintained for; set only for Maintain
};

// Decides on the size of pools, on moves of instances between them and on maintenance. An instance is cordoned first.
// It is moved or sent into maintenance only once the owner of its pool reports it empty, so no order ends a run.
class InstancePlanner {
public:
    explicit InstancePlanner(const PlannerOptions&);

    void setPools(std::map<std::string, PoolConfiguration> pools) { pools_ = std::move(pools); }
    void setInstances(std::vector<FleetInstance>);
    void setReport(PoolReport);
    // Adds a wave. Has no effect if a wave with the same number has been added before.
    void addWave(const MaintenanceWave&);
    // Restores the instances of the wave whose maintenance a previous manager has ordered, as read from the store.
    void restoreMaintained(uint64_t wave, const std::set<std::string>& instances);

    void setLoans(std::vector<PoolLoan> loans) { loans_ = std::move(loans); }
    // Sets the instances to be emptied, switched off and kept out of service.
    void setOutOfService(std::set<std::string> instances) { outOfService_ = std::move(instances); }

    // Holds back orders for the instance until the time given, because a previous manager has sent one recently.
    void setCooldown(const std::string& instance, Instant until) { cooldowns_[instance] = until; }

    // Returns the orders to send now. The caller passes the outcome of each to onOrderResult().
    std::vector<InstanceOrder> plan(Instant now);
    enum class Outcome : uint8_t {
        Ok,
        Busy, // rejected for now; the order is dropped and planned again, or sent again if an earlier one is open
        Impossible, // rejected: not possible for this instance type and pool, or not part of the wave
        Unknown, // no response; the order may have taken effect, or may still do so
        NotSent
    };
    void onOrderResult(const InstanceOrder&, Outcome, Instant now);
    // Whether the instance of an order from plan() is still empty, by the latest report. To be checked right before the
    // order is sent.
    bool maySend(const InstanceOrder&, Instant now) const;
    // Orders that were returned by plan() and have got no response. Their instances stay cordoned, and the orders are
    // repeated until there is a response.
    std::vector<InstanceOrder> openOrders() const;
    // Restores such an order of a previous manager.
    void restoreOpenOrder(const InstanceOrder&, Instant now);

    // Maps each instance that gets no new runs to the pool that is exempt from this, or to an empty string if none is.
    // The pool that an instance is moving to is exempt, so that it may use the instance as soon as the worker is up.
    std::map<std::string, std::string> cordons() const;
    // Instances that an open wave has yet to maintain. Owners avoid placing long-running tasks there.
    std::set<std::string> maintenanceDue() const;
    // Waves that have been started or completed since the last call: the number, and true if the wave is completed.
    std::vector<std::pair<uint64_t, bool>> takeWaveChanges();
    const std::set<std::string>& maintainedInstances(uint64_t wave) const;

    // State of a pool as of the last plan().
    struct PoolView {
        std::string name;
        size_t size = 0; // instances in the pool or moving to it, not counting those that are about to leave
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
        std::optional<Instant> orderedAt {};
        bool unanswered = false; // an order that was sent got no response, so it may still take effect
        bool confirmed = false; // the response to the last order says that it has taken effect
        Instant retryAt {}; // not sent again before
    };
    struct Pool {
        PoolReport report;
        std::deque<std::pair<Instant, double>> requiredCoresHistory; // within the trend window
        struct NeededSize {
            Instant at {};
            size_t size = 0;
            size_t urgentSize = 0;
        };
        std::vector<NeededSize> neededSizes; // within the stabilization window
        size_t desiredSize = 0;
        size_t urgentSize = 0; // part of the desired size that is not for overdue jobs
        size_t minimumSize = 1; // part of the desired size that long-running tasks need
        Instant surplusSince {}; // last time when the pool was not larger than desired
        size_t size = 0; // as PoolView::size
    };
    struct Wave {
        MaintenanceWave request;
        std::set<std::string> maintained;
        bool announced = false; // its start has been added to waveChanges_
        bool completed = false;
    };

    const PoolReport::WorkerLoad* loadOf(const FleetInstance&) const;
    bool hasFreshReport(const std::string& pool, Instant now) const;
    bool isEmptySinceCordon(const FleetInstance&, Instant cordonedSince, Instant now) const;
    double averageOf(double FleetInstance::*quantity, const std::string& pool) const;
    void updatePoolSizes(Instant now);
    double forecastRequiredCores(Pool&, Instant now) const;
    void dropExpiredOrders(Instant now);
    void applyLoans();
    void planOutOfService(Instant now);
    // What a pool needs: for long-running tasks, for jobs in time, for overdue jobs.
    static constexpr size_t claimLevels = 3;
    struct PoolClaim {
        Pool* pool = nullptr;
        std::array<size_t, claimLevels> sizes {};
    };
    void distributeScarceInstances();
    static size_t grantClaims(const std::vector<PoolClaim>&, size_t level, size_t available);
    void planWaves(Instant now);
    void planScaleUp(Instant now);
    void cancelMovesOut(const std::string& pool);
    void takeIdleInstances(const std::string& pool, bool switchedOff, Instant now);
    void takeBusyInstances(const std::string& pool, Instant now);
    void planScaleDown(Instant now);
    const std::string* leastLoadedInstance(const std::string& pool, const std::string& newPool, Instant now) const;
    bool maySpareForWave(const std::string& pool, size_t inMaintenance, bool hasRuns) const;
    std::map<std::string, size_t> waveParallelism(Instant now) const;
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
