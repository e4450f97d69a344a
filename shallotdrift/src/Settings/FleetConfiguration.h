#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace shallotdrift {

enum class Urgency : uint8_t {
    Urgent,
    Normal,
    Bulk,
};

struct ZoneConfiguration {
    std::string name;
    std::string region;
};

struct PoolConfiguration {
    std::string name;
    uint32_t minimumAvailable = 0; // availability budget, in instances
    bool spare = false; // lends its instances first
    bool lends = true; // may lend instances to other pools
    bool borrows = true; // may borrow instances from other pools
};

// A kind of work; short requests run in slots, long ones as leased tasks.
struct KindConfiguration {
    std::string name;
    std::string pool;
    Urgency urgency = Urgency::Normal;
    double guaranteedShare = 0; // of the pool's slots, 0 to 1; the shares of a pool's kinds sum to at most 1
    Milliseconds defaultTimeout { 5000 };
    Milliseconds expectedRuntime { 200 }; // until completions teach a better figure
    bool idempotent = true;
    bool longRunning = false;
    uint32_t queueLimit = 1000; // requests for each entry instance
};

struct TeamConfiguration {
    std::string name;
    uint32_t slotQuota = 0; // slots over all entry instances; 0: no limit
};

struct LendingConfiguration {
    bool enabled = true;
    double targetUtilization = 0.8; // of a pool's slots, that lending aims at
    Milliseconds minimumHold { 20000 }; // between a move and the return of the same instance
    uint32_t maximumConcurrentMoves = 8; // automatic moves under way at once
};

// Contents of the configuration text that operators propose and the fold accepts as a whole.
struct FleetConfiguration {
    std::map<std::string, ZoneConfiguration> zones;
    std::map<std::string, PoolConfiguration> pools;
    std::map<std::string, KindConfiguration> kinds;
    std::map<std::string, TeamConfiguration> teams;
    LendingConfiguration lending;
    Milliseconds keyWindow { std::chrono::minutes(15) };
    Milliseconds moveTimeout { std::chrono::seconds(60) };
    Milliseconds maximumTimeout { std::chrono::seconds(30) }; // longest time a caller may allow a request
};

// Parses and checks a whole configuration. The error's message lists every mistake on a line of its own:
// "<source>: [section] key = value: what is allowed".
Result<FleetConfiguration> parseFleetConfiguration(std::string_view ini, std::string_view source);

} // namespace shallotdrift
