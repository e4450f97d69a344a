// Instances module: which instance belongs to which pool, and when it is maintained.
#pragma once

#include "src/Instances/InstancePlanner.h"
#include "src/Instances/OperatorOverrides.h"
