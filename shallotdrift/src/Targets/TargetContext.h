#pragma once

#include "../Http/DeadlineQueue.h"
#include "TargetClient.h"

#include <array>
#include <atomic>
#include <memory>
#include <unordered_map>

namespace shallotdrift::internal {

class Attempt;

// What the connection pools of a client share; used on the client's thread only.
struct TargetContext {
    asio::io_context& io;
    const TargetClientOptions& options;
    const TargetClient::ResultHandler& resultHandler;
    const TargetClient::SendCheck& sendCheck;
    DeadlineQueue& deadlines;
    std::atomic<uint64_t> connectionsOpened { 0 };
    std::atomic<uint64_t> connectionsRetired { 0 };
    std::atomic<uint64_t> answersRejected { 0 };
    std::unordered_map<uint64_t, std::shared_ptr<Attempt>> attempts {};
    // Shared read buffer: a connection holds no buffer of its own while nothing arrives.
    std::array<char, 64 << 10> scratch {};
};

} // namespace shallotdrift::internal
