#pragma once

#include "FleetState.h"

#include <log.pb.h>
#include <peer.pb.h>

#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift {

// Splits a snapshot into chunks for the log or into parts for a peer.
class SnapshotWriter {
public:
    static constexpr size_t chunkBytes = 48 << 10;

    SnapshotWriter(Offset, std::string bytes);

    uint32_t count() const;
    // Records with the chunks in order; identity and time are left to the log writer.
    std::vector<proto::Record> records() const;
    std::vector<proto::SnapshotPart> parts() const;

private:
    template <typename Piece> void fill(uint32_t index, Piece&) const;

    Offset offset_;
    std::string bytes_;
    uint64_t checksum_;
};

} // namespace shallotdrift
