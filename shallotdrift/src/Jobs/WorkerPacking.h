#pragma once

#include "JobTypes.h"

#include <cstdint>
#include <vector>

namespace shallotdrift {

// Tasks of one size.
struct PackedStep {
    uint32_t count = 0;
    Resources taskResources {};
    uint32_t maximumTasksPerWorker = 0; // 0: no limit
};

// Number of equal, otherwise empty workers onto which first fit in decreasing order of size packs all tasks. Tasks that
// are larger than a worker are left out. Memory binds long-running tasks far more often than cores, so a sum of cores
// would be far too small.
uint32_t workersForTasks(std::vector<PackedStep>, const Resources& worker);

} // namespace shallotdrift
