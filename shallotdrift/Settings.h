// Settings module: INI settings of a process, the fleet configuration and handbook entries, each checked as a whole.
#pragma once

#include "src/Settings/CheckConfigCommand.h"
#include "src/Settings/EntrySettings.h"
#include "src/Settings/FleetConfiguration.h"
#include "src/Settings/HandbookPlan.h"
#include "src/Settings/KeyReference.h"
#include "src/Settings/NodeSettings.h"
