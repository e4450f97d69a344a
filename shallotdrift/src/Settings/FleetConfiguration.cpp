#include "FleetConfiguration.h"

#include "SettingsTables.h"

#include <fmt/format.h>

namespace shallotdrift {

using internal::IniSection;
using internal::IniText;
using internal::Mistakes;

// Shares are decimal fractions; their sum may miss 1 by rounding.
static constexpr double shareTolerance = 1e-9;

// Reads a section "<type> <name>" into the map. True when the section is of this type.
template <typename T>
static bool readNamedSection(const IniSection& section, const internal::SectionRules<T>& rules,
    std::map<std::string, T>& items, Mistakes& mistakes)
{
    auto type = rules.section.substr(0, rules.section.find(' '));
    if (section.name.compare(0, type.size(), type) != 0
        || (section.name.size() > type.size() && section.name[type.size()] != ' '))
        return false;
    T item;
    item.name = section.name.substr(std::min(section.name.size(), type.size() + 1));
    if (!internal::isName(item.name)) {
        mistakes.add(section,
            fmt::format(
                "the section is written as [{}], with {}", rules.section, internal::ValueForm::name().allowed()));
    }
    internal::readSection(section, rules.keys, item, mistakes);
    items[item.name] = std::move(item);
    return true;
}

static void readConfigurationSection(const IniSection& section, FleetConfiguration& configuration, Mistakes& mistakes)
{
    if (section.name == internal::lendingSection().section) {
        internal::readSection(section, internal::lendingSection().keys, configuration.lending, mistakes);
        return;
    }
    if (section.name == internal::limitsSection().section) {
        internal::readSection(section, internal::limitsSection().keys, configuration, mistakes);
        return;
    }
    bool known = readNamedSection(section, internal::zoneSection(), configuration.zones, mistakes)
        || readNamedSection(section, internal::poolSection(), configuration.pools, mistakes)
        || readNamedSection(section, internal::kindSection(), configuration.kinds, mistakes)
        || readNamedSection(section, internal::teamSection(), configuration.teams, mistakes);
    if (!known)
        mistakes.add(section,
            "unknown section; known sections are [zone NAME], [pool NAME], [kind NAME], [team NAME], "
            "[lending] and [limits]");
}

// The line of a key, or that of its section when the default is in force.
static void addMistakeOfKey(
    const IniSection& section, std::string_view key, std::string_view allowed, Mistakes& mistakes)
{
    for (const auto& given : section.keys) {
        if (given.name == key) {
            mistakes.add(section, given, allowed);
            return;
        }
    }
    mistakes.add(section, allowed);
}

static void checkKind(const IniSection& section, const KindConfiguration& kind, const FleetConfiguration& configuration,
    Mistakes& mistakes)
{
    if (internal::isName(kind.pool) && !configuration.pools.count(kind.pool))
        addMistakeOfKey(section, "pool", "no section [pool " + kind.pool + "] exists", mistakes);
    if (!kind.longRunning && kind.defaultTimeout > configuration.maximumTimeout)
        addMistakeOfKey(section, "default_timeout_ms",
            fmt::format("maximum_timeout_ms allows at most {} ms", configuration.maximumTimeout.count()), mistakes);
    if (kind.longRunning && !kind.idempotent)
        addMistakeOfKey(section, "idempotent",
            "long-running work has to be idempotent, because it is placed again after a failure", mistakes);
}

static void checkShares(const IniText& text, const FleetConfiguration& configuration, Mistakes& mistakes)
{
    std::map<std::string, double> sums;
    for (const auto& [name, kind] : configuration.kinds)
        sums[kind.pool] += kind.guaranteedShare;
    for (const auto& [pool, sum] : sums) {
        const auto* section = text.find("pool " + pool);
        if (section && sum > 1 + shareTolerance)
            mistakes.add(*section,
                fmt::format("guaranteed_share sums to {:g} over the pool's kinds; at most 1 is allowed", sum));
    }
}

static void checkWhole(const IniText& text, const FleetConfiguration& configuration, Mistakes& mistakes)
{
    // A truncated or empty file is not a fleet without pools.
    if (configuration.pools.empty())
        mistakes.add(text.lineCount(), "[pool NAME]", "at least one pool is required");
    for (const auto& section : text.sections()) {
        static constexpr std::string_view kindPrefix = "kind ";
        if (section.name.compare(0, kindPrefix.size(), kindPrefix) != 0)
            continue;
        auto kind = configuration.kinds.find(section.name.substr(kindPrefix.size()));
        if (kind != configuration.kinds.end())
            checkKind(section, kind->second, configuration, mistakes);
    }
    for (const auto& [name, pool] : configuration.pools) {
        const auto* section = text.find("pool " + name);
        if (section && pool.spare && !pool.lends)
            addMistakeOfKey(*section, "lends", "a spare pool has to lend", mistakes);
    }
    checkShares(text, configuration, mistakes);
}

Result<FleetConfiguration> parseFleetConfiguration(std::string_view ini, std::string_view source)
{
    FleetConfiguration configuration;
    Mistakes mistakes(source);
    auto text = IniText::read(ini, mistakes);
    if (text.readable()) {
        for (const auto& section : text.sections())
            readConfigurationSection(section, configuration, mistakes);
        checkWhole(text, configuration, mistakes);
    }
    if (!mistakes.empty())
        return boost::leaf::new_error(mistakes.error(ResultCode::InvalidSettings));
    return configuration;
}

} // namespace shallotdrift
