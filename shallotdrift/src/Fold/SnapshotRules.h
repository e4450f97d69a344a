#pragma once

#include "FoldData.h"

#include <string>

namespace shallotdrift::internal {

// Checks that the parts of the state refer to each other as the fold leaves them. Returns the first mistake; empty when
// there is none.
std::string findInconsistency(const FoldData&);

} // namespace shallotdrift::internal
