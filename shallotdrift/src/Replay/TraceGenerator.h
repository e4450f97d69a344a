#pragma once

#include "Trace.h"

#include <string>
#include <vector>

namespace shallotdrift {

struct GeneratorOptions {
    std::string deployment = "chamber"; // or "karoo"
    std::string scenario;
    uint64_t seed = 1;
    unsigned fleetPercent = 100; // workers, in percent of the deployment's; the demand stays
};

std::vector<std::string> scenarioNames();

// Equal options give equal traces. Fails with InvalidCommand for unknown names.
Result<Trace> generateTrace(const GeneratorOptions&);

} // namespace shallotdrift
