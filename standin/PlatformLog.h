#pragma once

#include "shallotdrift/Platform.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace shallotdrift::standin {

struct PlatformLogOptions {
    size_t retentionEntries = 100000;
    Milliseconds retention { 3600 * 1000 };
    size_t retentionBytes = 256 << 20; // bounds the stand-in's memory
    uint32_t appendsPerSecond = 300;
    size_t pageBytes = 4 << 20; // a page ends before the payload that would exceed this
};

// Append-only log with offsets from 1, limited retention and a limit on appends per second.
class PlatformLog {
public:
    explicit PlatformLog(PlatformLogOptions);

    // Empty when the limit per second is reached. A copy count above one stores the payload that many times.
    std::optional<Offset> append(std::string payload, Instant now, int copies = 1);
    // Waits up to the given time for entries at or above the offset.
    LogPage read(Offset from, size_t maximumItems, Milliseconds wait);
    // Ends the waits of readers.
    void wakeReaders();
    Offset earliest() const;
    Offset next() const;

private:
    struct Entry {
        Instant at;
        std::string payload;
    };

    void expire(Instant now);
    Offset nextLocked() const { return earliest_ + entries_.size(); }
    LogPage pageLocked(Offset from, size_t maximumItems) const;

    const PlatformLogOptions options_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Entry> entries_;
    std::deque<Instant> recentAppends_; // of the last second
    Offset earliest_ = 1;
    size_t bytes_ = 0;
    uint64_t wakes_ = 0;
};

} // namespace shallotdrift::standin
