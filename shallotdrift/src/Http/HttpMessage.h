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

    // Value of the first header with this name, ignoring case; null if there is no such header.
    const std::string* findHeader(std::string_view name) const;
    size_t headerCount(std::string_view name) const;
    // Value of the header with this name; empty if the header is missing or repeated.
    std::string_view uniqueHeader(std::string_view name) const;
};

bool equalIgnoringCase(std::string_view, std::string_view);

// Whether the text consists of 1 to maximumLength visible ASCII characters (no spaces or control characters).
bool isVisibleAscii(std::string_view, size_t maximumLength);

// Parses a number of decimal digits only. Returns nullopt if the text is anything else or the number exceeds maximum.
std::optional<uint64_t> parseNumber(std::string_view, uint64_t maximum);

} // namespace shallotdrift
