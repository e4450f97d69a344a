#pragma once

#include "../Base/Error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift::internal {

struct IniKey;
struct IniSection;

// Collects the mistakes of one file, each as one line "<source>:<line>: <place>: <what is allowed>".
class ValidationErrors {
public:
    explicit ValidationErrors(std::string_view source);

    // A mistake of a whole line or file.
    void add(unsigned line, std::string_view place, std::string_view allowed);
    // A mistake of a section.
    void add(const IniSection&, std::string_view allowed);
    // A mistake of a value that was read.
    void add(const IniSection&, const IniKey&, std::string_view allowed);
    // A required key that the section does not have.
    void addMissingKey(const IniSection&, std::string_view key, std::string_view allowed);

    bool empty() const { return lines_.empty(); }
    Error toError(ResultCode) const;

private:
    std::string source_;
    std::vector<std::string> lines_;
    size_t omitted_ = 0;
};

// Text from a file as it is shown in a message: cut to a readable length, control characters replaced.
std::string printableExcerpt(std::string_view);

} // namespace shallotdrift::internal
