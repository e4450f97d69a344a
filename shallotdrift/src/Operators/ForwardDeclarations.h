#pragma once

namespace shallotdrift {

class EntryAccess;
class OperatorHandler;
class OperatorServer;
struct OperatorCommandOptions;
struct OperatorServerOptions;

namespace internal {
    class CommandWords;
    class OperatorClient;
    class FoldTrial;
    class StepPlanner;
    class TextTable;
    struct OperatorChange;
    struct PlannedStep;
} // namespace internal

} // namespace shallotdrift
