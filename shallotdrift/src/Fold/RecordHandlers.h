#pragma once

#include "FoldData.h"

#include <string>

namespace shallotdrift::internal {

enum class AuditPolicy : uint8_t {
    Always,
    AcceptedOnly, // several entries report the same fact; the copies would push changes out of the bounded trail
    Never, // frequent records that explain finds in the state itself
};

// How records of one type are folded and shown in the audit trail.
struct RecordHandler {
    Verdict (*fold)(FoldData&, const RecordContext&);
    std::string (*subject)(const FleetState&, const proto::Record&); // as explain takes it: "instance w-03"
    const char* action;
    AuditPolicy audit;
};

// Null for a record without a known body.
const RecordHandler* handlerOf(proto::Record::BodyCase);

// Entries
Verdict foldEntryJoined(FoldData&, const RecordContext&);
Verdict foldEntryLeft(FoldData&, const RecordContext&);
Verdict foldEntryRemoved(FoldData&, const RecordContext&);
// Configuration
Verdict foldConfigurationProposed(FoldData&, const RecordContext&);
// Handbook
Verdict foldHandbookProposed(FoldData&, const RecordContext&);
Verdict foldHandbookReviewed(FoldData&, const RecordContext&);
Verdict foldHandbookInvoked(FoldData&, const RecordContext&);
// Instances
Verdict foldInstanceObserved(FoldData&, const RecordContext&);
Verdict foldInstanceLost(FoldData&, const RecordContext&);
// Moves and gates
Verdict foldMoveProposed(FoldData&, const RecordContext&);
Verdict foldCloseAcknowledged(FoldData&, const RecordContext&);
Verdict foldMoveGranted(FoldData&, const RecordContext&);
Verdict foldMoveAborted(FoldData&, const RecordContext&);
// Waves
Verdict foldWaveStarted(FoldData&, const RecordContext&);
Verdict foldWaveChanged(FoldData&, const RecordContext&);
Verdict foldMaintenanceStarted(FoldData&, const RecordContext&);
Verdict foldMaintenanceDone(FoldData&, const RecordContext&);
// Tasks
Verdict foldTaskAccepted(FoldData&, const RecordContext&);
Verdict foldTaskPlaced(FoldData&, const RecordContext&);
Verdict foldTaskOwner(FoldData&, const RecordContext&);
Verdict foldTaskEnded(FoldData&, const RecordContext&);
// Request keys
Verdict foldKeyIntent(FoldData&, const RecordContext&);
Verdict foldKeyOutcome(FoldData&, const RecordContext&);
Verdict foldKeyWithdrawn(FoldData&, const RecordContext&);

// Shared by the handlers of several subjects.

// Whether the record was written by the given entry's boot itself.
bool writtenBy(const proto::Record&, const std::string& entry, uint64_t boot);
// Ids of the entries that have to acknowledge the closing of an instance of the zone.
std::set<std::string> gateOf(const FleetState&, const std::string& zone);
// Whether planned work may take the instance out of service.
Verdict checkTakingOut(const FleetState&, const std::string& instance, uint64_t expectedEpoch);
// Takes the instance out of service; it is closed at once when no gate entry has to acknowledge.
void closeInstance(Instance&, const std::string& operationId, bool gateIsEmpty, Offset);
// Puts the instance back into service under its next epoch.
void reopenInstance(Instance&, Offset);
// The entry has ended: nothing is expected of it any more.
void dropPendingGate(FoldData&, const std::string& entry, Offset);
// Waves do not wait for an instance that is lost without work under way.
void giveUpPending(FoldData&, const std::string& instance);
void giveUpIfLost(FoldData&, const std::string& instance);
// Erases a lost instance and keeps its epoch from being used again.
void forgetInstance(FoldData&, const std::string& instance);

} // namespace shallotdrift::internal
