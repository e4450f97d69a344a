#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace shallotdrift {

// Settings of an entry instance that runs on the users' platform.
struct NodeSettings {
    // [node]
    std::string name;
    std::string zone;
    std::string ip;
    std::string callerAddress; // IP:port of the callers' listener
    std::string readyAddress; // IP:port where the platform checks readiness
    uint32_t firstInternalPort = 0; // the peers' listener; the next one serves metrics
    std::string logLevel = "info";

    // [store]
    std::string storeAddress;
    uint32_t storePartitions = 24;
    Milliseconds membershipTime { 2000 }; // without a sign of life for so long, an entry loses its partitions

    // [instances]
    std::string instancesAddress;
    Milliseconds instanceMoveTime { 1500 };
    Milliseconds maintenanceTime { 2000 };

    // [advice]
    std::string adviceAddress;

    // [bounds]
    Milliseconds longestLease { 10000 };
    Milliseconds statusKept { 120000 };
    Milliseconds stopGrace { 6000 };
};

Result<NodeSettings> parseNodeSettings(std::string_view ini, std::string_view source);
Result<NodeSettings> readNodeSettings(const std::string& path);

} // namespace shallotdrift
