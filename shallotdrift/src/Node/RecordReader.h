#pragma once

#include "NodeContext.h"

#include <functional>

namespace shallotdrift::internal {

// Reads the newest record of each key of a partition, page by page; a page without an answer is asked for again.
class RecordReader {
public:
    using RecordHandler = std::function<void(platform::KeyedRecord&&)>;

    RecordReader(NodeContext&, platform::Partition, RecordHandler, std::function<void()> onDone);

    void start() { readPage({}); }
    // Nothing is called back any more.
    void stop() { *alive_ = false; }

private:
    void readPage(const std::string& after);
    void retry(const std::string& after);

    NodeContext& context_;
    platform::Partition partition_;
    RecordHandler onRecord_;
    std::function<void()> onDone_;
    asio::steady_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotdrift::internal
