// Fold module: the fleet's state, folded deterministically from the records of the platform's log.
#pragma once

#include "src/Fold/FleetState.h"
#include "src/Fold/Fold.h"
