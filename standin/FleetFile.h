#pragma once

#include "shallotdrift/Base.h"

#include <string>
#include <vector>

namespace shallotdrift::standin {

// One instance of a fleet JSON file.
struct FleetInstance {
    std::string id;
    std::string role; // "target" or "entry"
    std::string address; // IP:port
    std::string zone;
    std::string rack;
    std::string pool;
    uint32_t cores = 0;
    uint64_t memoryMegabytes = 0;
    uint32_t accelerators = 0;
    uint32_t slots = 0;
    uint32_t connections = 0;
};

// Reads an array of objects {id, role, address, zone, rack, pool, cores, memory_mb, accelerators, slots, connections}.
Result<std::vector<FleetInstance>> readFleetFile(const std::string& path);

} // namespace shallotdrift::standin
