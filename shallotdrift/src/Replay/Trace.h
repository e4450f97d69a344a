#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"
#include "../Settings/FleetConfiguration.h"

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace shallotdrift {

using Microseconds = std::chrono::microseconds;

// Times of the simulated platform and network.
struct TraceEnvironment {
    Microseconds zoneDelay { 1000 }; // one way between zones
    Microseconds localDelay { 250 }; // one way within a zone
    Microseconds appendDelay { 60000 }; // from a proposal to its fold
    Microseconds viewDelay { 100000 }; // from a fold to its effect on dispatches
    Microseconds listDelay { 1000000 }; // from a loss to its record
    Microseconds rebootTime { 3000000 }; // of a moved instance, after its drain
    Microseconds maintenanceTime { 6000000 }; // of an instance in a wave, after its drain
};

struct TraceInstance {
    std::string id;
    std::string zone;
    std::string rack;
    std::string pool;
    uint32_t slots = 0;
};

struct TraceRequest {
    Microseconds at { 0 };
    std::string kind;
    std::string team;
    Microseconds runtime { 0 }; // on a healthy instance
    Milliseconds timeout { 0 };
    Milliseconds declaredRuntime { 0 };
    std::optional<Milliseconds> cancelAfter;
    bool cannotRun = false; // fails on every instance
};

struct TraceEvent {
    enum class Action : uint8_t {
        Lose, // instances die; with a zone, its entries too
        Restore,
        FailAll, // instances fail every job at once
        Heal,
        Wave, // starts a maintenance wave
    };
    Microseconds at { 0 };
    Action action = Action::Lose;
    // Selectors; an empty one selects all.
    std::string zone;
    std::string rack;
    std::string pool;
    std::string instance;

    // A whole zone with its entries.
    bool selectsZone() const { return !zone.empty() && rack.empty() && pool.empty() && instance.empty(); }
};

// Named part of the trace; requests are counted in the phase of their arrival.
struct TracePhase {
    std::string name;
    Microseconds from { 0 };
    Microseconds to { 0 };
};

// A recorded or generated workload with its fleet and faults.
struct Trace {
    std::string name;
    uint64_t seed = 1;
    Microseconds duration { 0 };
    uint32_t entries = 8;
    uint32_t floods = 0; // for the moves per flood
    std::string configurationIni;
    FleetConfiguration configuration; // parsed from configurationIni
    TraceEnvironment environment;
    std::vector<TraceInstance> instances;
    std::vector<TracePhase> phases;
    std::vector<TraceEvent> events; // by time
    std::vector<TraceRequest> requests; // by time
};

// One JSON object for each line: the header, then instances, phases, events and requests in any order.
// The error's message lists every mistake on a line of its own: "<source>:<line>: what is wrong".
Result<Trace> parseTrace(std::istream&, const std::string& source);
Result<Trace> readTrace(const std::string& path);
void writeTrace(const Trace&, std::ostream&);

} // namespace shallotdrift
