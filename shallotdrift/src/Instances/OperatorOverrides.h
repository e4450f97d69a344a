#pragma once

#include "../Base/ResultCode.h"
#include "InstancePlanner.h"

namespace shallotdrift {

// What operators have asked for and not taken back: loans between pools, drains and waves. The planner carries it out.
class OperatorOverrides {
public:
    struct Drain {
        std::string id {}; // of the change that asked for it
        std::set<std::string> instances {};
        std::set<std::string> drained {}; // were emptied and switched off
        uint32_t maximumParallel = 1;
        bool wave = false; // instances return to service once they are done
        bool paused = false;
        bool completed() const { return wave && drained.size() == instances.size(); }
    };
    struct OperationResult {
        ResultCode code = ResultCode::Ok;
        std::string message {};
    };
    // Empty names select everything.
    struct Selection {
        std::string pool {};
        std::string zone {};
        std::vector<std::string> instances {};
    };
    enum class WaveChange : uint8_t { Pause, Resume, Abort };

    // Each checks first; with any code but Ok nothing has changed.
    OperationResult checkLoan(const PoolLoan&, const InstancePlanner&) const;
    OperationResult lend(const PoolLoan&, const InstancePlanner&);
    OperationResult returnLent(const std::string& pool); // empty: to all pools
    OperationResult checkDrain(const Selection&, bool wave, const InstancePlanner&) const;
    OperationResult drain(
        const std::string& id, const Selection&, bool wave, uint32_t maximumAtOnce, const InstancePlanner&);
    OperationResult changeWave(const std::string& id, WaveChange);

    // Marks the instances that have been emptied since the last call.
    void markDrained(const InstancePlanner&);
    std::set<std::string> outOfService() const;
    std::vector<PoolLoan> loans() const;
    const std::map<std::string, Drain>& drains() const { return drains_; }

    // Durable form: a record for each loan and each drain; an empty value removes the record.
    using Record = std::pair<std::string, std::string>; // key, value
    std::vector<Record> takeChangedRecords();
    // False for a record of another kind.
    bool restore(const std::string& key, const std::string& value);

private:
    static std::set<std::string> select(const Selection&, const InstancePlanner&);

    std::map<std::string, PoolLoan> loans_; // by id
    std::map<std::string, Drain> drains_;
    std::set<std::string> changedKeys_; // keys of records
};

} // namespace shallotdrift
