#pragma once

#include "../Settings/NodeSettings.h"

namespace shallotdrift {

// Runs an entry instance on the users' platform until SIGTERM or SIGINT. Returns the exit status.
int runNode(const NodeSettings&);

} // namespace shallotdrift
