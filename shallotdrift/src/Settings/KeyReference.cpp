#include "KeyReference.h"

#include "SettingsSchema.h"

#include <fmt/format.h>

namespace shallotdrift {

using internal::SectionSchema;

template <typename T>
static void addRows(
    const std::string& file, const std::string& section, const SectionSchema<T>& rules, std::vector<KeyReference>& rows)
{
    const T defaults {};
    for (const auto& rule : rules.keys) {
        auto value = internal::formatValue(rule, defaults);
        if (rule.presence == internal::Presence::Required)
            value = "required";
        rows.push_back({ file, section, std::string(rule.key), rule.valueFormat.allowedValues(),
            value.empty() ? "-" : value, std::string(rule.description) });
    }
}

template <typename T>
static void addRows(const std::string& file, const SectionSchema<T>& rules, std::vector<KeyReference>& rows)
{
    addRows(file, fmt::format("[{}]", rules.section), rules, rows);
}

std::vector<KeyReference> settingsReference()
{
    std::vector<KeyReference> rows;
    for (const auto& section : internal::nodeSections())
        addRows("settings", section, rows);
    addRows("handbook", internal::handbookSection(), rows);
    const auto& steps = internal::stepSections();
    const auto& actions = steps.front().keys.front().valueFormat.choices;
    for (size_t i = 0; i < steps.size(); ++i)
        addRows("handbook", fmt::format("[{}] action={}", steps[i].section, actions[i]), steps[i], rows);
    return rows;
}

} // namespace shallotdrift
