#include "HttpMessage.h"

#include <algorithm>
#include <charconv>

namespace shallotdrift {

static char toLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return toLower(x) == toLower(y); });
}

bool isVisibleAscii(std::string_view text, size_t maximumLength)
{
    return !text.empty() && text.size() <= maximumLength
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::optional<uint64_t> parseNumber(std::string_view text, uint64_t maximum)
{
    uint64_t value = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value > maximum)
        return std::nullopt;
    return value;
}

const std::string* HttpMessage::findHeader(std::string_view name) const
{
    for (const auto& header : headers) {
        if (equalIgnoringCase(header.name, name))
            return &header.value;
    }
    return nullptr;
}

size_t HttpMessage::headerCount(std::string_view name) const
{
    return static_cast<size_t>(std::count_if(
        headers.begin(), headers.end(), [name](const auto& header) { return equalIgnoringCase(header.name, name); }));
}

std::string_view HttpMessage::uniqueHeader(std::string_view name) const
{
    return headerCount(name) == 1 ? std::string_view(*findHeader(name)) : std::string_view();
}

} // namespace shallotdrift
