#pragma once

#include "../Base/ResultCode.h"
#include "InstancePlanner.h"

namespace shallotdrift {

// Changes of the fleet that operators have requested and not ended: loans between pools, drains and waves. The caller
// passes loans() and outOfService() to the InstancePlanner.
class OperatorOverrides {
public:
    // A drain empties instances and switches them off; a wave also returns them to service.
    struct Drain {
        std::string id {}; // of the change that requested the drain
        std::set<std::string> instances {};
        std::set<std::string> drained {}; // instances emptied so far, and switched off if there is a standby pool
        uint32_t maximumParallel = 1; // limit of instances that are being emptied at the same time
        bool wave = false;
        bool paused = false;
        bool completed() const { return wave && drained.size() == instances.size(); }
    };
    struct OperationResult {
        ResultCode code = ResultCode::Ok;
        std::string message {};
    };
    // Instances that match all criteria; an empty criterion matches everything.
    struct Selection {
        std::string pool {};
        std::string zone {};
        std::vector<std::string> instances {};
    };
    enum class WaveChange : uint8_t { Pause, Resume, Abort };

    // Each operation checks its arguments first; nothing has changed unless the code is Ok.
    OperationResult checkLoan(const PoolLoan&, const InstancePlanner&) const;
    OperationResult lend(const PoolLoan&, const InstancePlanner&);
    OperationResult returnLent(const std::string& pool); // ends the loans to the pool, or all loans if pool is empty
    OperationResult checkDrain(const Selection&, bool wave, const InstancePlanner&) const;
    // If maximumParallel is 0, a quarter of the selected instances is emptied at the same time, but at least one.
    OperationResult drain(
        const std::string& id, const Selection&, bool wave, uint32_t maximumParallel, const InstancePlanner&);
    // Pauses, resumes or ends the wave or drain with this id. Abort ends it, so that its instances may be used again.
    OperationResult changeWave(const std::string& id, WaveChange);

    // Updates Drain::drained. To be called after each change of the planner's instances or reports.
    void markDrained(const InstancePlanner&);
    // Instances that drains and waves keep out of service now.
    std::set<std::string> outOfService() const;
    std::vector<PoolLoan> loans() const;
    const std::map<std::string, Drain>& drains() const { return drains_; }

    // Stored form: one record for each loan and each drain; an empty value removes the record.
    using Record = std::pair<std::string, std::string>; // key, value
    std::vector<Record> takeChangedRecords(); // records that have changed since the last call
    // False if the record is not a loan or drain, or cannot be parsed.
    bool restore(const std::string& key, const std::string& value);

private:
    static std::set<std::string> select(const Selection&, const InstancePlanner&);

    std::map<std::string, PoolLoan> loans_; // by id
    std::map<std::string, Drain> drains_;
    std::set<std::string> changedKeys_; // keys of the records that takeChangedRecords() will return
};

} // namespace shallotdrift
