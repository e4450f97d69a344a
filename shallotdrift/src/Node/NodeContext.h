#pragma once

#include "../Settings/NodeSettings.h"
#include "ForwardDeclarations.h"
#include "StoreClient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace shallotdrift::internal {

// Counters of an entry instance since its start, exported as metrics.
struct NodeCounters {
    uint64_t requests = 0;
    uint64_t jobsAccepted = 0;
    uint64_t jobsRefused = 0;
    uint64_t jobsBeyondShare = 0; // part of the refused ones
    uint64_t requestsUnanswered = 0; // attempts that got no response from the owner; a request may have several
    uint64_t startsSent = 0;
    uint64_t startsRefused = 0;
    uint64_t startsUnanswered = 0;
    uint64_t startsNotSent = 0; // the incarnation that they were for could not be reached
    uint64_t runsEnded = 0;
    uint64_t leaseRenewalsSent = 0;
    uint64_t leaseRenewalsFailed = 0;
    uint64_t partitionsTaken = 0; // takeovers of a partition, counted when they begin
    uint64_t partitionsLost = 0; // ownerships ended because a later owner fenced this one
    uint64_t instancesMoved = 0;
    uint64_t instancesMaintained = 0;
    uint64_t keysRefused = 0; // requests without a known key
    uint64_t requestsUnconfirmed = 0; // refused because the configuration could not be confirmed in time
    uint64_t configurationReadsFailed = 0; // of the store
    uint64_t relayedReads = 0; // of the configuration, answered by a relay
    uint64_t relayedReadsFailed = 0;
    uint64_t unexpectedErrors = 0; // exceptions that escaped from a handler of the event loop
};

// How long this entry instance may act as the owner of its partitions without asking the store.
struct MembershipLease {
    Instant confirmedAt {}; // when the last join request that succeeded was sent
    Milliseconds timeout { 0 }; // after which the store may give the partitions to another member

    // No other member can own the partitions before this becomes false. BootClock goes on while the process is paused.
    bool valid(Instant now) const { return now - confirmedAt < timeout; }
};

// What the components of an entry instance share. Used on its Asio thread only.
struct NodeContext {
    asio::io_context& io;
    DeadlineQueue& deadlines;
    const NodeSettings& settings;
    HttpClient& workerClient;
    HttpClient& peerClient;
    HttpClient& platformClient;
    StoreClient& store;
    NodeCounters counters {};
    std::shared_ptr<const platform::Configuration> configuration {}; // null until a configuration has been read
    // The configuration is at least as new as the store's was at this time.
    Instant configurationConfirmedAt {};
    std::map<std::string, WorkerInfo> workerRegistry {}; // by worker id
    MembershipLease membershipLease {};
    bool stopping = false;

    // Time since the configuration was known to be the store's.
    Milliseconds configurationAge(Instant now) const
    {
        return std::chrono::duration_cast<Milliseconds>(now - configurationConfirmedAt);
    }
};

// How long a process may accept keys by the configuration that it last confirmed. A request is sent before it is
// checked; so if its key was withdrawn more than `bound` before it was sent, the confirmation is later than the
// withdrawal. BootClock goes on while the process is paused.
struct KeyConfirmation {
    Milliseconds bound { 0 }; // 0: for any time

    // Part of the bound by which the clocks of the client and of this process may differ in rate.
    static constexpr int clockMarginDivisor = 20;
    bool holds(Instant confirmedAt, Instant now) const
    {
        return bound.count() == 0 || now - confirmedAt < bound - bound / clockMarginDivisor;
    }
};

inline Now currentTime() { return { BootClock::now(), wallNow() }; }

// The partition that stores the state of a service.
uint32_t partitionOf(const std::string& service, uint32_t partitions);

} // namespace shallotdrift::internal
