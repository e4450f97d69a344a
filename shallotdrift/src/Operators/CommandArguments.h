#pragma once

#include "../Base/Error.h"
#include "../Settings/ValueFormat.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift::internal {

// A word of a command: given by its place, or as --name=value.
struct CommandParameter {
    std::string_view name;
    ValueFormat form;
    bool required = false;
    std::string_view description;
};

// What may follow the name of a command.
struct CommandSyntax {
    std::string_view name; // "handbook invoke"
    std::vector<CommandParameter> positionals; // in order; the ones that are not required come last
    std::vector<CommandParameter> options;
    std::string_view description;
};

// Checked words of a command.
class CommandArguments {
public:
    // The words after the command's name. The error's message lists every mistake on a line of its own.
    static Result<CommandArguments> parse(const CommandSyntax&, const std::vector<std::string>& arguments);

    bool has(std::string_view name) const { return values_.count(name) > 0; }
    // Empty when the word is not given.
    std::string text(std::string_view name) const;
    // 0 when the word is not given.
    uint64_t number(std::string_view name) const;
    bool isYes(std::string_view name) const { return text(name) == "yes"; }

private:
    std::map<std::string, std::string, std::less<>> values_;
};

// "handbook invoke NAME [VERSION]"
std::string usageOf(const CommandSyntax&);

} // namespace shallotdrift::internal
