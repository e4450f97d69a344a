#include "IniText.h"

// Disables SimpleIni's conversion to wide characters, which needs a header that Debian does not package. The text stays
// UTF-8, which is validated in this file.
#define SI_NO_CONVERSION
#include <SimpleIni.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>
#include <utility>

namespace shallotdrift::internal {

static constexpr size_t maximumTextBytes = 256 << 10;
static constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

static std::string_view trimmed(std::string_view text)
{
    static constexpr std::string_view blanks = " \t\r";
    auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

// Returns the length in bytes of the UTF-8 sequence at the start of the text, or 0 if the sequence is malformed,
// overlong, a surrogate or above U+10FFFF (RFC 3629).
static size_t utf8SequenceLength(std::string_view text)
{
    auto byte = [&](size_t i) { return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U; };
    auto continues = [&](size_t from, size_t to) {
        for (size_t i = from; i <= to; ++i) {
            if ((byte(i) & 0xC0U) != 0x80U)
                return false;
        }
        return true;
    };
    unsigned first = byte(0);
    if (first < 0x80U)
        return 1;
    if (first >= 0xC2U && first <= 0xDFU)
        return continues(1, 1) ? 2 : 0;
    if (first >= 0xE0U && first <= 0xEFU) {
        // An E0 sequence below the range is overlong; an ED sequence above the range is a surrogate.
        bool inRange = (first != 0xE0U || byte(1) >= 0xA0U) && (first != 0xEDU || byte(1) < 0xA0U);
        return inRange && continues(1, 2) ? 3 : 0;
    }
    if (first >= 0xF0U && first <= 0xF4U) {
        // An F0 sequence below the range is overlong; an F4 sequence above the range exceeds U+10FFFF.
        bool inRange = (first != 0xF0U || byte(1) >= 0x90U) && (first != 0xF4U || byte(1) < 0x90U);
        return inRange && continues(1, 3) ? 4 : 0;
    }
    return 0;
}

// Returns the error message for a line with invalid bytes, or an empty text if all bytes are valid.
static std::string_view invalidBytesError(std::string_view line)
{
    for (size_t i = 0; i < line.size();) {
        auto c = static_cast<unsigned char>(line[i]);
        if (c == 0)
            return "NUL bytes are not allowed";
        if ((c < 0x20U && c != '\t') || c == 0x7FU)
            return "control characters other than tab are not allowed";
        size_t length = utf8SequenceLength(line.substr(i));
        if (length == 0)
            return "the text must be valid UTF-8";
        i += length;
    }
    return {};
}

// Checks the syntax of each line before SimpleIni parses the text. SimpleIni skips malformed lines and merges duplicate
// sections without an error; this class reports both. It also records line numbers, which SimpleIni does not provide.
class LineChecker {
public:
    explicit LineChecker(ValidationErrors& errors)
        : errors_(errors)
    {
    }

    void check(std::string_view text)
    {
        while (true) {
            auto end = text.find('\n');
            checkLine(text.substr(0, end));
            if (end == std::string_view::npos)
                return;
            text.remove_prefix(end + 1);
        }
    }

    // The text with malformed lines and comments replaced by empty lines, so that each line keeps its number.
    std::string wellFormedText;
    bool readable = true;
    unsigned line = 0;
    std::map<std::string, unsigned, std::less<>> sectionLines;
    std::map<std::pair<std::string, std::string>, unsigned> keyLines;

private:
    void checkLine(std::string_view fullLine)
    {
        ++line;
        if (!fullLine.empty() && fullLine.back() == '\r')
            fullLine.remove_suffix(1);
        if (auto error = invalidBytesError(fullLine); !error.empty()) {
            errors_.add(line, "this line", error);
            readable = false;
        } else if (auto content = trimmed(fullLine); !content.empty() && content[0] != ';' && content[0] != '#') {
            if (content[0] == '[' ? checkSection(content) : checkKey(content))
                wellFormedText += content;
        }
        wellFormedText += '\n';
    }

    bool checkSection(std::string_view content)
    {
        auto end = content.find(']');
        if (end == std::string_view::npos || end + 1 != content.size() || trimmed(content.substr(1, end - 1)).empty()) {
            errors_.add(line, printableExcerpt(content), "a section header must be [name] on a line of its own");
            section_.clear();
            return false;
        }
        section_ = trimmed(content.substr(1, end - 1));
        auto [position, inserted] = sectionLines.emplace(section_, line);
        if (!inserted)
            errors_.add(line, printableExcerpt(content),
                fmt::format("duplicate section; it first appears on line {}", position->second));
        return true;
    }

    bool checkKey(std::string_view content)
    {
        auto equals = content.find('=');
        std::string_view key = trimmed(content.substr(0, equals));
        if (equals == std::string_view::npos || key.empty()) {
            errors_.add(line, printableExcerpt(content), "a key must be written as key = value");
            return false;
        }
        if (section_.empty()) {
            errors_.add(line, printableExcerpt(content), "a key must follow a section header");
            return false;
        }
        auto [position, inserted] = keyLines.emplace(std::pair { section_, std::string(key) }, line);
        if (!inserted)
            errors_.add(line, fmt::format("[{}] {}", printableExcerpt(section_), printableExcerpt(content)),
                fmt::format("duplicate key; it first appears on line {}", position->second));
        return inserted;
    }

    ValidationErrors& errors_;
    std::string section_;
};

template <typename Names> static void sortByLoadOrder(Names& names) { names.sort(CSimpleIniCaseA::Entry::LoadOrder()); }

IniText IniText::read(std::string_view text, ValidationErrors& errors)
{
    IniText result;
    if (text.size() > maximumTextBytes) {
        errors.add(1, fmt::format("the text has {} bytes", text.size()),
            fmt::format("at most {} bytes are allowed", maximumTextBytes));
        return result;
    }
    if (text.substr(0, byteOrderMark.size()) == byteOrderMark)
        text.remove_prefix(byteOrderMark.size());
    LineChecker lines(errors);
    lines.check(text);
    result.lineCount_ = lines.line;
    if (!lines.readable)
        return result;
    CSimpleIniCaseA ini(true);
    if (ini.LoadData(lines.wellFormedText) < 0) {
        errors.add(1, "the text", "not a valid INI file");
        return result;
    }
    result.readable_ = true;
    CSimpleIniCaseA::TNamesDepend sectionNames;
    ini.GetAllSections(sectionNames);
    sortByLoadOrder(sectionNames);
    for (const auto& sectionName : sectionNames) {
        IniSection section { sectionName.pItem, 0, {} };
        if (auto position = lines.sectionLines.find(section.name); position != lines.sectionLines.end())
            section.line = position->second;
        CSimpleIniCaseA::TNamesDepend keyNames;
        ini.GetAllKeys(sectionName.pItem, keyNames);
        sortByLoadOrder(keyNames);
        for (const auto& keyName : keyNames)
            section.keys.push_back({ keyName.pItem, ini.GetValue(sectionName.pItem, keyName.pItem, ""),
                lines.keyLines.at({ section.name, keyName.pItem }) });
        result.sections_.push_back(std::move(section));
    }
    return result;
}

const IniSection* IniText::find(std::string_view section) const
{
    auto position = std::find_if(
        sections_.begin(), sections_.end(), [&](const IniSection& candidate) { return candidate.name == section; });
    return position != sections_.end() ? &*position : nullptr;
}

} // namespace shallotdrift::internal
