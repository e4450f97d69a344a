#pragma once

#include "FoldData.h"

#include <string>
#include <string_view>

namespace shallotdrift::internal {

// Canonical bytes: a checksum, then the serialized SnapshotState.
std::string encodeSnapshot(const FoldData&);

// Accepts only bytes that encodeSnapshot could have written for a state that the fold can reach; SnapshotInvalid
// otherwise.
Result<FoldData> decodeSnapshot(std::string_view);

} // namespace shallotdrift::internal
