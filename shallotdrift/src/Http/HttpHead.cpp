#include "HttpHead.h"

#include <fmt/format.h>
#include <http_parser.h>

namespace shallotdrift {

static constexpr size_t initialCapacityBytes = 320;

HttpHead::HttpHead(std::string startLine)
    : text_(std::move(startLine))
{
    text_.reserve(initialCapacityBytes);
}

HttpHead HttpHead::response(unsigned status)
{
    return HttpHead(fmt::format("HTTP/1.1 {} {}\r\n", status, http_status_str(static_cast<http_status>(status))));
}

HttpHead HttpHead::request(std::string_view method, std::string_view target)
{
    return HttpHead(fmt::format("{} {} HTTP/1.1\r\n", method, target));
}

HttpHead& HttpHead::add(std::string_view name, std::string_view value)
{
    text_.append(name).append(": ");
    for (char c : value)
        text_.push_back(static_cast<unsigned char>(c) < ' ' || c == '\x7f' ? ' ' : c);
    text_.append("\r\n");
    return *this;
}

HttpHead& HttpHead::add(std::string_view name, uint64_t value)
{
    return add(name, std::string_view(fmt::format_int(value).str()));
}

std::string HttpHead::finish()
{
    text_.append("\r\n");
    return std::move(text_);
}

} // namespace shallotdrift
