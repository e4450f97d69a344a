#pragma once

#include "PlatformClient.h"

#include <log.pb.h>

#include <atomic>
#include <memory>
#include <string>

namespace shallotdrift {

struct LogWriterOptions {
    std::string writer; // entry id
    uint64_t boot = 0;
    Milliseconds batchInterval { 40 };
    size_t maximumBatchRecords = 256;
    size_t maximumBatchBytes = 256 << 10;
    size_t ringCapacity = 4096;
    Milliseconds firstBackoff { 100 };
    Milliseconds maximumBackoff { 5000 };
    uint32_t maximumAppendsPerSecond = 25;
    uint64_t seed = 1; // of the back-off's jitter
    size_t maximumQueuedBytes = 8 << 20; // of records that are not yet appended; bounds the memory of an outage
};

struct LogWriterCounters {
    uint64_t batches = 0;
    uint64_t records = 0;
    uint64_t failedAppends = 0;
    uint64_t droppedBatches = 0; // refused for good
    uint64_t droppedRecords = 0;
};

// Appends records in batches on a thread of its own, in order. A batch is repeated with the same record identities
// until an append is answered, so that a lost answer adds copies at most, which the fold drops.
class LogWriter {
public:
    LogWriter(LogWriterOptions, PlatformClient&);
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    void start();
    // Stamps identity and time and queues the record. Returns its sequence number, or 0 when the ring is full.
    uint64_t submit(proto::Record);
    // False while appends fail; the first success after an outage sets it again.
    bool reachable() const;
    LogWriterCounters counters() const;
    // Waits until all submitted records are appended, or the time is over. Returns whether all are.
    bool flush(Milliseconds timeout);
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
