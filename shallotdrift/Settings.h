// Settings module: INI settings of a process and handbook entries, each checked as a whole.
#pragma once

#include "src/Settings/CheckConfigCommand.h"
#include "src/Settings/HandbookPlan.h"
#include "src/Settings/KeyReference.h"
#include "src/Settings/NodeSettings.h"
#include "src/Settings/SettingsFile.h"
