#pragma once

#include <string>
#include <string_view>

namespace shallotdrift {

// Builds the head of an HTTP/1.1 message: start line, header fields and the empty line.
class HttpHead {
public:
    static HttpHead response(unsigned status);
    static HttpHead request(std::string_view method, std::string_view target);

    // Control characters in a value are replaced by spaces, so that a value cannot inject another header.
    HttpHead& add(std::string_view name, std::string_view value);
    HttpHead& add(std::string_view name, uint64_t value);
    // Returns the head; the builder is empty afterwards.
    std::string finish();

private:
    explicit HttpHead(std::string startLine);

    std::string text_;
};

} // namespace shallotdrift
