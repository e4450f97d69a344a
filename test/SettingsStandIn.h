#pragma once

// Stands in for the parsers of the Settings module, which is written on another branch: delete this file and its
// includes when both meet. Knows the sections that FoldLog.h writes.

#include "shallotdrift/Settings.h"

#include <sstream>

namespace shallotdrift {

inline void readStandInLine(
    FleetConfiguration& configuration, const std::string& type, const std::string& name, const std::string& line)
{
    auto separator = line.find(" = ");
    auto key = line.substr(0, separator);
    auto value = separator == std::string::npos ? "" : line.substr(separator + 3);
    if (type == "pool" && key == "minimum_available")
        configuration.pools[name].minimumAvailable = static_cast<uint32_t>(std::stoul(value));
    if (type == "pool" && key == "spare")
        configuration.pools[name].spare = value == "yes";
    if (type == "kind" && key == "pool")
        configuration.kinds[name].pool = value;
    if (type == "kind" && key == "idempotent")
        configuration.kinds[name].idempotent = value == "yes";
    if (type == "kind" && key == "long_running")
        configuration.kinds[name].longRunning = value == "yes";
    if (type == "kind" && key == "urgency")
        configuration.kinds[name].urgency = value == "urgent" ? Urgency::Urgent
            : value == "bulk"                                 ? Urgency::Bulk
                                                              : Urgency::Normal;
    if (type == "timing" && key == "key_window_ms")
        configuration.keyWindow = Milliseconds(std::stol(value));
}

inline void openStandInSection(FleetConfiguration& configuration, const std::string& type, const std::string& name)
{
    if (type == "zone")
        configuration.zones[name].name = name;
    if (type == "pool")
        configuration.pools[name].name = name;
    if (type == "kind")
        configuration.kinds[name].name = name;
    if (type == "team")
        configuration.teams[name].name = name;
}

Result<FleetConfiguration> parseFleetConfiguration(std::string_view ini, std::string_view source)
{
    FleetConfiguration configuration;
    std::istringstream lines { std::string(ini) };
    std::string type;
    std::string name;
    for (std::string line; std::getline(lines, line);) {
        if (line.find("invalid") != std::string::npos)
            return fail(ResultCode::InvalidSettings, std::string(source) + ": " + line);
        if (!line.empty() && line.front() == '[') {
            auto space = line.find(' ');
            type = space == std::string::npos ? line.substr(1, line.size() - 2) : line.substr(1, space - 1);
            name = space == std::string::npos ? "" : line.substr(space + 1, line.size() - space - 2);
            openStandInSection(configuration, type, name);
        } else
            readStandInLine(configuration, type, name, line);
    }
    if (configuration.pools.empty())
        return fail(ResultCode::InvalidSettings, std::string(source) + ": no pool");
    return configuration;
}

Result<HandbookPlan> parseHandbook(std::string_view ini, std::string_view source)
{
    if (ini.find("[step 1]") == std::string_view::npos)
        return fail(ResultCode::InvalidHandbook, std::string(source) + ": no step");
    HandbookPlan plan;
    plan.steps.resize(1);
    return plan;
}

} // namespace shallotdrift
