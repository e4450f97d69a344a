#pragma once

#include "../Base/Time.h"
#include "IniText.h"
#include "ValueFormat.h"

#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace shallotdrift::internal {

// Access to a member of an enumeration type, whose values are numbered like the form's choices.
template <typename T> struct EnumMember {
    void (*set)(T&, size_t);
    size_t (*get)(const T&);
};

template <typename T, auto Member> EnumMember<T> enumMember()
{
    using Enumeration = std::decay_t<decltype(std::declval<T&>().*Member)>;
    static_assert(std::is_enum_v<Enumeration>, "a choice member has to be of an enumeration type");
    return { [](T& target, size_t index) { target.*Member = static_cast<Enumeration>(index); },
        [](const T& target) { return static_cast<size_t>(target.*Member); } };
}

enum class Presence : uint8_t {
    Optional,
    Required,
};

// One key of a section and the member of T that takes its value.
template <typename T> struct KeySchema {
    std::string_view key;
    std::variant<uint32_t T::*, double T::*, bool T::*, std::string T::*, Milliseconds T::*, EnumMember<T>> member;
    ValueFormat valueFormat;
    Presence presence = Presence::Optional;
    std::string_view description; // for docs/configuration.md
};

// Keys of one section.
template <typename T> struct SectionSchema {
    std::string_view section; // "limits", or "pool NAME" for sections that carry a name
    std::vector<KeySchema<T>> keys;
    Presence presence = Presence::Optional;
};

// Stores the value into the target's member. False when it is not allowed.
template <typename T> bool assignValue(const KeySchema<T>& rule, std::string_view value, T& target)
{
    return std::visit(
        [&](auto member) {
            using Member = decltype(member);
            if constexpr (std::is_same_v<Member, EnumMember<T>>) {
                auto index = rule.valueFormat.parseChoice(value);
                if (index)
                    member.set(target, *index);
                return index.has_value();
            } else if constexpr (std::is_same_v<Member, uint32_t T::*>) {
                auto number = rule.valueFormat.parseInteger(value);
                if (number)
                    target.*member = static_cast<uint32_t>(*number);
                return number.has_value();
            } else if constexpr (std::is_same_v<Member, Milliseconds T::*>) {
                auto number = rule.valueFormat.parseInteger(value);
                if (number)
                    target.*member = Milliseconds(*number) * rule.valueFormat.millisecondsPerUnit();
                return number.has_value();
            } else if constexpr (std::is_same_v<Member, double T::*>) {
                auto number = rule.valueFormat.parseDecimal(value);
                if (number)
                    target.*member = *number;
                return number.has_value();
            } else if constexpr (std::is_same_v<Member, bool T::*>) {
                auto index = rule.valueFormat.parseChoice(value);
                if (index)
                    target.*member = *index == 1;
                return index.has_value();
            } else {
                bool accepted = rule.valueFormat.accepts(value);
                if (accepted)
                    target.*member = value;
                return accepted;
            }
        },
        rule.member);
}

// Value of the target's member as it is written in a file.
template <typename T> std::string formatValue(const KeySchema<T>& rule, const T& target)
{
    return std::visit(
        [&](auto member) -> std::string {
            using Member = decltype(member);
            if constexpr (std::is_same_v<Member, EnumMember<T>>)
                return std::string(rule.valueFormat.choices[member.get(target)]);
            else if constexpr (std::is_same_v<Member, Milliseconds T::*>)
                return fmt::format("{}", (target.*member).count() / rule.valueFormat.millisecondsPerUnit());
            else if constexpr (std::is_same_v<Member, bool T::*>)
                return target.*member ? "yes" : "no";
            else
                return fmt::format("{}", target.*member);
        },
        rule.member);
}

// Reads a section by its table into the target: unknown and missing keys and values that are not allowed are mistakes.
template <typename T>
void readSection(
    const IniSection& section, const std::vector<KeySchema<T>>& rules, T& target, ValidationErrors& mistakes)
{
    for (const auto& key : section.keys) {
        auto rule = std::find_if(
            rules.begin(), rules.end(), [&](const KeySchema<T>& candidate) { return candidate.key == key.name; });
        if (rule == rules.end()) {
            std::string known;
            for (const auto& candidate : rules)
                known += (known.empty() ? "" : ", ") + std::string(candidate.key);
            mistakes.add(section, key, "unknown key; known keys are " + known);
        } else if (!assignValue(*rule, key.value, target)) {
            mistakes.add(section, key, "allowed is " + rule->valueFormat.allowedValues());
        }
    }
    for (const auto& rule : rules) {
        bool given = std::any_of(
            section.keys.begin(), section.keys.end(), [&](const IniKey& key) { return key.name == rule.key; });
        if (rule.presence == Presence::Required && !given)
            mistakes.addMissingKey(section, rule.key, "required is " + rule.valueFormat.allowedValues());
    }
}

} // namespace shallotdrift::internal
