#pragma once

#include "shallotdrift/Platform.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace shallotdrift::standin {

// Tasks under leases with a simulated run time. The input of a task is "run_ms=N&fail=0|1&use=FACTOR": its true run
// time, whether it fails at its end, and its true use of cores and memory as a multiple of what was declared.
class PlatformTasks {
public:
    enum class Answer : uint8_t {
        Ok,
        UnknownTask,
        OldToken,
        WrongState, // ended or lapsed
        Full,
    };

    explicit PlatformTasks(Milliseconds usageLag);

    Answer start(const TaskStart&, Instant now);
    Answer command(const std::string& id, TaskCommand, uint64_t token, Instant now);
    std::vector<PlatformTask> list(Instant now);
    // Leases do not lapse while the platform is down.
    void extendLeases(Milliseconds, Instant now);
    // The instance's tasks end at once, as if their leases had lapsed.
    void instanceStopped(const std::string& instance, Instant now);

private:
    struct State {
        TaskStart start;
        PlatformTask::Status status = PlatformTask::Status::Running;
        bool stopped = false; // by command; no longer listed
        Duration runTime { 0 };
        Duration done { 0 };
        Duration checkpoint { 0 }; // progress from which the next placement resumes
        bool fails = false;
        double use = 1;
        Instant startedAt;
        Instant updatedAt;
        Instant leaseEnd;
        Instant endedAt;
    };
    using Action = void (PlatformTasks::*)(State&, Instant);

    void renew(State&, Instant now);
    void throttle(State&, Instant now);
    void takeCheckpoint(State&, Instant now);
    void stop(State&, Instant now);
    static bool runs(const State&);
    static void advance(State&, Instant now);
    static void end(State&, PlatformTask::Status, Instant now);
    static void readInput(State&);
    PlatformTask report(const State&, Instant now) const;
    void forgetOld(Instant now);

    const Milliseconds usageLag_;
    std::mutex mutex_;
    std::map<std::string, State> tasks_;
};

} // namespace shallotdrift::standin
