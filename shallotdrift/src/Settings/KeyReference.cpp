#include "KeyReference.h"

#include "SettingsSchema.h"

#include <fmt/format.h>

namespace shallotdrift {

using internal::SectionSchema;

template <typename T>
static void addRows(const std::string& file, const std::string& section, const SectionSchema<T>& schema,
    std::vector<KeyReference>& rows)
{
    const T defaults {};
    for (const auto& keySchema : schema.keys) {
        auto value = internal::formatValue(keySchema, defaults);
        if (keySchema.presence == internal::Presence::Required)
            value = "required";
        rows.push_back({ file, section, std::string(keySchema.key), keySchema.valueFormat.allowedValues(),
            value.empty() ? "-" : value, std::string(keySchema.description) });
    }
}

template <typename T>
static void addRows(const std::string& file, const SectionSchema<T>& schema, std::vector<KeyReference>& rows)
{
    addRows(file, fmt::format("[{}]", schema.section), schema, rows);
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
