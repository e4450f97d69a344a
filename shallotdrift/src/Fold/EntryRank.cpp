#include "EntryRank.h"

#include "../Base/Digest.h"

#include <algorithm>
#include <utility>

namespace shallotdrift {

std::vector<std::string> rankEntries(const FleetState& state, std::string_view salt)
{
    uint64_t seed = digestOf(salt);
    std::vector<std::pair<uint64_t, std::string>> ranked;
    ranked.reserve(state.entries.size());
    for (const auto& [id, entry] : state.entries)
        ranked.emplace_back(digestOf(id, seed), id);
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> ids;
    ids.reserve(ranked.size());
    for (auto& [digest, id] : ranked)
        ids.push_back(std::move(id));
    return ids;
}

} // namespace shallotdrift
