#pragma once

#include "FoldData.h"

namespace shallotdrift::internal {

constexpr uint32_t snapshotFormat = 1;

// Translation between the fold's data and the snapshot message, in both directions.
proto::SnapshotState snapshotFrom(const FoldData&);

// Fills the data from the message. Returns a text that names the first mistake; empty when there is none.
std::string dataFrom(const proto::SnapshotState&, FoldData&);

} // namespace shallotdrift::internal
