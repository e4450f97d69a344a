#pragma once

#include "FleetState.h"

#include <log.pb.h>
#include <peer.pb.h>

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace shallotdrift {

struct AssembledSnapshot {
    Offset offset = 0;
    std::string bytes;
};

struct SnapshotAssemblerOptions {
    size_t maximumBytes = 64 << 20; // held for incomplete snapshots
    size_t maximumSnapshots = 8; // incomplete at once
};

// Collects the pieces of snapshots from the log and from peers, in any order, with copies, several snapshots mixed.
class SnapshotAssembler {
public:
    explicit SnapshotAssembler(SnapshotAssemblerOptions = {});

    // Returns the snapshot that the piece completes, when its checksum matches. Pieces of snapshots at or below the
    // last completed offset are dropped.
    std::optional<AssembledSnapshot> add(const proto::SnapshotChunk&);
    std::optional<AssembledSnapshot> add(const proto::SnapshotPart&);

    size_t heldBytes() const { return heldBytes_; }
    size_t incompleteSnapshots() const { return incomplete_.size(); }

private:
    using Identity = std::tuple<Offset, uint64_t, uint32_t>; // offset, checksum, count
    struct Assembly {
        std::map<uint32_t, std::string> pieces;
        size_t bytes = 0;
    };

    template <typename Piece> std::optional<AssembledSnapshot> addPiece(const Piece&);
    void keep(const Identity&, uint32_t index, const std::string& data);
    std::optional<AssembledSnapshot> complete(const Identity&);
    void drop(const Identity&);

    SnapshotAssemblerOptions options_;
    std::map<Identity, Assembly> incomplete_; // lowest offset first
    size_t heldBytes_ = 0;
    Offset completedOffset_ = 0;
};

} // namespace shallotdrift
