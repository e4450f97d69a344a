// Settings module: parsing and validation of a process's INI settings and of handbook entries.
#pragma once

#include "src/Settings/CheckConfigCommand.h"
#include "src/Settings/HandbookPlan.h"
#include "src/Settings/KeyReference.h"
#include "src/Settings/NodeSettings.h"
#include "src/Settings/SettingsFile.h"
