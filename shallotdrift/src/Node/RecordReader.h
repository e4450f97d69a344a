#pragma once

#include "NodeContext.h"

#include <functional>

namespace shallotdrift::internal {

// Reads the latest record of each key of a partition, page by page. Requests a page again until the store responds.
class RecordReader {
public:
    using RecordHandler = std::function<void(platform::KeyedRecord&&)>;

    RecordReader(NodeContext&, platform::Partition, RecordHandler, std::function<void()> onDone);

    void start() { readPage({}); }
    // Prevents all further callbacks.
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
