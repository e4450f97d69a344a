#include "SnapshotWriter.h"

#include "../Base/Digest.h"

#include <algorithm>
#include <utility>

namespace shallotdrift {

SnapshotWriter::SnapshotWriter(Offset offset, std::string bytes)
    : offset_(offset)
    , bytes_(std::move(bytes))
    , checksum_(digestOf(bytes_))
{
}

uint32_t SnapshotWriter::count() const
{
    return static_cast<uint32_t>(std::max<size_t>(1, (bytes_.size() + chunkBytes - 1) / chunkBytes));
}

template <typename Piece> void SnapshotWriter::fill(uint32_t index, Piece& piece) const
{
    piece.set_snapshot_offset(offset_);
    piece.set_index(index);
    piece.set_count(count());
    piece.set_checksum(checksum_);
    piece.set_data(bytes_.substr(index * chunkBytes, chunkBytes));
}

std::vector<proto::Record> SnapshotWriter::records() const
{
    std::vector<proto::Record> records(count());
    for (uint32_t i = 0; i < records.size(); ++i)
        fill(i, *records[i].mutable_snapshot_chunk());
    return records;
}

std::vector<proto::SnapshotPart> SnapshotWriter::parts() const
{
    std::vector<proto::SnapshotPart> parts(count());
    for (uint32_t i = 0; i < parts.size(); ++i)
        fill(i, parts[i]);
    return parts;
}

} // namespace shallotdrift
