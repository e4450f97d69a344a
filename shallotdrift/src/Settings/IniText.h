#pragma once

#include "ValidationErrors.h"

#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift::internal {

struct IniKey {
    std::string name;
    std::string value;
    unsigned line = 0;
};

struct IniSection {
    std::string name;
    unsigned line = 0;
    std::vector<IniKey> keys; // in the order of the file, without duplicates
};

// Sections and keys of an INI text with their line numbers.
class IniText {
public:
    // Parses the text. Reports errors of size, encoding and syntax, and duplicate sections and keys. Well-formed lines
    // are kept in spite of errors in other lines, so that their values can be validated as well.
    static IniText read(std::string_view text, ValidationErrors&);

    const std::vector<IniSection>& sections() const { return sections_; }
    // Returns null if there is no such section.
    const IniSection* find(std::string_view section) const;
    // False if the text is too long, has invalid bytes or cannot be parsed at all; there are no sections then.
    bool readable() const { return readable_; }
    unsigned lineCount() const { return lineCount_; }

private:
    std::vector<IniSection> sections_;
    bool readable_ = false;
    unsigned lineCount_ = 1;
};

} // namespace shallotdrift::internal
