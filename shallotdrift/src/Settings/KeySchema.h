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

// Accessors of a member of an enumeration type. The enumerators are in the order of ValueFormat::choices, so that the
// index of a choice is the value of its enumerator.
template <typename T> struct EnumMember {
    void (*set)(T&, size_t);
    size_t (*get)(const T&);
};

template <typename T, auto Member> EnumMember<T> enumMember()
{
    using Enumeration = std::decay_t<decltype(std::declval<T&>().*Member)>;
    static_assert(std::is_enum_v<Enumeration>, "the member must be of an enumeration type");
    return { [](T& object, size_t index) { object.*Member = static_cast<Enumeration>(index); },
        [](const T& object) { return static_cast<size_t>(object.*Member); } };
}

enum class Presence : uint8_t {
    Optional,
    Required,
};

// One key of a section and the member of T that stores its value.
template <typename T> struct KeySchema {
    std::string_view key;
    std::variant<uint32_t T::*, double T::*, bool T::*, std::string T::*, Milliseconds T::*, EnumMember<T>> member;
    ValueFormat valueFormat;
    Presence presence = Presence::Optional;
    std::string_view description; // for docs/configuration.md
};

// Keys of one section. Their values are stored in an object of type T.
template <typename T> struct SectionSchema {
    std::string_view section; // "node", or "step N" for numbered sections
    std::vector<KeySchema<T>> keys;
    Presence presence = Presence::Optional;
};

// Parses the value and stores it in the member. Returns false and stores nothing if the value is not allowed.
template <typename T> bool assignValue(const KeySchema<T>& schema, std::string_view value, T& object)
{
    return std::visit(
        [&](auto member) {
            using Member = decltype(member);
            if constexpr (std::is_same_v<Member, EnumMember<T>>) {
                auto index = schema.valueFormat.parseChoice(value);
                if (index)
                    member.set(object, *index);
                return index.has_value();
            } else if constexpr (std::is_same_v<Member, uint32_t T::*>) {
                auto number = schema.valueFormat.parseInteger(value);
                if (number)
                    object.*member = static_cast<uint32_t>(*number);
                return number.has_value();
            } else if constexpr (std::is_same_v<Member, Milliseconds T::*>) {
                auto number = schema.valueFormat.parseInteger(value);
                if (number)
                    object.*member = Milliseconds(*number) * schema.valueFormat.millisecondsPerUnit();
                return number.has_value();
            } else if constexpr (std::is_same_v<Member, double T::*>) {
                auto number = schema.valueFormat.parseDecimal(value);
                if (number)
                    object.*member = *number;
                return number.has_value();
            } else if constexpr (std::is_same_v<Member, bool T::*>) {
                auto index = schema.valueFormat.parseChoice(value);
                if (index)
                    object.*member = *index == 1;
                return index.has_value();
            } else {
                bool accepted = schema.valueFormat.accepts(value);
                if (accepted)
                    object.*member = value;
                return accepted;
            }
        },
        schema.member);
}

// Returns the value of the member in the form in which a file states it.
template <typename T> std::string formatValue(const KeySchema<T>& schema, const T& object)
{
    return std::visit(
        [&](auto member) -> std::string {
            using Member = decltype(member);
            if constexpr (std::is_same_v<Member, EnumMember<T>>)
                return std::string(schema.valueFormat.choices[member.get(object)]);
            else if constexpr (std::is_same_v<Member, Milliseconds T::*>)
                return fmt::format("{}", (object.*member).count() / schema.valueFormat.millisecondsPerUnit());
            else if constexpr (std::is_same_v<Member, bool T::*>)
                return object.*member ? "yes" : "no";
            else
                return fmt::format("{}", object.*member);
        },
        schema.member);
}

// Stores the values of a section in the object. Unknown keys, missing required keys and values that are not allowed are
// reported as errors.
template <typename T>
void readSection(
    const IniSection& section, const std::vector<KeySchema<T>>& schemas, T& object, ValidationErrors& errors)
{
    for (const auto& key : section.keys) {
        auto schema = std::find_if(
            schemas.begin(), schemas.end(), [&](const KeySchema<T>& candidate) { return candidate.key == key.name; });
        if (schema == schemas.end()) {
            std::string knownKeys;
            for (const auto& candidate : schemas)
                knownKeys += (knownKeys.empty() ? "" : ", ") + std::string(candidate.key);
            errors.add(section, key, "unknown key; known keys are " + knownKeys);
        } else if (!assignValue(*schema, key.value, object)) {
            errors.add(section, key, "expected " + schema->valueFormat.allowedValues());
        }
    }
    for (const auto& schema : schemas) {
        bool given = std::any_of(
            section.keys.begin(), section.keys.end(), [&](const IniKey& key) { return key.name == schema.key; });
        if (schema.presence == Presence::Required && !given)
            errors.addMissingKey(section, schema.key, "expected " + schema.valueFormat.allowedValues());
    }
}

} // namespace shallotdrift::internal
