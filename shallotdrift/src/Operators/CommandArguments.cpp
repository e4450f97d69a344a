#include "CommandArguments.h"

#include "../Settings/ValidationErrors.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fmt/format.h>

namespace shallotdrift::internal {

static bool isValid(const ValueFormat& valueFormat, const std::string& value)
{
    switch (valueFormat.type) {
    case ValueFormat::Type::Integer:
        return valueFormat.parseInteger(value).has_value();
    case ValueFormat::Type::Decimal:
        return valueFormat.parseDecimal(value).has_value();
    case ValueFormat::Type::Boolean:
    case ValueFormat::Type::Choice:
        return valueFormat.parseChoice(value).has_value();
    default:
        return valueFormat.accepts(value);
    }
}

static std::string upperCase(std::string_view name)
{
    std::string result(name);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char c) { return std::toupper(c); });
    return result;
}

std::string usageOf(const CommandSyntax& syntax)
{
    std::string usage(syntax.name);
    for (const auto& positional : syntax.positionals)
        usage += fmt::format(positional.required ? " {}" : " [{}]", upperCase(positional.name));
    for (const auto& option : syntax.options)
        usage += fmt::format(option.required ? " --{}={}" : " [--{}={}]", option.name, upperCase(option.name));
    return usage;
}

Result<CommandArguments> CommandArguments::parse(const CommandSyntax& syntax, const std::vector<std::string>& arguments)
{
    CommandArguments result;
    std::string errors;
    auto addError = [&](const std::string& text) { errors += fmt::format("{}: {}\n", syntax.name, text); };
    auto setValue = [&](const CommandParameter& parameter, const std::string& value) {
        if (!isValid(parameter.valueFormat, value))
            addError(fmt::format("{} = {}: expected {}", parameter.name, printableExcerpt(value),
                parameter.valueFormat.allowedValues()));
        else if (!result.values_.emplace(parameter.name, value).second)
            addError(fmt::format("{} is given more than once", parameter.name));
    };
    size_t nextPositional = 0;
    for (const auto& argument : arguments) {
        if (argument.compare(0, 2, "--") != 0) {
            if (nextPositional < syntax.positionals.size())
                setValue(syntax.positionals[nextPositional++], argument);
            else
                addError(fmt::format("unexpected argument {}", printableExcerpt(argument)));
            continue;
        }
        auto equals = argument.find('=');
        auto name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
        auto option = std::find_if(syntax.options.begin(), syntax.options.end(),
            [&](const CommandParameter& candidate) { return candidate.name == name; });
        if (option == syntax.options.end())
            addError(fmt::format("unknown option {}", printableExcerpt(argument)));
        else if (equals == std::string::npos)
            addError(fmt::format("--{} requires a value: --{}=VALUE", name, name));
        else
            setValue(*option, argument.substr(equals + 1));
    }
    for (const auto* parameters : { &syntax.positionals, &syntax.options }) {
        for (const auto& parameter : *parameters) {
            if (parameter.required && !result.has(parameter.name))
                addError(fmt::format("{} is missing: {}; expected {}", parameter.name, parameter.description,
                    parameter.valueFormat.allowedValues()));
        }
    }
    if (errors.empty())
        return result;
    return fail(ResultCode::InvalidCommand, fmt::format("{}usage: {}", errors, usageOf(syntax)));
}

std::string CommandArguments::text(std::string_view name) const
{
    auto value = values_.find(name);
    return value != values_.end() ? value->second : std::string();
}

uint64_t CommandArguments::number(std::string_view name) const
{
    auto value = text(name);
    uint64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

} // namespace shallotdrift::internal
