// Replay module: trace files, the trace generator, the replay of traces through the policies, and its report.
#pragma once

#include "src/Replay/Outcomes.h"
#include "src/Replay/ReplayCommands.h"
#include "src/Replay/ReplayReport.h"
#include "src/Replay/Trace.h"
#include "src/Replay/TraceGenerator.h"
#include "src/Replay/TraceReplay.h"
