#pragma once

#include "FleetState.h"

#include <log.pb.h>

namespace shallotdrift::internal {

// Copies what the submitter asked for from a record or a snapshot into a task.
inline void assignSpec(Task& task, const proto::TaskSpec& spec)
{
    task.kind = spec.kind();
    task.team = spec.team();
    task.cores = spec.cores();
    task.memoryMegabytes = spec.memory_mb();
    task.accelerators = spec.accelerators();
    task.declaredRuntime = Milliseconds(spec.declared_runtime_ms());
    task.input = spec.input();
}

} // namespace shallotdrift::internal
