#include "DutyLimiter.h"

namespace shallotdrift {

// Subjects that ended are not reported back, so the bookkeeping is dropped as a whole at this size. Subjects that are
// still due come back when they are next asked about.
static constexpr size_t maximumSubjects = 20000;

bool DutyLimiter::mayAct(const std::string& subject, Instant now, Duration interval)
{
    return peers_.mayAct(subject, dueSince(subject, now), now) && mayRepeat(subject, now, interval);
}

bool DutyLimiter::mayRepeat(const std::string& subject, Instant now, Duration interval)
{
    if (lastAct_.size() > maximumSubjects)
        lastAct_.clear();
    auto [last, first] = lastAct_.emplace(subject, now);
    if (!first && now - last->second < interval)
        return false;
    last->second = now;
    return true;
}

Instant DutyLimiter::dueSince(const std::string& subject, Instant now)
{
    if (dueSince_.size() > maximumSubjects)
        dueSince_.clear();
    return dueSince_.emplace(subject, now).first->second;
}

} // namespace shallotdrift
