#include "SnapshotCodec.h"

#include "../Base/Digest.h"
#include "SnapshotFormat.h"

#include <array>

namespace shallotdrift::internal {

static constexpr size_t checksumBytes = sizeof(uint64_t);

static std::array<char, checksumBytes> littleEndian(uint64_t value)
{
    std::array<char, checksumBytes> bytes {};
    for (size_t i = 0; i < checksumBytes; ++i)
        bytes[i] = static_cast<char>((value >> (8 * i)) & 0xff);
    return bytes;
}

static bool hasChecksum(std::string_view bytes)
{
    auto expected = littleEndian(digestOf(bytes.substr(checksumBytes)));
    return bytes.substr(0, checksumBytes) == std::string_view(expected.data(), expected.size());
}

std::string encodeSnapshot(const FoldData& data)
{
    std::string bytes(checksumBytes, '\0');
    snapshotFrom(data).AppendToString(&bytes);
    auto checksum = littleEndian(digestOf(std::string_view(bytes).substr(checksumBytes)));
    bytes.replace(0, checksumBytes, checksum.data(), checksum.size());
    return bytes;
}

Result<FoldData> decodeSnapshot(std::string_view bytes)
{
    if (bytes.size() < checksumBytes || !hasChecksum(bytes))
        return fail(ResultCode::SnapshotInvalid, "the snapshot's checksum does not match");
    proto::SnapshotState message;
    auto body = bytes.substr(checksumBytes);
    if (body.size() > INT32_MAX || !message.ParseFromArray(body.data(), static_cast<int>(body.size())))
        return fail(ResultCode::SnapshotInvalid, "the snapshot is no SnapshotState");
    FoldData data;
    if (auto mistake = dataFrom(message, data); !mistake.empty())
        return fail(ResultCode::SnapshotInvalid, "the snapshot is not valid: " + mistake);
    // Equal states must have equal bytes; this finds unsorted lists, unknown fields and other encodings.
    if (encodeSnapshot(data) != bytes)
        return fail(ResultCode::SnapshotInvalid, "the snapshot is not in canonical form");
    return data;
}

} // namespace shallotdrift::internal
