#pragma once

#include "Job.h"

#include <string>
#include <utility>
#include <vector>

namespace shallotdrift {

// A change of the stored state; an empty value removes the key.
struct StateRecord {
    std::string key {};
    std::string value {};
};

// Keys of a job's records: the id alone is the key of the specification. The state has one or more parts; the key of
// the first one is the id with a suffix, the keys of the others have the number of the part behind the suffix.
std::string stateKey(const std::string& job, uint32_t part = 0);

struct JobKey {
    std::string job;
    std::optional<uint32_t> statePart; // nullopt: the key is not that of a part of a state
};
JobKey parseJobKey(const std::string& key);

// Adds the records that store the changed state of the job, each of at most maximumRecordBytes with its key. The owner
// may be lost after any of them, so their order matters: a part precedes the one that its rows have left, and of an
// ended job the specification is removed last.
void addChangedRecords(Job&, size_t maximumRecordBytes, std::vector<StateRecord>&);

// True if the record of the job's specification has at most maximumRecordBytes with its key.
bool specFitsRecord(const Job&, size_t maximumRecordBytes);

} // namespace shallotdrift
