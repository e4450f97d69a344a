#include "LeaseRecord.h"

#include "Closing.h"

#include <algorithm>

namespace shallotdrift::internal {

// Grants of 33 s at one a second, doubled.
static constexpr size_t maximumGrants = 64;

void LeaseRecord::granted(Offset gateOffset, Instant now)
{
    if (!grants_.empty() && grants_.back().gateOffset == gateOffset) {
        grants_.back().at = std::max(grants_.back().at, now);
        return;
    }
    grants_.push_back({ gateOffset, now });
    if (grants_.size() <= maximumGrants)
        return;
    // Merged into one that lasts at least as long and counts for at least as many closings.
    auto oldest = grants_.front();
    grants_.pop_front();
    auto& next = grants_.front();
    next.gateOffset = std::min(next.gateOffset, oldest.gateOffset);
    next.at = std::max(next.at, oldest.at);
}

void LeaseRecord::reported(Offset folded, const std::set<std::string>& busy, const std::vector<Closing>& closings)
{
    std::map<std::string, Offset> cleared;
    for (const auto& closing : closings) {
        auto& upTo = cleared[closing.instance];
        if (auto known = clearedUpTo_.find(closing.instance); known != clearedUpTo_.end())
            upTo = std::max(upTo, known->second);
        if (folded >= closing.offset && !busy.count(closing.instance))
            upTo = std::max(upTo, closing.offset);
    }
    clearedUpTo_ = std::move(cleared);
}

bool LeaseRecord::clearOf(const Closing& closing, Instant now, Duration holdTime) const
{
    auto cleared = clearedUpTo_.find(closing.instance);
    if (cleared != clearedUpTo_.end() && cleared->second >= closing.offset)
        return true;
    return std::none_of(grants_.begin(), grants_.end(),
        [&](const Grant& grant) { return grant.gateOffset < closing.offset && now - grant.at <= holdTime; });
}

bool LeaseRecord::expired(Instant now, Duration holdTime) const
{
    return std::all_of(grants_.begin(), grants_.end(), [&](const Grant& grant) { return now - grant.at > holdTime; });
}

void LeaseRecord::forgetExpired(Instant now, Duration holdTime)
{
    while (!grants_.empty() && now - grants_.front().at > holdTime)
        grants_.pop_front();
}

} // namespace shallotdrift::internal
