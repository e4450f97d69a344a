#pragma once

#include "../Base/Error.h"
#include "../Settings/ValueFormat.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift::internal {

// A parameter of a command, given by position or as --name=value.
struct CommandParameter {
    std::string_view name;
    ValueFormat valueFormat;
    bool required = false;
    std::string_view description;
};

// The parameters that a command accepts.
struct CommandSyntax {
    std::string_view name; // for example "handbook invoke"
    std::vector<CommandParameter> positionals; // in order; optional parameters come last
    std::vector<CommandParameter> options;
    std::string_view description;
};

// Arguments of a command, validated against its syntax.
class CommandArguments {
public:
    // Parses the arguments that follow the command's name. Fails with InvalidCommand and a message that lists each
    // invalid or missing argument on its own line, followed by the usage.
    static Result<CommandArguments> parse(const CommandSyntax&, const std::vector<std::string>& arguments);

    bool has(std::string_view name) const { return values_.count(name) > 0; }
    // Returns the value of an argument, or an empty string if the argument is not given.
    std::string text(std::string_view name) const;
    // Returns the value of an integer argument, or 0 if the argument is not given.
    uint64_t number(std::string_view name) const;
    bool isYes(std::string_view name) const { return text(name) == "yes"; }

private:
    std::map<std::string, std::string, std::less<>> values_;
};

// Usage line of a command, for example "handbook invoke NAME [VERSION]".
std::string usageOf(const CommandSyntax&);

} // namespace shallotdrift::internal
