#pragma once

#include "../Jobs/ServiceScheduler.h"
#include "NodeContext.h"

#include <functional>
#include <memory>

namespace shallotdrift::internal {

// Appends records to a partition as its only writer, as long as no other writer has a higher epoch. At most one append
// is in flight; it is retried with the same sequence number until it gets a response, so that no record is stored twice
// or out of order. onFenced is called when the store rejects the epoch.
//
// Records that exceed a request are stored by several requests, in their order. Each request is all or nothing, so the
// caller has to order the records such that a next owner can read the state after each of them. When the store refuses
// a request for good, its halves are sent alone until the record that causes it is found. That one is left out, with
// the records of the same job that follow it.
class PartitionWriter {
public:
    PartitionWriter(NodeContext&, platform::Partition, uint64_t epoch, std::function<void()> onFenced);

    // Makes the store reject appends with lower epochs, then calls done.
    void fence(std::function<void()> done);
    using RefusedKeys = std::vector<std::string>;
    using DoneHandler = std::function<void(const RefusedKeys&)>;
    // Calls done once the records are stored, except those that the store will never take, whose keys are passed. Must
    // not be called while busy().
    void append(const std::vector<StateRecord>&, DoneHandler done);
    bool busy() const { return busy_; }
    // Time since the request in flight was first sent, retries included; zero while no append is in flight.
    Duration appendAge(Instant now) const { return busy_ ? now - appendStartedAt_ : Duration::zero(); }
    // Send time of the last successful append. No later owner had fenced this one at that time.
    Instant confirmedAt() const { return confirmedAt_; }
    // Prevents all further retries and callbacks.
    void stop() { *alive_ = false; }

private:
    struct EncodedRecord {
        std::string key;
        std::string bytes;
    };

    void beginAppend(std::vector<EncodedRecord>, DoneHandler done);
    // Sends the records from next_ on, at most `count` of them and as many as fit a request.
    void beginRequest(size_t count);
    void send();
    void onResponse(const platform::AppendResponse&);
    void onRequestDone();
    void onRefusedForGood();
    void retry(Milliseconds);

    NodeContext& context_;
    platform::Partition partition_;
    platform::Producer producer_;
    std::function<void()> onFenced_;
    asio::steady_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::vector<EncodedRecord> records_;
    size_t next_ = 0; // first record of the request in flight
    size_t end_ = 0; // behind the last one
    std::string bytes_; // of the request in flight
    RefusedKeys refused_;
    DoneHandler onDone_;
    Instant appendStartedAt_ {};
    Instant confirmedAt_ {};
    bool busy_ = false;
};

} // namespace shallotdrift::internal
