// Instances module: assignment of instances to pools, maintenance, and the operators' overrides of both.
#pragma once

#include "src/Instances/InstancePlanner.h"
#include "src/Instances/OperatorOverrides.h"
