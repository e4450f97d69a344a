#pragma once

#include "JobTypes.h"
#include "TaskOrder.h"

#include <map>
#include <string>

namespace shallotdrift {

// Room on workers that is kept free for long-running tasks. A task holds room on at most one worker: on the one where
// it waits for short tasks to end, or on the one that it moves to once its run elsewhere has stopped. Short tasks are
// far more numerous and smaller; without holds, they fill every gap before it is large enough for a long-running task.
class PlacementHolds {
public:
    struct Hold {
        std::string worker {};
        Resources resources {};
    };

    // Replaces the hold that the task has.
    void set(const TaskId&, std::string worker, const Resources&);
    void release(const TaskId&);
    // Calls visit(task, hold) for each hold.
    template <typename Visit> void forEach(Visit&& visit) const
    {
        for (const auto& [task, hold] : holds_)
            visit(task, hold);
    }
    // Null if the task holds no room.
    const Hold* find(const TaskId&) const;
    // Sum of the holds on the worker.
    Resources held(const std::string& worker) const;
    // Number of tasks of the step, other than the one given, that hold room on the worker.
    size_t holdsOfStep(const std::string& worker, const TaskId&) const;
    // Number of holds on the worker.
    size_t countOn(const std::string& worker) const;

private:
    std::map<TaskId, Hold> holds_;
    std::map<std::string, std::map<TaskId, Resources>> byWorker_;
};

} // namespace shallotdrift
