#pragma once

#include "EndedHistory.h"
#include "Fold.h"
#include "FoldLimits.h"
#include "WriterWindows.h"

#include <map>
#include <string>

namespace shallotdrift::internal {

// All that the fold keeps: the public state and what its rules need beside it.
struct FoldData {
    FleetState state;
    Offset offset = 0;
    WriterWindows writers;
    std::map<std::string, WallTime> memberStamps; // last stamped by the current boot of each member
    WallTime keyHorizon {}; // keys issued up to then are refused; never decreases, even when the key window grows
    uint64_t epochFloor = 0; // highest epoch of the instances that were forgotten

    // Derived from the state.
    EndedHistory<maximumEndedMoves> endedMoves;
    EndedHistory<maximumEndedWaves> endedWaves;
    EndedHistory<maximumEndedTasks> endedTasks;
    EndedHistory<maximumInvocations> invocationOrder;
};

// A record on its way through the fold.
struct RecordContext {
    Offset offset;
    uint32_t place;
    const proto::Record& record;
};

inline Verdict accepted(std::string figures = {}) { return { ResultCode::Ok, std::move(figures) }; }
inline Verdict refused(ResultCode code, std::string figures = {}) { return { code, std::move(figures) }; }

// Fold time: the second largest of the times that the members last stamped, so that one wrong clock cannot expire keys.
void advanceFoldTime(FoldData&);

// Forgets the keys whose window is over.
void expireKeys(FoldData&);

} // namespace shallotdrift::internal
