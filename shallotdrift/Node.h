// Node module: the process of an entry instance on the user platform, with membership, the owned partitions, the fleet
// manager, the connections to workers, and the request router.
#pragma once

#include "src/Node/ConfigurationCheck.h"
#include "src/Node/NodeProcess.h"
