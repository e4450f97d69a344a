#pragma once

#include "shallotdrift/Fold.h"

#include <map>
#include <set>
#include <string>

namespace shallotdrift {

// Checks one transition of the fold without using the fold's own rules. Returns the first violation, or an empty text.
std::string findViolation(const FleetState& before, const proto::Record&, const Verdict&, const FleetState& after);

// Follows from accepted records alone who still owes an acknowledgement and who owns a key.
class FoldWitness {
public:
    // Returns the first violation, or an empty text.
    std::string observe(const FleetState& after, const proto::Record&, const Verdict&);
    std::string text() const;

private:
    void entryEnded(const std::string& entry);

    std::map<std::string, std::set<std::string>> owed_; // by operation
    std::map<std::string, std::string> keyOwners_; // by key; entry and boot that may run the work
    std::set<std::string> finishedKeys_;
};

// Snapshot message without what differs between orders of the same changes: offsets, writers, times and the audit
// trail.
std::string projectionOf(const Fold&);

proto::SnapshotState messageOf(const std::string& snapshot);
// Snapshot bytes of a message, with a valid checksum.
std::string sealed(const proto::SnapshotState&);

} // namespace shallotdrift
