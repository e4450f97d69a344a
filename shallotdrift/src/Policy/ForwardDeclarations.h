#pragma once

namespace shallotdrift {

class LendingPlanner;
class Scheduler;

namespace internal {

    class AdmissionOrder;
    class AdmissionQueue;
    class CostModel;
    class InstanceHealth;
    class Placement;
    class RetryBudget;
    class SlotShare;
    class UsageWindow;
    struct KindState;
    struct PoolState;
    struct TargetInstance;
    struct TeamState;
    struct WorkItem;

} // namespace internal
} // namespace shallotdrift
