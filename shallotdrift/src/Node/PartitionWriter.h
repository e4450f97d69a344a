#pragma once

#include "../Jobs/ServiceScheduler.h"
#include "NodeContext.h"

#include <functional>
#include <memory>

namespace shallotdrift::internal {

// The only writer of a partition while its epoch is the highest. One append is on its way at a time; it is repeated
// with the same number until it is answered, so that no record is stored twice or out of order.
class PartitionWriter {
public:
    PartitionWriter(NodeContext&, platform::Partition, uint64_t epoch, std::function<void()> onFenced);

    // Shuts out writers with lower epochs.
    void fence(std::function<void()> done);
    // Only while not busy. Done is called once the records are stored.
    void append(const std::vector<StateRecord>&, std::function<void()> done);
    bool busy() const { return busy_; }
    // Time for which the append on its way has waited; zero while none does.
    Duration appendAge(Instant now) const { return busy_ ? now - appendStartedAt_ : Duration::zero(); }
    // Sending time of the last call that was answered with success: no other owner had begun by then.
    Instant confirmedAt() const { return confirmedAt_; }
    void stop() { *alive_ = false; }

private:
    void beginAppend(std::string bytes, std::function<void()> done);
    void send();
    void onResponse(const platform::AppendResponse&);
    void retry(Milliseconds);

    NodeContext& context_;
    platform::Partition partition_;
    platform::Producer producer_;
    std::function<void()> onFenced_;
    asio::steady_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::string bytes_;
    std::function<void()> onStored_;
    Instant appendStartedAt_ {};
    Instant confirmedAt_ {};
    bool busy_ = false;
};

} // namespace shallotdrift::internal
