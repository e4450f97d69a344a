#include "Mistakes.h"

#include "IniText.h"

#include <fmt/format.h>

namespace shallotdrift::internal {

// A hostile file of 256 KB can hold some 100,000 mistakes; a message of more lines than this helps nobody.
static constexpr size_t maximumMistakes = 200;
static constexpr size_t maximumShownBytes = 80;
static constexpr size_t maximumSourceBytes = 300;

static bool isUtf8Continuation(char c) { return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U; }

std::string shownText(std::string_view text)
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

Mistakes::Mistakes(std::string_view source)
    : source_(source.substr(0, maximumSourceBytes))
{
}

void Mistakes::add(unsigned line, std::string_view place, std::string_view allowed)
{
    if (lines_.size() >= maximumMistakes) {
        ++omitted_;
        return;
    }
    lines_.push_back(fmt::format("{}:{}: {}: {}", source_, line, place, allowed));
}

void Mistakes::add(const IniSection& section, std::string_view allowed)
{
    add(section.line, fmt::format("[{}]", shownText(section.name)), allowed);
}

void Mistakes::add(const IniSection& section, const IniKey& key, std::string_view allowed)
{
    add(key.line,
        fmt::format("[{}] {} = {}", shownText(section.name), shownText(key.name),
            key.value.empty() ? "(empty)" : shownText(key.value)),
        allowed);
}

void Mistakes::addMissing(const IniSection& section, std::string_view key, std::string_view allowed)
{
    add(section.line, fmt::format("[{}] {} is missing", shownText(section.name), key), allowed);
}

Error Mistakes::error(ResultCode code) const
{
    std::string message;
    for (const auto& line : lines_)
        message += (message.empty() ? "" : "\n") + line;
    if (omitted_)
        message += fmt::format("\n{}:1: {} more mistakes are not shown", source_, omitted_);
    return { code, message };
}

} // namespace shallotdrift::internal
