#include "ValidationErrors.h"

#include "IniText.h"

#include <fmt/format.h>

namespace shallotdrift::internal {

// A hostile file of 256 KB can hold some 100,000 mistakes; a message of more lines than this helps nobody.
static constexpr size_t maximumMistakes = 200;
static constexpr size_t maximumShownBytes = 80;
static constexpr size_t maximumSourceBytes = 300;

static bool isUtf8Continuation(char c) { return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U; }

std::string printableExcerpt(std::string_view text)
{
    bool cut = text.size() > maximumShownBytes;
    if (cut) {
        size_t length = maximumShownBytes;
        while (length > 0 && isUtf8Continuation(text[length]))
            --length;
        text = text.substr(0, length);
    }
    std::string shown;
    for (char c : text)
        shown += static_cast<unsigned char>(c) < 0x20U || c == 0x7F ? '?' : c;
    return cut ? shown + "..." : shown;
}

ValidationErrors::ValidationErrors(std::string_view source)
    : source_(source.substr(0, maximumSourceBytes))
{
}

void ValidationErrors::add(unsigned line, std::string_view place, std::string_view allowed)
{
    if (lines_.size() >= maximumMistakes) {
        ++omitted_;
        return;
    }
    lines_.push_back(fmt::format("{}:{}: {}: {}", source_, line, place, allowed));
}

void ValidationErrors::add(const IniSection& section, std::string_view allowed)
{
    add(section.line, fmt::format("[{}]", printableExcerpt(section.name)), allowed);
}

void ValidationErrors::add(const IniSection& section, const IniKey& key, std::string_view allowed)
{
    add(key.line,
        fmt::format("[{}] {} = {}", printableExcerpt(section.name), printableExcerpt(key.name),
            key.value.empty() ? "(empty)" : printableExcerpt(key.value)),
        allowed);
}

void ValidationErrors::addMissingKey(const IniSection& section, std::string_view key, std::string_view allowed)
{
    add(section.line, fmt::format("[{}] {} is missing", printableExcerpt(section.name), key), allowed);
}

Error ValidationErrors::toError(ResultCode code) const
{
    std::string message;
    for (const auto& line : lines_)
        message += (message.empty() ? "" : "\n") + line;
    if (omitted_)
        message += fmt::format("\n{}:1: {} more mistakes are not shown", source_, omitted_);
    return { code, message };
}

} // namespace shallotdrift::internal
