#pragma once

#include "../Settings/HandbookPlan.h"

#include <map>
#include <set>

namespace shallotdrift::internal {

// The operators' handbook of named plans. Each entry keeps its newest version and the most recently approved version.
class Handbook {
public:
    struct Entry {
        uint64_t version = 0; // number of the newest version, from 1
        std::string ini {}; // text of the newest version
        std::string author {}; // author of the newest version
        std::string reviewer {}; // reviewer of the newest version; empty before its review
        bool approved = false; // whether the newest version is approved
        uint64_t approvedVersion = 0; // 0 if no version is approved
        std::string approvedIni {}; // text of the approved version
    };
    struct OperationResult {
        ResultCode code = ResultCode::Ok;
        std::string message {};
    };
    // Pools and zones that a plan may refer to.
    struct FleetNames {
        std::set<std::string> pools {};
        std::set<std::string> zones {};
    };

    // Adds a version, which needs a review before it can be invoked. Fails with StaleEpoch unless expectedVersion is
    // the newest version, or 0 for a new entry.
    OperationResult propose(const std::string& name, uint64_t expectedVersion, const std::string& ini,
        const std::string& author, const FleetNames&);
    // Approves or rejects a version, which must be the newest. A version can be reviewed only once, and not by its
    // author.
    OperationResult review(const std::string& name, uint64_t version, bool approved, const std::string& reviewer);
    // Finds and parses a version. Version 0 stands for the approved version or, if no version is approved, the newest.
    // With onlyApproved, fails with NotReviewed for any other version than the approved one; only a rehearsal reads
    // versions that are not approved.
    OperationResult findPlan(
        const std::string& name, uint64_t version, bool onlyApproved, uint64_t& foundVersion, HandbookPlan& plan) const;
    const std::map<std::string, Entry>& entries() const { return entries_; }

    // Stored form: one record for each entry.
    static std::string keyOf(const std::string& name);
    std::string encode(const std::string& name) const;
    // Loads a stored record. Returns false if the key does not belong to a handbook entry or the value cannot be
    // parsed.
    bool restore(const std::string& key, const std::string& value);

private:
    std::map<std::string, Entry> entries_;
};

} // namespace shallotdrift::internal
