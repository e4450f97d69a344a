#include "StateKeeper.h"

#include "../Base/Logging.h"
#include "Metrics.h"

#include <algorithm>

namespace shallotdrift {

// Snapshots are written after this share of the retained entries, so that several complete ones stay in the log.
static constexpr Offset retentionShare = 4;
static constexpr Offset minimumSnapshotDistance = 50;
static constexpr Offset maximumSnapshotDistance = 2000;
// Retention may also be limited in time, which this entry does not know; a quiet log gets snapshots at this interval.
static constexpr Milliseconds snapshotInterval { std::chrono::minutes(2) };
static constexpr Milliseconds peerRequestInterval { 1000 };
static constexpr Milliseconds serveInterval { 500 };
// An entry has 32 MB in all; a snapshot at the size in two years is below 3 MB.
static constexpr SnapshotAssemblerOptions assemblerOptions { 6 << 20, 2 };

StateKeeper::StateKeeper(CoreContext& context, Proposals& proposals, PeerDirectory& peers, FoldedHandler onFolded,
    ReplacedHandler onReplaced)
    : context_(context)
    , proposals_(proposals)
    , peers_(peers)
    , onFolded_(std::move(onFolded))
    , onReplaced_(std::move(onReplaced))
    , logSnapshots_(assemblerOptions)
    , peerSnapshots_(assemblerOptions)
{
}

Offset StateKeeper::pageArrived(const LogPage& page, Instant now)
{
    retained_ = page.next - page.earliest;
    truncated_ = page.earliest > 1;
    Offset wanted = context_.fold.offset() + 1;
    if (!scanning_ && wanted < page.earliest) {
        logger("fold")->warn("the log keeps nothing below offset {}, offset {} is missing", page.earliest, wanted);
        scanning_ = true;
        logSnapshots_ = SnapshotAssembler(assemblerOptions);
        return page.earliest;
    }
    return scanning_ ? scan(page, now) : follow(page, now);
}

Offset StateKeeper::follow(const LogPage& page, Instant now)
{
    for (const auto& item : page.items) {
        if (item.offset <= context_.fold.offset())
            continue;
        auto records = handleError([&] { return context_.fold.apply(item.offset, item.payload); },
            [&](const Error& error) {
                logger("fold")->error("offset {}: {}", item.offset, error.message);
                return std::vector<FoldedRecord>();
            });
        for (const auto& record : records) {
            if (record.record.has_snapshot_chunk()) {
                if (auto complete = logSnapshots_.add(record.record.snapshot_chunk()))
                    lastSnapshot_ = std::max(lastSnapshot_, complete->offset);
                lastSnapshotAt_ = now;
            }
            onFolded_(record);
        }
    }
    if (context_.fold.offset() + 1 >= page.next && !complete_) {
        complete_ = true;
        logger("fold")->info("the state is complete at offset {}", context_.fold.offset());
    }
    return context_.fold.offset() + 1;
}

Offset StateKeeper::scan(const LogPage& page, Instant)
{
    for (const auto& item : page.items) {
        proto::RecordBatch batch;
        if (!batch.ParseFromString(item.payload))
            continue;
        for (const auto& record : batch.records()) {
            if (!record.has_snapshot_chunk())
                continue;
            auto complete = logSnapshots_.add(record.snapshot_chunk());
            // Only a snapshot with its whole tail still in the log is of use.
            if (!complete || complete->offset + 1 < page.earliest || complete->offset <= context_.fold.offset())
                continue;
            if (install(complete->bytes, "the log"))
                return context_.fold.offset() + 1;
        }
    }
    return page.items.empty() ? page.next : page.items.back().offset + 1;
}

bool StateKeeper::install(const std::string& snapshot, const char* source)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(fold, Fold::fromSnapshot(snapshot));
            // An older state than the one already served from would take back accepted configuration.
            if (fold.offset() <= context_.fold.offset())
                return false;
            context_.fold = std::move(fold);
            scanning_ = false;
            lastSnapshot_ = std::max(lastSnapshot_, context_.fold.offset());
            logger("fold")->info("installed a snapshot of offset {} from {}", context_.fold.offset(), source);
            onReplaced_();
            return true;
        },
        [&](const Error& error) {
            logger("fold")->error("snapshot from {} refused: {}", source, error.message);
            return false;
        });
}

void StateKeeper::tick(Instant now)
{
    if (!complete_ || scanning_)
        askPeers(now);
    if (complete_ && context_.member && !context_.stopping)
        writeSnapshotWhenDue(now);
}

void StateKeeper::askPeers(Instant now)
{
    if (now < nextPeerRequest_)
        return;
    // The log is the better source; peers are asked when it does not answer or no longer holds a snapshot.
    if (context_.outputs.platformReachable() && !scanning_)
        return;
    nextPeerRequest_ = now + peerRequestInterval;
    proto::PeerMessage message;
    message.mutable_snapshot_request()->set_above_offset(context_.fold.offset());
    context_.outputs.sendPeer(std::move(message));
}

void StateKeeper::snapshotRequested(const std::string& peer, const proto::SnapshotRequest& request, Instant now)
{
    if (!complete_ || scanning_ || context_.fold.offset() <= request.above_offset())
        return;
    auto& last = lastServed_[peer];
    if (now - last < serveInterval)
        return;
    last = now;
    for (auto& part : SnapshotWriter(context_.fold.offset(), context_.fold.snapshot()).parts()) {
        proto::PeerMessage message;
        message.set_receiver(peer);
        *message.mutable_snapshot_part() = std::move(part);
        context_.outputs.sendPeer(std::move(message));
    }
}

void StateKeeper::snapshotPart(const proto::SnapshotPart& part)
{
    if (complete_ && !scanning_)
        return;
    auto complete = peerSnapshots_.add(part);
    if (!complete || !install(complete->bytes, "another entry"))
        return;
    if (!context_.outputs.platformReachable())
        complete_ = true;
}

void StateKeeper::writeSnapshotWhenDue(Instant now)
{
    Offset distance = context_.fold.offset() - lastSnapshot_;
    Offset due = truncated_ ? retained_ / retentionShare : maximumSnapshotDistance;
    due = std::clamp(due, minimumSnapshotDistance, maximumSnapshotDistance);
    bool timeIsUp = lastSnapshotAt_ != Instant {} && now - lastSnapshotAt_ >= snapshotInterval;
    if (lastSnapshotAt_ == Instant {})
        lastSnapshotAt_ = now;
    if (distance < due && !(timeIsUp && distance > 0)) {
        snapshotDueSince_ = {};
        return;
    }
    if (snapshotDueSince_ == Instant {})
        snapshotDueSince_ = now;
    if (!peers_.mayAct("snapshot " + std::to_string(lastSnapshot_), snapshotDueSince_, now))
        return;
    // The chunks count as written here, so that they are not written again while they travel.
    lastSnapshot_ = context_.fold.offset();
    lastSnapshotAt_ = now;
    snapshotDueSince_ = {};
    for (auto& record : SnapshotWriter(context_.fold.offset(), context_.fold.snapshot()).records())
        proposals_.propose(std::move(record), "");
    context_.metrics.count("snapshots_written_total");
}

} // namespace shallotdrift
