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
    std::vector<IniKey> keys; // in the order of the file; duplicates are removed
};

// Sections and keys of an INI text with the lines they stand on.
class IniText {
public:
    // Reports what is wrong with the text itself: its size, bytes, malformed lines, duplicate sections and keys.
    // Sections that could be read are kept, so that their values can be checked as well.
    static IniText read(std::string_view text, ValidationErrors&);

    const std::vector<IniSection>& sections() const { return sections_; }
    const IniSection* find(std::string_view section) const;
    // False when the text is too long or not UTF-8 text, so that nothing of it was read.
    bool readable() const { return readable_; }
    unsigned lineCount() const { return lineCount_; }

private:
    std::vector<IniSection> sections_;
    bool readable_ = false;
    unsigned lineCount_ = 1;
};

} // namespace shallotdrift::internal
