#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace shallotdrift::internal {

// A worker of the simulated fleet.
struct SimulatedInstance {
    std::string id;
    std::string zone;
    std::string rack;
    uint32_t slots = 0;
    uint32_t running = 0; // jobs, abandoned ones included
    uint32_t outstanding = 0; // attempts that entries wait for
    uint64_t life = 0; // raised by each death and reboot; jobs of an earlier life are gone
    bool dead = false;
    bool rebooting = false;
    bool failing = false; // fails every job at once
};

// By id.
using SimulatedInstances = std::map<std::string, SimulatedInstance>;

} // namespace shallotdrift::internal
