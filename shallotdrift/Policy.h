// Policy module: decisions on requests, lending, maintenance waves and tasks. No sockets, threads or clocks.
#pragma once

#include "src/Policy/LendingPlanner.h"
#include "src/Policy/Scheduler.h"
#include "src/Policy/TaskPlanner.h"
#include "src/Policy/WavePlanner.h"
