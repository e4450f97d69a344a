#pragma once

#include "../Policy/LendingPlanner.h"
#include "EventQueue.h"
#include "FleetModel.h"
#include "ReplayReport.h"
#include "SimulatedInstance.h"

#include <functional>
#include <set>

namespace shallotdrift::internal {

// Carries out moves, losses and maintenance waves on the simulated platform, as the entries and the platform do.
class FleetDriver {
public:
    FleetDriver(const Trace&, bool lending, EventQueue&, SimulatedInstances&, ReplayReport&);

    const FleetState& state() const { return model_->state(); }
    // Called after each change of the state.
    void onChange(std::function<void()> change) { change_ = std::move(change); }

    // Starts moves by the demand of all entries.
    void planLending(const PoolDemands&);
    void apply(const TraceEvent&);
    // Zones whose entries do not answer.
    const std::set<std::string>& silentZones() const { return silentZones_; }

private:
    struct Operation {
        enum class Step : uint8_t {
            Proposed,
            Closing,
            Rebooting,
        };
        std::string id;
        std::string instance;
        PlannedMove move; // of a move
        PlannedMaintenance maintenance; // of a maintenance
        bool isMove = false;
        Step step = Step::Proposed;
        Instant since {};
    };
    struct RunningWave {
        std::string id;
        Instant startedAt {};
        // Least time that each pool's budget allows: its rounds, and the time in which losses alone used up the budget.
        std::map<std::string, double> bestSeconds;
    };

    // Events.
    void foldProposal(uint64_t operation, uint64_t);
    void poll(uint64_t, uint64_t);
    void startReboot(uint64_t operation, uint64_t);
    void finishReboot(uint64_t operation, uint64_t);
    void planWaves(uint64_t, uint64_t);
    void recordLoss(uint64_t event, uint64_t);
    void recordReturn(uint64_t event, uint64_t);
    void foldWave(uint64_t event, uint64_t);

    void propose(Operation);
    void advance(Operation&);
    void giveUp(Operation&);
    void checkBudget(const std::string& pool);
    std::map<std::string, double> bestSeconds(const std::string& waveId) const;
    void noteLosses();
    void noteWaveEnds();
    bool selects(const TraceEvent&, const SimulatedInstance&) const;
    bool busy(const std::string& instance) const;

    const Trace& trace_;
    bool lending_;
    EventQueue& queue_;
    SimulatedInstances& instances_;
    ReplayReport& report_;
    std::unique_ptr<FleetModel> model_;
    LendingPlanner planner_;
    std::function<void()> change_;
    std::map<uint64_t, Operation> operations_;
    uint64_t nextOperation_ = 1;
    std::vector<RunningWave> waves_;
    std::vector<TraceEvent> events_; // applied ones, for delayed records
    std::set<std::string> silentZones_;
};

} // namespace shallotdrift::internal
