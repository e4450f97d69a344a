#pragma once

#include "../Settings/NodeSettings.h"
#include "ForwardDeclarations.h"
#include "StoreClient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace shallotdrift::internal {

// Counts of one entry instance since its start, shown on the metrics page.
struct NodeCounters {
    uint64_t requests = 0;
    uint64_t jobsAccepted = 0;
    uint64_t jobsRefused = 0;
    uint64_t requestsUnanswered = 0; // by the owner
    uint64_t startsSent = 0;
    uint64_t startsRefused = 0;
    uint64_t startsUnanswered = 0;
    uint64_t runsEnded = 0;
    uint64_t leaseRenewalsSent = 0;
    uint64_t leaseRenewalsFailed = 0;
    uint64_t partitionsTaken = 0;
    uint64_t partitionsLost = 0;
    uint64_t instancesMoved = 0;
    uint64_t instancesMaintained = 0;
};

// What the parts of an entry instance share; used on its one thread only.
struct NodeContext {
    asio::io_context& io;
    DeadlineQueue& deadlines;
    const NodeSettings& settings;
    HttpClient& workerClient;
    HttpClient& peerClient;
    HttpClient& platformClient;
    StoreClient& store;
    NodeCounters counters {};
    std::shared_ptr<const platform::Configuration> configuration {}; // null before the first
    std::map<std::string, WorkerInfo> workerRegistry {}; // by id
    Instant membershipConfirmedAt {}; // sending time of the last join that was answered
    bool stopping = false;
};

inline Now currentTime() { return { BootClock::now(), wallNow() }; }

// Partition that holds the state of a service.
uint32_t partitionOf(const std::string& service, uint32_t partitions);

} // namespace shallotdrift::internal
