#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift::internal {

// Text without control characters, so that a reason or name from the log cannot steer the operator's terminal.
std::string withoutControlCharacters(std::string_view);

// Aligned columns for a terminal. Numbers are aligned to the right.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> headers);

    // The note is printed below the row, so that long texts do not widen the table.
    void addRow(std::vector<std::string> cells, const std::string& note = {});
    bool empty() const { return rows_.size() == 1; }
    void print(std::ostream&) const;

private:
    std::vector<std::vector<std::string>> rows_; // the first one holds the titles
    std::vector<std::string> notes_; // of the rows
};

} // namespace shallotdrift::internal
