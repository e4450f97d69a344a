#pragma once

namespace shallotdrift {

struct ReplayReport;
struct StatedOutcome;
struct Trace;

namespace internal {

    class FleetDriver;
    class FleetModel;
    class Measures;
    class Simulation;
    struct SimulatedEntry;
    struct SimulatedInstance;

} // namespace internal
} // namespace shallotdrift
