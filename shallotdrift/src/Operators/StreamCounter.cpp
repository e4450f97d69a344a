#include "StreamCounter.h"

#include <algorithm>

namespace shallotdrift::internal {

static constexpr uint8_t dataFrame = 0;
static constexpr uint8_t headersFrame = 1;
static constexpr uint8_t resetFrame = 3;
static constexpr uint8_t endOfStream = 1;

void StreamCounter::onClientBytes(std::string_view bytes) { follow(client_, bytes, &StreamCounter::onClientFrame); }

void StreamCounter::onServerBytes(std::string_view bytes) { follow(server_, bytes, &StreamCounter::onServerFrame); }

void StreamCounter::follow(Direction& direction, std::string_view bytes, OnFrame onFrame)
{
    while (!bytes.empty()) {
        auto skipped = std::min(direction.skip, bytes.size());
        direction.skip -= skipped;
        bytes.remove_prefix(skipped);
        while (!bytes.empty() && direction.headerLength < frameHeaderBytes) {
            direction.header[direction.headerLength++] = static_cast<uint8_t>(bytes.front());
            bytes.remove_prefix(1);
        }
        if (direction.headerLength < frameHeaderBytes)
            return;
        const auto& header = direction.header;
        direction.headerLength = 0;
        direction.skip = static_cast<size_t>(header[0]) << 16 | static_cast<size_t>(header[1]) << 8 | header[2];
        auto stream = static_cast<uint32_t>(header[5] & 0x7f) << 24 | static_cast<uint32_t>(header[6]) << 16
            | static_cast<uint32_t>(header[7]) << 8 | header[8];
        (this->*onFrame)(header[3], header[4], stream);
    }
}

void StreamCounter::onClientFrame(uint8_t type, uint8_t, uint32_t stream)
{
    if (type == headersFrame)
        open_.insert(stream);
}

void StreamCounter::onServerFrame(uint8_t type, uint8_t flags, uint32_t stream)
{
    bool ends = (type == dataFrame || type == headersFrame) && (flags & endOfStream) != 0;
    if (ends || type == resetFrame)
        open_.erase(stream);
}

} // namespace shallotdrift::internal
