#include "FoldData.h"
#include "Names.h"

#include <algorithm>

namespace shallotdrift::internal {

static WallTime secondLargest(const std::map<std::string, WallTime>& stamps)
{
    WallTime largest {};
    WallTime second {};
    for (const auto& [entry, stamp] : stamps) {
        second = std::max(second, std::min(largest, stamp));
        largest = std::max(largest, stamp);
    }
    return stamps.size() == 1 ? largest : second;
}

void advanceFoldTime(FoldData& data)
{
    auto time = secondLargest(data.memberStamps);
    if (time <= data.state.foldTime)
        return;
    data.state.foldTime = time;
    expireKeys(data);
}

void expireKeys(FoldData& data)
{
    auto horizon = data.state.foldTime - data.state.configuration.keyWindow;
    if (horizon <= data.keyHorizon)
        return;
    data.keyHorizon = horizon;
    auto& keys = data.state.keys;
    // Keys sort by their time of issue.
    while (!keys.empty() && issueTimeOf(keys.begin()->first).value_or(WallTime {}) <= horizon)
        keys.erase(keys.begin());
}

} // namespace shallotdrift::internal
