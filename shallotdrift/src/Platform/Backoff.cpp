#include "Backoff.h"

#include <algorithm>

namespace shallotdrift::internal {

Backoff::Backoff(Milliseconds first, Milliseconds maximum, uint64_t seed)
    : first_(std::max(first, Milliseconds(1)))
    , maximum_(std::max(maximum, first_))
    , bound_(first_)
    , random_(seed)
{
}

Milliseconds Backoff::next()
{
    std::uniform_int_distribution<Milliseconds::rep> delay(0, bound_.count());
    Milliseconds chosen(delay(random_));
    bound_ = std::min(bound_ * 2, maximum_);
    return chosen;
}

void Backoff::reset() { bound_ = first_; }

} // namespace shallotdrift::internal
