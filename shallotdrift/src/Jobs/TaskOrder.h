#pragma once

#include "JobTypes.h"

#include <tuple>

namespace shallotdrift {

inline bool operator<(const TaskId& left, const TaskId& right)
{
    return std::tie(left.job, left.occurrence, left.step, left.index)
        < std::tie(right.job, right.occurrence, right.step, right.index);
}

} // namespace shallotdrift
