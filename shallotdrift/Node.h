// Node module: the process of an entry instance on the user platform. Membership, owned partitions, the fleet manager,
// connections to workers, and the request router.
#pragma once

#include "src/Node/NodeProcess.h"
