#include "ValidationErrors.h"

#include "IniText.h"

#include <fmt/format.h>

namespace shallotdrift::internal {

// Limits the size of the message: a malicious file of 256 KB can have about 100,000 errors.
static constexpr size_t maximumErrors = 200;
static constexpr size_t maximumExcerptBytes = 80;
static constexpr size_t maximumSourceBytes = 300;

static bool isUtf8Continuation(char c) { return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U; }

std::string printableExcerpt(std::string_view text)
{
    bool truncated = text.size() > maximumExcerptBytes;
    if (truncated) {
        size_t length = maximumExcerptBytes;
        while (length > 0 && isUtf8Continuation(text[length]))
            --length;
        text = text.substr(0, length);
    }
    std::string excerpt;
    for (char c : text)
        excerpt += static_cast<unsigned char>(c) < 0x20U || c == 0x7F ? '?' : c;
    return truncated ? excerpt + "..." : excerpt;
}

ValidationErrors::ValidationErrors(std::string_view source)
    : source_(source.substr(0, maximumSourceBytes))
{
}

void ValidationErrors::add(unsigned line, std::string_view location, std::string_view message)
{
    if (lines_.size() >= maximumErrors) {
        ++omitted_;
        return;
    }
    lines_.push_back(fmt::format("{}:{}: {}: {}", source_, line, location, message));
}

void ValidationErrors::add(const IniSection& section, std::string_view message)
{
    add(section.line, fmt::format("[{}]", printableExcerpt(section.name)), message);
}

void ValidationErrors::add(const IniSection& section, const IniKey& key, std::string_view message)
{
    add(key.line,
        fmt::format("[{}] {} = {}", printableExcerpt(section.name), printableExcerpt(key.name),
            key.value.empty() ? "(empty)" : printableExcerpt(key.value)),
        message);
}

void ValidationErrors::addMissingKey(const IniSection& section, std::string_view key, std::string_view message)
{
    add(section.line, fmt::format("[{}] {} is missing", printableExcerpt(section.name), key), message);
}

Error ValidationErrors::toError(ResultCode code) const
{
    std::string message;
    for (const auto& line : lines_)
        message += (message.empty() ? "" : "\n") + line;
    if (omitted_)
        message += fmt::format("\n{}:1: {} more errors are not shown", source_, omitted_);
    return { code, message };
}

} // namespace shallotdrift::internal
