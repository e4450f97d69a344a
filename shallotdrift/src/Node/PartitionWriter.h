#pragma once

#include "../Jobs/ServiceScheduler.h"
#include "NodeContext.h"

#include <functional>
#include <memory>

namespace shallotdrift::internal {

// Appends records to a partition as its only writer, as long as no other writer has a higher epoch. At most one append
// is in flight; it is retried with the same sequence number until it gets a response, so that no record is stored twice
// or out of order. onFenced is called when the store rejects the epoch.
class PartitionWriter {
public:
    PartitionWriter(NodeContext&, platform::Partition, uint64_t epoch, std::function<void()> onFenced);

    // Makes the store reject appends with lower epochs, then calls done.
    void fence(std::function<void()> done);
    // Calls done once the records are stored. Must not be called while busy().
    void append(const std::vector<StateRecord>&, std::function<void()> done);
    bool busy() const { return busy_; }
    // Time since the append in flight was begun, retries included; zero while no append is in flight.
    Duration appendAge(Instant now) const { return busy_ ? now - appendStartedAt_ : Duration::zero(); }
    // Send time of the last successful append. No later owner had fenced this one at that time.
    Instant confirmedAt() const { return confirmedAt_; }
    // Prevents all further retries and callbacks.
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
