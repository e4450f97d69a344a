#include "FleetFile.h"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace shallotdrift::standin {

static FleetInstance parseInstance(const nlohmann::json& object)
{
    FleetInstance instance;
    instance.id = object.at("id");
    instance.role = object.at("role");
    instance.address = object.at("address");
    instance.zone = object.value("zone", "");
    instance.rack = object.value("rack", "");
    instance.pool = object.value("pool", "");
    instance.cores = object.value("cores", 0U);
    instance.memoryMegabytes = object.value("memory_mb", uint64_t { 0 });
    instance.accelerators = object.value("accelerators", 0U);
    instance.slots = object.value("slots", 0U);
    instance.connections = object.value("connections", 0U);
    return instance;
}

Result<std::vector<FleetInstance>> readFleetFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(ResultCode::InvalidSettings, fmt::format("cannot read fleet file {}", path));
    std::vector<FleetInstance> fleet;
    try {
        for (const auto& object : nlohmann::json::parse(file))
            fleet.push_back(parseInstance(object));
    } catch (const nlohmann::json::exception& error) {
        return fail(ResultCode::InvalidSettings, fmt::format("fleet file {}: {}", path, error.what()));
    }
    return fleet;
}

} // namespace shallotdrift::standin
