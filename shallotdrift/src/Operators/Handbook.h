#pragma once

#include "../Settings/HandbookPlan.h"

#include <map>
#include <set>

namespace shallotdrift::internal {

// The operators' handbook of named plans. Each entry keeps its newest version and the version that a review approved
// last.
class Handbook {
public:
    struct Entry {
        uint64_t version = 0; // newest; numbered from 1
        std::string ini {};
        std::string author {};
        std::string reviewer {}; // of the newest version; empty before its review
        bool approved = false; // the newest version
        uint64_t approvedVersion = 0; // 0: none
        std::string approvedIni {};
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

    // Adds a version, which needs a review. StaleEpoch unless expectedVersion is the newest version (0 for a new
    // entry).
    OperationResult propose(const std::string& name, uint64_t expectedVersion, const std::string& ini,
        const std::string& author, const FleetNames&);
    // Approves or rejects the newest version. It can be reviewed once, and not by its author.
    OperationResult review(const std::string& name, uint64_t version, bool approved, const std::string& reviewer);
    // Finds and parses a version. Version 0 is the approved one or, if none is approved, the newest. With onlyApproved
    // any other than the approved version fails with NotReviewed; only a rehearsal reads versions that are not
    // approved.
    OperationResult findPlan(
        const std::string& name, uint64_t version, bool onlyApproved, uint64_t& foundVersion, HandbookPlan& plan) const;
    const std::map<std::string, Entry>& entries() const { return entries_; }

    // Stored form: one record for each entry.
    static std::string keyOf(const std::string& name);
    std::string encode(const std::string& name) const;
    // False if the key does not belong to a handbook entry or the value cannot be parsed.
    bool restore(const std::string& key, const std::string& value);

private:
    std::map<std::string, Entry> entries_;
};

} // namespace shallotdrift::internal
