#include "Roles.h"

#include "shallotdrift/Settings.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(fleet_configuration, "", "fleet configuration (INI) whose zones and pools are laid out");
DEFINE_string(fleet_pools, "assessments:12,risk:10,reports:10,archive:10,accounts:8", "workers of each pool");
DEFINE_int32(fleet_entries, 8, "number of entry instances");
DEFINE_int32(fleet_slots, 8, "slots of a worker");
DEFINE_int32(fleet_workers_per_rack, 4, "workers of a rack");
DEFINE_int32(fleet_base_port, 17000, "first port; about 100 ports and one for each worker follow");
DEFINE_string(fleet_directory, "", "directory for fleet.json, entry-N.ini and relay.txt");
DEFINE_bool(fleet_relays, false, "route the traffic between zones, and to the platform, through the relay role");

namespace shallotdrift::standin {

namespace {

    constexpr int peerPorts = 20;
    constexpr int operatorPorts = 40;
    constexpr int metricsPorts = 60;
    constexpr int platformPort = 80;
    constexpr int targetPorts = 100;
    constexpr int relayPorts = 500;
    constexpr int workerCores = 16;
    constexpr int workerMemoryMegabytes = 64 << 10;
    constexpr int workerConnections = 64;

    // Lays out a fleet on loopback ports: workers round robin over the zones, entries round robin over the zones.
    class FleetLayout {
    public:
        explicit FleetLayout(const FleetConfiguration& configuration)
        {
            for (const auto& [name, zone] : configuration.zones)
                zones_.push_back(name);
            for (int i = 0; i < FLAGS_fleet_entries; ++i)
                entryZones_.push_back(zones_[i % zones_.size()]);
        }

        nlohmann::json fleet() const
        {
            auto instances = nlohmann::json::array();
            for (int i = 0; i < FLAGS_fleet_entries; ++i) {
                instances.push_back({ { "id", entryId(i) }, { "role", "entry" }, { "address", address(i) },
                    { "zone", entryZones_[i] }, { "rack", "entries-" + entryZones_[i] }, { "pool", "" }, { "cores", 2 },
                    { "memory_mb", 4096 }, { "accelerators", 0 }, { "slots", 0 }, { "connections", 0 } });
            }
            std::vector<int> workersOfZone(zones_.size());
            size_t next = 0;
            std::istringstream pools(FLAGS_fleet_pools);
            for (std::string item; std::getline(pools, item, ',');) {
                auto colon = item.find(':');
                auto pool = item.substr(0, colon);
                for (int i = 0; i < std::stoi(item.substr(colon + 1)); ++i, ++next) {
                    size_t zone = next % zones_.size();
                    int rack = workersOfZone[zone]++ / FLAGS_fleet_workers_per_rack;
                    instances.push_back({ { "id", fmt::format("w-{:03}", next + 1) }, { "role", "target" },
                        { "address", address(targetPorts + static_cast<int>(next)) }, { "zone", zones_[zone] },
                        { "rack", fmt::format("{}-r{}", zones_[zone], rack + 1) }, { "pool", pool },
                        { "cores", workerCores }, { "memory_mb", workerMemoryMegabytes }, { "accelerators", 0 },
                        { "slots", FLAGS_fleet_slots }, { "connections", workerConnections } });
                }
            }
            return instances;
        }

        std::string entrySettings(int entry)
        {
            auto text = fmt::format("[entry]\nid = {}\nzone = {}\ncaller_address = {}\npeer_address = {}\n"
                                    "operator_address = {}\nmetrics_address = {}\nlog_level = info\nfixed_peers = {}\n",
                entryId(entry), entryZones_[entry], address(entry), address(peerPorts + entry),
                address(operatorPorts + entry), address(metricsPorts + entry), FLAGS_fleet_relays ? "yes" : "no");
            text += "\n[platform]\naddress = " + reachedFrom(entryZones_[entry], "platform", address(platformPort))
                + "\n";
            text += "\n[peers]\n";
            for (int other = 0; other < FLAGS_fleet_entries; ++other) {
                if (other == entry)
                    continue;
                auto direct = address(peerPorts + other);
                bool sameZone = entryZones_[other] == entryZones_[entry];
                auto route = sameZone ? direct : reachedFrom(entryZones_[entry], entryId(other), direct);
                text += fmt::format("{} = {}\n", entryId(other), route);
            }
            return text;
        }

        // Lines "<zone>><destination> <listen>=<target>" of the routes that the settings use.
        const std::string& relayRoutes() const { return relayRoutes_; }

        static std::string entryId(int entry) { return fmt::format("entry-{}", entry + 1); }
        static std::string address(int port) { return fmt::format("127.0.0.1:{}", FLAGS_fleet_base_port + port); }

    private:
        std::string reachedFrom(const std::string& zone, const std::string& destination, const std::string& direct)
        {
            if (!FLAGS_fleet_relays)
                return direct;
            auto name = zone + ">" + destination;
            auto known = routes_.find(name);
            if (known != routes_.end())
                return known->second;
            auto listen = address(relayPorts + static_cast<int>(routes_.size()));
            routes_[name] = listen;
            relayRoutes_ += fmt::format("{} {}={}\n", name, listen, direct);
            return listen;
        }

        std::vector<std::string> zones_;
        std::vector<std::string> entryZones_;
        std::map<std::string, std::string> routes_;
        std::string relayRoutes_;
    };

    void write(const std::filesystem::path& path, const std::string& text) { std::ofstream(path) << text; }

    std::string readAll(const std::string& path)
    {
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str();
    }

} // namespace

int runFleetRole()
{
    return handleError(
        []() -> Result<int> {
            BOOST_LEAF_AUTO(
                configuration, parseFleetConfiguration(readAll(FLAGS_fleet_configuration), FLAGS_fleet_configuration));
            FleetLayout layout(configuration);
            std::filesystem::path directory(FLAGS_fleet_directory);
            std::filesystem::create_directories(directory);
            write(directory / "fleet.json", layout.fleet().dump(1) + "\n");
            for (int i = 0; i < FLAGS_fleet_entries; ++i)
                write(directory / (FleetLayout::entryId(i) + ".ini"), layout.entrySettings(i));
            write(directory / "relay.txt", layout.relayRoutes());
            return 0;
        },
        [](const Error& error) {
            std::cerr << error.message << "\n";
            return 2;
        });
}

} // namespace shallotdrift::standin
