#pragma once

#include "../Platform/PlatformClient.h"
#include "CoreContext.h"
#include "PeerDirectory.h"
#include "Proposals.h"

#include <functional>
#include <map>
#include <string>

namespace shallotdrift {

// Keeps the folded state current: follows the log, bridges gaps with snapshots from the log or from peers, writes
// snapshots when this entry's turn comes, and serves its state to other entries.
class StateKeeper {
public:
    using FoldedHandler = std::function<void(const FoldedRecord&)>;
    using ReplacedHandler = std::function<void()>; // the state jumped ahead; single records were not seen

    StateKeeper(CoreContext&, Proposals&, PeerDirectory&, FoldedHandler, ReplacedHandler);

    // Folds a page of the log and returns the offset to read from next.
    Offset pageArrived(const LogPage&, Instant now);
    void tick(Instant now);

    void snapshotRequested(const std::string& peer, const proto::SnapshotRequest&, Instant now);
    void snapshotPart(const proto::SnapshotPart&);

    // True once the state was complete up to the head of the log, or came from a peer during an outage.
    bool complete() const { return complete_; }

private:
    Offset follow(const LogPage&, Instant now);
    Offset scan(const LogPage&, Instant now);
    bool install(const std::string& snapshot, const char* source);
    void writeSnapshotWhenDue(Instant now);
    void askPeers(Instant now);

    CoreContext& context_;
    Proposals& proposals_;
    PeerDirectory& peers_;
    FoldedHandler onFolded_;
    ReplacedHandler onReplaced_;
    SnapshotAssembler logSnapshots_; // chunks seen in the log
    SnapshotAssembler peerSnapshots_; // parts sent by peers
    bool complete_ = false;
    bool scanning_ = false; // looking for a snapshot behind a gap
    Offset lastSnapshot_ = 0;
    Offset retained_ = 0; // entries that the log keeps, as last seen
    bool truncated_ = false; // the log has dropped records
    Instant snapshotDueSince_ {};
    Instant lastSnapshotAt_ {};
    Instant nextPeerRequest_ {};
    std::map<std::string, Instant> lastServed_;
};

} // namespace shallotdrift
