#include "Names.h"

#include "FoldLimits.h"

#include <algorithm>
#include <charconv>

namespace shallotdrift::internal {

static constexpr size_t issueTimeDigits = 13;

static bool isVisible(char character) { return character > ' ' && character < '\x7f'; }

bool isValidName(std::string_view name)
{
    auto allowed = [](char character) { return isVisible(character) && character != '/'; };
    return !name.empty() && name.size() <= maximumNameBytes && std::all_of(name.begin(), name.end(), allowed);
}

bool isShortText(std::string_view text) { return text.size() <= maximumNameBytes; }

std::optional<WallTime> issueTimeOf(std::string_view key)
{
    if (key.size() < issueTimeDigits + 2 || key.size() > maximumNameBytes || key[issueTimeDigits] != '-')
        return std::nullopt;
    if (!std::all_of(key.begin(), key.end(), isVisible))
        return std::nullopt;
    uint64_t milliseconds = 0;
    const char* end = key.data() + issueTimeDigits;
    auto parsed = std::from_chars(key.data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return wallTimeFromUnix(Milliseconds(milliseconds));
}

std::string maintenanceId(const std::string& wave, const std::string& instance) { return wave + "/" + instance; }

std::string printable(std::string_view text, size_t limit)
{
    std::string result(text.substr(0, limit));
    std::replace_if(
        result.begin(), result.end(), [](char character) { return !isVisible(character) && character != ' '; }, '?');
    return result;
}

} // namespace shallotdrift::internal
