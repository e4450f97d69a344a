#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift::internal {

// Replaces control characters other than line feeds by '?', so that stored names and reasons cannot send escape
// sequences to the operator's terminal.
std::string withoutControlCharacters(std::string_view);

// Table with aligned columns for a terminal. Columns of numbers are right-aligned.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> headers);

    // The note is printed on a line below the row, so that long texts do not widen the columns.
    void addRow(std::vector<std::string> cells, const std::string& note = {});
    bool empty() const { return rows_.size() == 1; }
    void print(std::ostream&) const;

private:
    std::vector<std::vector<std::string>> rows_; // the first row holds the headers
    std::vector<std::string> notes_; // one for each element of rows_; empty if the row has no note
};

} // namespace shallotdrift::internal
