#pragma once

#include "../Base/Error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift::internal {

struct IniKey;
struct IniSection;

// Collects the errors of one file, each as one line "<source>:<line>: <location>: <message>".
class ValidationErrors {
public:
    explicit ValidationErrors(std::string_view source);

    // Adds an error at a line; errors of the whole file are reported at line 1.
    void add(unsigned line, std::string_view location, std::string_view message);
    // Adds an error of a section.
    void add(const IniSection&, std::string_view message);
    // Adds an error of a key or its value.
    void add(const IniSection&, const IniKey&, std::string_view message);
    // Adds an error for a required key that is missing from the section.
    void addMissingKey(const IniSection&, std::string_view key, std::string_view message);

    bool empty() const { return lines_.empty(); }
    // Returns one Error whose message has a line for each error; errors beyond a maximum number are only counted.
    Error toError(ResultCode) const;

private:
    std::string source_;
    std::vector<std::string> lines_;
    size_t omitted_ = 0;
};

// Returns text from a file for use in a message: truncated, and with control characters replaced by '?'.
std::string printableExcerpt(std::string_view);

} // namespace shallotdrift::internal
