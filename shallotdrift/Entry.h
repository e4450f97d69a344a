// Entry module: one entry instance's process, assembled from the other modules.
#pragma once

#include "src/Entry/EntryProcess.h"
