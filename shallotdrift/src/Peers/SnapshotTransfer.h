#pragma once

#include "../Fold/FleetState.h"

#include <peer.pb.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift {

// Cuts a snapshot into parts that fit a peer message, in the order to send them.
std::vector<proto::SnapshotPart> splitSnapshot(Offset, std::string_view bytes);

// Puts the parts of one snapshot from one peer together. The parts can arrive in any order and more than once. Another
// peer, or another snapshot of the same peer, needs another assembler or starts over.
class SnapshotAssembler {
public:
    explicit SnapshotAssembler(std::string sender);

    // Returns the whole snapshot with the last missing part; empty otherwise, also for parts that are malformed, of
    // another sender, or do not match the checksum.
    std::optional<std::string> add(const std::string& sender, proto::SnapshotPart);

    Offset offset() const { return offset_; }

private:
    bool valid(const proto::SnapshotPart&) const;
    void startOver(const proto::SnapshotPart&);

    const std::string sender_;
    Offset offset_ = 0;
    uint64_t checksum_ = 0;
    uint32_t count_ = 0;
    std::map<uint32_t, std::string> parts_;
};

} // namespace shallotdrift
