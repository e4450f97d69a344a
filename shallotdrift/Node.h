// Node module: the process of an entry instance on the user platform. Membership, owned partitions, requests to
// workers, and the listener for clients.
#pragma once

#include "src/Node/NodeProcess.h"
