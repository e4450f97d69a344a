#include "TextTable.h"

#include <algorithm>
#include <ostream>

namespace shallotdrift::internal {

static constexpr size_t columnGap = 2;
static constexpr size_t noteIndent = 6;

static std::string singleLine(std::string_view text)
{
    auto line = withoutControlCharacters(text);
    std::replace(line.begin(), line.end(), '\n', ' ');
    return line;
}

std::string withoutControlCharacters(std::string_view text)
{
    std::string printable(text);
    std::replace_if(
        printable.begin(), printable.end(),
        [](char c) { return (static_cast<unsigned char>(c) < 0x20U && c != '\n') || c == 0x7F; }, '?');
    return printable;
}

// Returns the number of terminal columns that the text occupies, assuming one for each code point. UTF-8 continuation
// bytes are not counted.
static size_t displayWidth(const std::string& text)
{
    auto startsCharacter = [](char c) { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; };
    return static_cast<size_t>(std::count_if(text.begin(), text.end(), startsCharacter));
}

static bool isNumber(const std::string& text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

TextTable::TextTable(std::vector<std::string> headers)
    : rows_ { std::move(headers) }
    , notes_(1)
{
}

void TextTable::addRow(std::vector<std::string> cells, const std::string& note)
{
    cells.resize(rows_.front().size());
    for (auto& cell : cells)
        cell = singleLine(cell);
    rows_.push_back(std::move(cells));
    notes_.push_back(singleLine(note));
}

void TextTable::print(std::ostream& output) const
{
    std::vector<size_t> widths(rows_.front().size());
    std::vector<bool> numeric(widths.size(), !empty());
    for (size_t row = 0; row < rows_.size(); ++row) {
        for (size_t i = 0; i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], displayWidth(rows_[row][i]));
            numeric[i] = numeric[i] && (row == 0 || isNumber(rows_[row][i]));
        }
    }
    for (size_t rowIndex = 0; rowIndex < rows_.size(); ++rowIndex) {
        const auto& row = rows_[rowIndex];
        std::string line;
        for (size_t i = 0; i < row.size(); ++i) {
            std::string padding(widths[i] - displayWidth(row[i]), ' ');
            line += std::string(columnGap, ' ') + (numeric[i] ? padding + row[i] : row[i] + padding);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        output << line << "\n";
        if (!notes_[rowIndex].empty())
            output << std::string(noteIndent, ' ') << notes_[rowIndex] << "\n";
    }
}

} // namespace shallotdrift::internal
