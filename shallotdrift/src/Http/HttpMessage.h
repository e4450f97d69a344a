#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift {

struct HttpHeader {
    std::string name;
    std::string value;
};

// One HTTP/1.1 request or response.
struct HttpMessage {
    std::string method; // requests only
    std::string target; // requests only: path and query
    unsigned status = 0; // responses only
    bool keepAlive = false;
    bool hasContentLength = false;
    std::vector<HttpHeader> headers;
    std::string body;

    // Value of the first header with this name (compared without case); null when there is none.
    const std::string* findHeader(std::string_view name) const;
    size_t headerCount(std::string_view name) const;
    // Value of a header that appears exactly once; empty when it is absent or repeated.
    std::string_view uniqueHeader(std::string_view name) const;
};

bool equalIgnoringCase(std::string_view, std::string_view);

// True for 1 to maximumLength visible ASCII characters (no spaces or control characters).
bool isVisibleAscii(std::string_view, size_t maximumLength);

// Parses decimal digits only; nullopt when the text is malformed or the number above the maximum.
std::optional<uint64_t> parseNumber(std::string_view, uint64_t maximum);

} // namespace shallotdrift
