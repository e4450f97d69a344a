#pragma once

namespace shallotdrift {

struct TargetAttempt;
struct AttemptResult;
struct TargetClientOptions;
class TargetClient;

namespace internal {
    class Attempt;
    class TargetConnection;
    class TargetPool;
    struct TargetContext;
} // namespace internal

} // namespace shallotdrift
