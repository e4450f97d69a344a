#pragma once

#include "../Fold/FleetState.h"
#include "../Fold/PlannedWork.h"

#include <map>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// Counts of the pools during one planning round, with the moves planned so far in that round.
class PoolLedger {
public:
    struct Pool {
        const PoolConfiguration* configuration = nullptr;
        std::string name;
        Urgency urgency = Urgency::Bulk; // of its most urgent kind
        uint32_t available = 0; // active, neither lost nor leaving, less those planned to leave
        uint32_t incoming = 0; // moves to the pool under way or planned
        uint32_t home = 0; // instances whose home it is
        double slotsPerInstance = 8;
        PoolBudget budget;
        std::vector<const Instance*> movable; // may be moved by the planner
        bool waveWaits = false; // some of its instances wait for a maintenance wave
        uint32_t need = 0; // instances, by current demand
        uint32_t slowNeed = 0; // instances, by recent demand
    };

    explicit PoolLedger(const FleetState&);

    std::map<std::string, Pool>& pools() { return pools_; }
    Pool* find(const std::string&);
    uint32_t movesUnderWay() const { return movesUnderWay_; }

    // The rules of the fold: the pool stays at or above its minimum, one of its racks is under planned work at once.
    static bool mayLeave(const Pool&, const Instance&);
    void recordMove(Pool& from, Pool& to, const Instance&);

private:
    void countInstances(const FleetState&);
    void countMoves(const FleetState&);
    void noteWaves(const FleetState&);

    std::map<std::string, Pool> pools_;
    uint32_t movesUnderWay_ = 0;
};

} // namespace shallotdrift::internal
