#pragma once

#include "../Callers/CallerServer.h"
#include "../Platform/PlatformClient.h"
#include "../Targets/TargetClient.h"
#include "PlatformCalls.h"

#include <log.pb.h>
#include <peer.pb.h>

#include <functional>
#include <future>
#include <variant>
#include <vector>

namespace shallotdrift {

struct CallerCancelled {
    uint64_t id = 0;
};

// A page of the log; the reader waits for the offset to read from next.
struct LogPageArrived {
    LogPage page;
    std::promise<Offset> readNext;
};

struct TasksListed {
    std::vector<PlatformTask> tasks;
};

// A function to run on the core's thread, for the operators' calls and the stop.
struct RunOnCore {
    std::function<void()> function;
};

using CoreEvent = std::variant<CallerRequest, CallerCancelled, AttemptResult, LogPageArrived, proto::PeerMessage,
    InstanceList, TasksListed, PlatformCallResult, RunOnCore>;

} // namespace shallotdrift
