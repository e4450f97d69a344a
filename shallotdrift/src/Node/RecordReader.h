#pragma once

#include "NodeContext.h"

#include <functional>

namespace shallotdrift::internal {

// Reads the latest record of each key of a partition, page by page. Requests a page again until the store responds. The
// pages are not a snapshot: records appended meanwhile follow the offset that is passed to onDone.
class RecordReader {
public:
    using RecordHandler = std::function<void(platform::KeyedRecord&&)>;

    using DoneHandler = std::function<void(uint64_t endOffset)>; // end of the partition before the first page was read

    RecordReader(NodeContext&, platform::Partition, RecordHandler, DoneHandler onDone);

    ~RecordReader() { stop(); }
    RecordReader(const RecordReader&) = delete;
    RecordReader& operator=(const RecordReader&) = delete;

    void start() { readPage({}); }
    // Prevents all further callbacks.
    void stop() { *alive_ = false; }

private:
    void readPage(const std::string& after);
    void retry(const std::string& after, unsigned status);

    NodeContext& context_;
    platform::Partition partition_;
    RecordHandler onRecord_;
    DoneHandler onDone_;
    uint64_t endOffset_ = 0;
    uint64_t failures_ = 0; // of the page that is requested, so far
    asio::steady_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotdrift::internal
