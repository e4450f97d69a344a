#pragma once

#include "JobRecords.h"
#include "Worker.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift {

// What the owner of a service knows about the end of runs on silent workers, and what it stores of that so that the
// next owner never takes a run for ended too early. The record of the service holds
// - the unresponsive workers, with the remaining time of their leases, which are not extended meanwhile;
// - the start orders that may have got no response, by their numbers;
// - the remaining time of leases that are longer than the next owner would assume.
// Times are stored as durations, since the clocks of two owners may differ by any time.
class RunLedger {
public:
    using Workers = std::map<std::string, Worker>;

    RunLedger(const std::string& service, const LeaseOptions&, Instant takenOverAt);

    const std::string& key() const { return key_; }
    // Key of the record of earlier versions, which lists only the unresponsive workers.
    const std::string& formerKey() const { return formerKey_; }
    // Reads the record of the previous owner; empty: there is none. To be called before the first worker is added. A
    // record of an earlier version is only removed: without it, the owner waits longer.
    void restore(const std::string& record, const std::string& formerRecord, Instant now);

    // A worker that the owner has not heard of yet.
    Worker makeWorker(const std::string& id) const;
    // To be called before a worker is removed. It may come back and has seen the fencing tokens of its stages.
    void onRemoved(const Worker& worker) { firstStage_ = std::max(firstStage_, worker.lease.stage()); }

    // Start orders are numbered within the service, across owners.
    uint64_t makeStartNumber() { return nextStart_++; }
    // To be called for each start number in the stored state of jobs. Returns true if the previous owner may have had
    // no response to the order.
    bool restoreStart(uint64_t number);

    // The run has ended by this time if its worker does not respond until then.
    static Instant latestEnd(const Worker& worker, const Worker::Run& run)
    {
        return run.doubtful() ? worker.lease.unseenExpiresAt() : worker.lease.expiresAt();
    }

    // The records that have to be written now, in the same append as the runs that were placed since the last call, and
    // before them.
    std::vector<StateRecord> takeChangedRecords(Workers&, Instant now);
    // To be called when the records of the last takeChangedRecords() are stored.
    void onRecordsStored(Workers&) const;

    // Describes the first run that a next owner could take for ended before this owner does; nullopt if there is none.
    std::optional<std::string> findViolation(const Workers&, Instant now) const;

private:
    struct RecordedExpiry {
        Instant at;
        std::optional<int64_t> bootTime; // of the incarnation that held the lease; nullopt: unknown
    };

    bool updateUnresponsive(Workers&, Instant now);
    bool recordDue(const Workers&, Instant now) const;
    std::string encode(const Workers&, Instant now);
    bool isRecordedAsDoubtful(uint64_t number) const;
    Instant longLeaseExpiry(const Workers&, Instant now) const;

    std::string key_;
    std::string formerKey_;
    bool formerRecordStored_ = false;
    const LeaseOptions* options_;
    Instant takenOverAt_;
    Instant restoredLongExpiry_ {};
    std::map<std::string, RecordedExpiry> unresponsive_; // unresponsive workers with runs, as last recorded
    uint64_t nextStart_ = 1;
    uint32_t firstStage_ = 0; // of workers that are added from now on
    // As last written: orders in the set, and those from the limit on, may have got no response.
    std::set<uint64_t> doubtfulStarts_;
    uint64_t doubtfulFrom_ = 0;
    Instant longExpiry_ {}; // latest expiry of a lease that is longer than the next owner would assume
    Instant recordedAt_ {};
};

} // namespace shallotdrift
