#pragma once

#include "../Settings/HandbookPlan.h"

#include <map>
#include <set>

namespace shallotdrift::internal {

// The handbook: entries with their newest version and the version that a review has approved.
class Handbook {
public:
    struct Entry {
        uint64_t version = 0;
        std::string ini {};
        std::string author {};
        std::string reviewer {}; // of the newest version; empty before its review
        bool approved = false;
        uint64_t approvedVersion = 0;
        std::string approvedIni {};
    };
    struct OperationResult {
        ResultCode code = ResultCode::Ok;
        std::string message {};
    };
    // The names that a plan may use.
    struct FleetNames {
        std::set<std::string> pools {};
        std::set<std::string> zones {};
    };

    OperationResult propose(const std::string& name, uint64_t expectedVersion, const std::string& ini,
        const std::string& author, const FleetNames&);
    OperationResult review(const std::string& name, uint64_t version, bool approved, const std::string& reviewer);
    // Version 0 stands for the approved one. Only a rehearsal may read a version that is not approved.
    OperationResult findPlan(
        const std::string& name, uint64_t version, bool onlyApproved, uint64_t& foundVersion, HandbookPlan& plan) const;
    const std::map<std::string, Entry>& entries() const { return entries_; }

    static std::string keyOf(const std::string& name);
    std::string encode(const std::string& name) const;
    // False for a record of another kind, or one that cannot be read.
    bool restore(const std::string& key, const std::string& value);

private:
    std::map<std::string, Entry> entries_;
};

} // namespace shallotdrift::internal
