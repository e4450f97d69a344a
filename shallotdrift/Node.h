// Node module: an entry instance on the users' platform. Membership, owned partitions, calls to workers, the front.
#pragma once

#include "src/Node/NodeProcess.h"
