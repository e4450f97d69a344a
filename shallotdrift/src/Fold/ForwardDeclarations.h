#pragma once

namespace shallotdrift {

class Fold;
class SnapshotAssembler;
struct FleetState;
struct FoldedRecord;
struct Verdict;

namespace internal {

    class WriterWindows;
    struct FoldData;
    struct RecordContext;

} // namespace internal

} // namespace shallotdrift
