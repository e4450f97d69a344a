#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>

namespace shallotdrift::internal {

// Follows the frames of an HTTP/2 connection (RFC 9113) without encryption and counts the streams that the server has
// not ended. A stream that only the client has given up still counts, since the server may still work for it.
class StreamCounter {
public:
    // Each takes the next bytes of one direction.
    void onClientBytes(std::string_view);
    void onServerBytes(std::string_view);
    size_t openStreams() const { return open_.size(); }

private:
    static constexpr size_t frameHeaderBytes = 9;

    struct Direction {
        size_t skip = 0; // bytes until the next frame header
        size_t headerLength = 0; // bytes of the frame header that have been read
        std::array<uint8_t, frameHeaderBytes> header {};
    };
    using OnFrame = void (StreamCounter::*)(uint8_t type, uint8_t flags, uint32_t stream);

    void follow(Direction&, std::string_view, OnFrame);
    void onClientFrame(uint8_t type, uint8_t flags, uint32_t stream);
    void onServerFrame(uint8_t type, uint8_t flags, uint32_t stream);

    Direction client_ { std::string_view("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").size() };
    Direction server_;
    std::set<uint32_t> open_;
};

} // namespace shallotdrift::internal
