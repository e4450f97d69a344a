// Fold module: the fleet's state, folded deterministically from the records of the platform's log.
#pragma once

#include "src/Fold/EntryRank.h"
#include "src/Fold/FleetState.h"
#include "src/Fold/Fold.h"
#include "src/Fold/PlannedWork.h"
#include "src/Fold/SnapshotAssembler.h"
#include "src/Fold/SnapshotWriter.h"
