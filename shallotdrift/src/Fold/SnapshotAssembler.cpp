#include "SnapshotAssembler.h"

#include "../Base/Digest.h"
#include "SnapshotWriter.h"

namespace shallotdrift {

SnapshotAssembler::SnapshotAssembler(SnapshotAssemblerOptions options)
    : options_(options)
{
}

std::optional<AssembledSnapshot> SnapshotAssembler::add(const proto::SnapshotChunk& chunk) { return addPiece(chunk); }

std::optional<AssembledSnapshot> SnapshotAssembler::add(const proto::SnapshotPart& part) { return addPiece(part); }

template <typename Piece> std::optional<AssembledSnapshot> SnapshotAssembler::addPiece(const Piece& piece)
{
    const auto& data = piece.data();
    bool plausible = piece.index() < piece.count() && !data.empty() && data.size() <= SnapshotWriter::chunkBytes
        && piece.count() <= options_.maximumBytes / SnapshotWriter::chunkBytes;
    if (!plausible || piece.snapshot_offset() <= completedOffset_)
        return std::nullopt;
    Identity identity { piece.snapshot_offset(), piece.checksum(), piece.count() };
    keep(identity, piece.index(), data);
    return complete(identity);
}

// Over the limits, the snapshots of the lowest offsets are given up; the pieces of a newer one are worth more.
void SnapshotAssembler::keep(const Identity& identity, uint32_t index, const std::string& data)
{
    auto& assembly = incomplete_[identity];
    if (!assembly.pieces.emplace(index, data).second)
        return;
    assembly.bytes += data.size();
    heldBytes_ += data.size();
    while (heldBytes_ > options_.maximumBytes || incomplete_.size() > options_.maximumSnapshots)
        drop(Identity(incomplete_.begin()->first));
}

std::optional<AssembledSnapshot> SnapshotAssembler::complete(const Identity& identity)
{
    auto assembly = incomplete_.find(identity);
    if (assembly == incomplete_.end() || assembly->second.pieces.size() < std::get<2>(identity))
        return std::nullopt;
    AssembledSnapshot snapshot { std::get<0>(identity), {} };
    snapshot.bytes.reserve(assembly->second.bytes);
    for (const auto& [index, data] : assembly->second.pieces)
        snapshot.bytes += data;
    // With a wrong piece among them, all are dropped and can be collected anew.
    drop(identity);
    if (digestOf(snapshot.bytes) != std::get<1>(identity))
        return std::nullopt;
    completedOffset_ = snapshot.offset;
    while (!incomplete_.empty() && std::get<0>(incomplete_.begin()->first) <= completedOffset_)
        drop(Identity(incomplete_.begin()->first));
    return snapshot;
}

void SnapshotAssembler::drop(const Identity& identity)
{
    auto assembly = incomplete_.find(identity);
    heldBytes_ -= assembly->second.bytes;
    incomplete_.erase(assembly);
}

} // namespace shallotdrift
