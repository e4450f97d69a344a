// Node module: an entry instance on the users' platform. Membership, owned partitions, calls to workers, the request
// router.
#pragma once

#include "src/Node/NodeProcess.h"
