#pragma once

#include "../Settings/NodeSettings.h"

namespace shallotdrift {

// Runs an entry instance until SIGTERM or SIGINT. Returns the exit status: 0, or 1 if it could not start. The entry
// instances accept requests about jobs and divide the services among themselves. The owner of a service schedules its
// jobs on the workers.
int runNode(const NodeSettings&);

} // namespace shallotdrift
