#include "SnapshotTransfer.h"

#include "../Base/Digest.h"

#include <algorithm>

namespace shallotdrift {

// A connection buffers 32 messages, so that parts of this size carry snapshots of 8 MB in one go. Log chunks are
// smaller because an append has a smaller limit.
static constexpr size_t partBytes = 256 << 10;
static constexpr uint32_t maximumParts = 256;

std::vector<proto::SnapshotPart> splitSnapshot(Offset offset, std::string_view bytes)
{
    auto count = std::max<size_t>((bytes.size() + partBytes - 1) / partBytes, 1);
    auto checksum = digestOf(bytes);
    std::vector<proto::SnapshotPart> parts(count);
    for (size_t index = 0; index < count; ++index) {
        auto& part = parts[index];
        part.set_snapshot_offset(offset);
        part.set_index(static_cast<uint32_t>(index));
        part.set_count(static_cast<uint32_t>(count));
        part.set_checksum(checksum);
        part.set_data(std::string(bytes.substr(index * partBytes, partBytes)));
    }
    return parts;
}

SnapshotAssembler::SnapshotAssembler(std::string sender)
    : sender_(std::move(sender))
{
}

bool SnapshotAssembler::valid(const proto::SnapshotPart& part) const
{
    return part.snapshot_offset() >= offset_ && part.count() > 0 && part.count() <= maximumParts
        && part.index() < part.count() && part.data().size() <= partBytes;
}

void SnapshotAssembler::startOver(const proto::SnapshotPart& part)
{
    offset_ = part.snapshot_offset();
    checksum_ = part.checksum();
    count_ = part.count();
    parts_.clear();
}

std::optional<std::string> SnapshotAssembler::add(const std::string& sender, proto::SnapshotPart part)
{
    if (sender != sender_ || !valid(part))
        return std::nullopt;
    if (part.snapshot_offset() != offset_ || part.checksum() != checksum_ || part.count() != count_)
        startOver(part);
    parts_[part.index()] = std::move(*part.mutable_data());
    if (parts_.size() < count_)
        return std::nullopt;
    std::string whole;
    for (const auto& [index, data] : parts_)
        whole += data;
    parts_.clear();
    if (digestOf(whole) != checksum_)
        return std::nullopt;
    return whole;
}

} // namespace shallotdrift
