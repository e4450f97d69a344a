#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace shallotdrift::internal {

std::string toMessagePack(const nlohmann::json&);

// Distributes the rows of a job's state over parts of at most maximumBytes. Each part has the header, so that a reader
// can tell which part was written last. A row stays in its part as long as it fits there, else it moves to the next
// higher part with room; *partOfRow[i] is the part of row i, before and after. A checkpoint that fits no part is left
// out: the task then starts again without it if the worker has ended the run as well. The result has at least
// minimumCount parts.
std::vector<std::string> encodeParts(nlohmann::json header, nlohmann::json rows,
    const std::vector<uint32_t*>& partOfRow, size_t minimumCount, size_t maximumBytes);

// Returns the header that was written last. A job is opened, closed and ended once, so this is the one with the most
// progress. Throws a json exception if one is malformed.
const nlohmann::json& latestHeader(const std::vector<nlohmann::json>& headers);

} // namespace shallotdrift::internal
