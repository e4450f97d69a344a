#include "CommandArguments.h"

#include "../Settings/ValidationErrors.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fmt/format.h>

namespace shallotdrift::internal {

static bool isAllowed(const ValueFormat& form, const std::string& value)
{
    switch (form.type) {
    case ValueFormat::Type::Integer:
        return form.parseInteger(value).has_value();
    case ValueFormat::Type::Decimal:
        return form.parseDecimal(value).has_value();
    case ValueFormat::Type::Boolean:
    case ValueFormat::Type::Choice:
        return form.parseChoice(value).has_value();
    default:
        return form.accepts(value);
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
    for (const auto& place : syntax.positionals)
        usage += fmt::format(place.required ? " {}" : " [{}]", upperCase(place.name));
    for (const auto& option : syntax.options)
        usage += fmt::format(option.required ? " --{}={}" : " [--{}={}]", option.name, upperCase(option.name));
    return usage;
}

Result<CommandArguments> CommandArguments::parse(const CommandSyntax& syntax, const std::vector<std::string>& words)
{
    CommandArguments result;
    std::string mistakes;
    auto addMistake = [&](const std::string& text) { mistakes += fmt::format("{}: {}\n", syntax.name, text); };
    auto store = [&](const CommandParameter& option, const std::string& value) {
        if (!isAllowed(option.form, value))
            addMistake(fmt::format(
                "{} = {}: allowed is {}", option.name, printableExcerpt(value), option.form.allowedValues()));
        else if (!result.values_.emplace(option.name, value).second)
            addMistake(fmt::format("{} is given twice", option.name));
    };
    size_t place = 0;
    for (const auto& word : words) {
        if (word.compare(0, 2, "--") != 0) {
            if (place < syntax.positionals.size())
                store(syntax.positionals[place++], word);
            else
                addMistake(fmt::format("{} is one word too many", printableExcerpt(word)));
            continue;
        }
        auto equals = word.find('=');
        auto name = word.substr(2, equals == std::string::npos ? equals : equals - 2);
        auto option = std::find_if(syntax.options.begin(), syntax.options.end(),
            [&](const CommandParameter& candidate) { return candidate.name == name; });
        if (option == syntax.options.end())
            addMistake(fmt::format("{} is not known", printableExcerpt(word)));
        else if (equals == std::string::npos)
            addMistake(fmt::format("--{} needs a value, written as --{}=VALUE", name, name));
        else
            store(*option, word.substr(equals + 1));
    }
    for (const auto* group : { &syntax.positionals, &syntax.options }) {
        for (const auto& option : *group) {
            if (option.required && !result.has(option.name))
                addMistake(
                    fmt::format("{} is missing: {}, {}", option.name, option.description, option.form.allowedValues()));
        }
    }
    if (mistakes.empty())
        return result;
    return fail(ResultCode::InvalidCommand, fmt::format("{}usage: {}", mistakes, usageOf(syntax)));
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
