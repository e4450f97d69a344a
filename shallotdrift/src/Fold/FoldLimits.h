#pragma once

#include "../Base/Time.h"

#include <cstddef>
#include <cstdint>

// Bounds on what one record may carry and on what the folded state may hold. They are part of the fold's rules: all
// entries of a fleet have to use the same values.
namespace shallotdrift::internal {

constexpr size_t maximumPayloadBytes = 1 << 20; // four times a full batch of the log writer
constexpr size_t maximumNameBytes = 128;
constexpr size_t maximumReasonBytes = 256;
constexpr size_t maximumFiguresBytes = 512;
constexpr size_t maximumReceiptBytes = 256;
constexpr size_t maximumTaskInputBytes = 4 << 10;
constexpr size_t maximumConfigurationBytes = 256 << 10;
constexpr size_t maximumHandbookBytes = 32 << 10;

constexpr size_t maximumWriterWindows = 256;
constexpr size_t maximumMissingSequences = 256; // of one writer; one full batch
constexpr size_t maximumEntries = 128;
constexpr size_t maximumInstances = 5000;
constexpr size_t maximumLostInstances = 500; // lost ones that are remembered for their epoch
constexpr size_t maximumHandbooks = 200;
constexpr size_t maximumInvocations = 1000;
constexpr size_t maximumRunningWaves = 64;
constexpr size_t maximumOpenTasks = 4000;
// 66 keys a second over the window of 15 minutes. FoldBench measures 280 bytes for a key with a receipt of 64 bytes, so
// that the limit keeps the state within the 32 MB that control may cost a node.
constexpr size_t maximumKeys = 60000;
constexpr size_t maximumAuditEvents = 2000;
constexpr size_t maximumEndedMoves = 500;
constexpr size_t maximumEndedWaves = 100;
constexpr size_t maximumEndedTasks = 1000;

constexpr size_t failedInstancesLimit = 3; // a task that failed on so many instances cannot run

// 1 January 2286. Up to then, Unix milliseconds have 13 digits.
constexpr int64_t latestUnixMilliseconds = 9999999999999;

} // namespace shallotdrift::internal
