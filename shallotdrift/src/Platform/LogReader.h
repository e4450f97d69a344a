#pragma once

#include "PlatformClient.h"

#include <functional>
#include <memory>

namespace shallotdrift {

struct LogReaderOptions {
    size_t maximumItems = 512;
    Milliseconds wait { 1000 }; // long poll
    Milliseconds firstBackoff { 100 };
    Milliseconds maximumBackoff { 5000 };
    uint64_t seed = 1;
};

// Follows the log on a thread of its own and hands over pages in offset order.
class LogReader {
public:
    // Called on the reader's thread; may block, which holds the reader back. Returns the offset to read from next.
    using PageHandler = std::function<Offset(LogPage&&)>;

    LogReader(LogReaderOptions, PlatformClient&, PageHandler);
    ~LogReader();
    LogReader(const LogReader&) = delete;
    LogReader& operator=(const LogReader&) = delete;

    void start(Offset from);
    bool reachable() const;
    // Time since the last answered read.
    Duration sinceLastAnswer() const;
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
