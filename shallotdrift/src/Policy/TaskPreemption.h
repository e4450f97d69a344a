#pragma once

#include "InstanceLoad.h"

#include <string>
#include <vector>

namespace shallotdrift::internal {

// Plans which tasks make room, on instances that go out of service and on those that urgent work needs.
class TaskPreemption {
public:
    TaskPreemption(const FleetState&, TaskPlan&);

    void run(const InstanceLoad&);

private:
    void stopAll(const InstanceLoad&);
    void relieve(const InstanceLoad&);
    void preempt(const InstanceLoad&, double used, double excess);
    std::vector<const Task*> preemptableTasks(const InstanceLoad&) const;

    const FleetState& state_;
    TaskPlan& plan_;
};

} // namespace shallotdrift::internal
