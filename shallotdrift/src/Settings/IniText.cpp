#include "IniText.h"

// Texts stay UTF-8, which is checked here; SimpleIni's wide-character interface needs a header that Debian lacks.
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

// Length of the UTF-8 sequence at the start of the text, 0 when it is malformed, overlong or a surrogate (RFC 3629).
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
        bool inRange = (first != 0xE0U || byte(1) >= 0xA0U) && (first != 0xEDU || byte(1) < 0xA0U);
        return inRange && continues(1, 2) ? 3 : 0;
    }
    if (first >= 0xF0U && first <= 0xF4U) {
        bool inRange = (first != 0xF0U || byte(1) >= 0x90U) && (first != 0xF4U || byte(1) < 0x90U);
        return inRange && continues(1, 3) ? 4 : 0;
    }
    return 0;
}

// What is wrong with the bytes of a line; empty when nothing is.
static std::string_view mistakeOfBytes(std::string_view line)
{
    for (size_t i = 0; i < line.size();) {
        auto c = static_cast<unsigned char>(line[i]);
        if (c == 0)
            return "NUL bytes are not allowed";
        if ((c < 0x20U && c != '\t') || c == 0x7FU)
            return "control characters other than tab are not allowed";
        size_t length = utf8SequenceLength(line.substr(i));
        if (length == 0)
            return "the text has to be UTF-8";
        i += length;
    }
    return {};
}

// Checks the lines one by one. SimpleIni skips malformed lines and merges duplicate sections without a word; this pass
// reports them and keeps the line numbers, which SimpleIni does not give.
class LineCheck {
public:
    explicit LineCheck(ValidationErrors& mistakes)
        : mistakes_(mistakes)
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

    // The well-formed lines, at their line numbers.
    std::string cleaned;
    bool readable = true;
    unsigned line = 0;
    std::map<std::string, unsigned, std::less<>> sectionLines;
    std::map<std::pair<std::string, std::string>, unsigned> keyLines;

private:
    void checkLine(std::string_view whole)
    {
        ++line;
        if (!whole.empty() && whole.back() == '\r')
            whole.remove_suffix(1);
        if (auto mistake = mistakeOfBytes(whole); !mistake.empty()) {
            mistakes_.add(line, "this line", mistake);
            readable = false;
        } else if (auto content = trimmed(whole); !content.empty() && content[0] != ';' && content[0] != '#') {
            if (content[0] == '[' ? checkSection(content) : checkKey(content))
                cleaned += content;
        }
        cleaned += '\n';
    }

    bool checkSection(std::string_view content)
    {
        auto end = content.find(']');
        if (end == std::string_view::npos || end + 1 != content.size() || trimmed(content.substr(1, end - 1)).empty()) {
            mistakes_.add(line, printableExcerpt(content), "a section is written as [name] on a line of its own");
            section_.clear();
            return false;
        }
        section_ = trimmed(content.substr(1, end - 1));
        auto [position, inserted] = sectionLines.emplace(section_, line);
        if (!inserted)
            mistakes_.add(line, printableExcerpt(content),
                fmt::format("a section may appear once; it is already on line {}", position->second));
        return true;
    }

    bool checkKey(std::string_view content)
    {
        auto equals = content.find('=');
        std::string_view key = trimmed(content.substr(0, equals));
        if (equals == std::string_view::npos || key.empty()) {
            mistakes_.add(line, printableExcerpt(content), "a setting is written as key = value");
            return false;
        }
        if (section_.empty()) {
            mistakes_.add(line, printableExcerpt(content), "a setting has to follow the line of its section");
            return false;
        }
        auto [position, inserted] = keyLines.emplace(std::pair { section_, std::string(key) }, line);
        if (!inserted)
            mistakes_.add(line, fmt::format("[{}] {}", printableExcerpt(section_), printableExcerpt(content)),
                fmt::format("a key may appear once in a section; it is already on line {}", position->second));
        return inserted;
    }

    ValidationErrors& mistakes_;
    std::string section_;
};

template <typename Names> static void sortByLoadOrder(Names& names) { names.sort(CSimpleIniCaseA::Entry::LoadOrder()); }

IniText IniText::read(std::string_view text, ValidationErrors& mistakes)
{
    IniText result;
    if (text.size() > maximumTextBytes) {
        mistakes.add(1, fmt::format("the text has {} bytes", text.size()),
            fmt::format("at most {} bytes are allowed", maximumTextBytes));
        return result;
    }
    if (text.substr(0, byteOrderMark.size()) == byteOrderMark)
        text.remove_prefix(byteOrderMark.size());
    LineCheck lines(mistakes);
    lines.check(text);
    result.lineCount_ = lines.line;
    if (!lines.readable)
        return result;
    CSimpleIniCaseA ini(true);
    if (ini.LoadData(lines.cleaned) < 0) {
        mistakes.add(1, "the text", "it has to be an INI file");
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
