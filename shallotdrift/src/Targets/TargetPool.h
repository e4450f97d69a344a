#pragma once

#include "TargetConnection.h"

#include <deque>
#include <unordered_set>
#include <vector>

namespace shallotdrift::internal {

// Connections to one target and the attempts that wait for one.
class TargetPool {
public:
    TargetPool(TargetContext&, std::string instance);
    TargetPool(const TargetPool&) = delete;
    TargetPool& operator=(const TargetPool&) = delete;

    void submit(const std::shared_ptr<Attempt>&);
    void abandon(const std::shared_ptr<Attempt>&);
    void closeIdle();
    // Ends everything; each attempt gets a result.
    void stop();
    bool unused() const { return connections_.empty() && waiting_.empty(); }

    // Called by the connections and attempts.
    void connectionIdle(const std::shared_ptr<TargetConnection>&);
    void connectionClosed(const std::shared_ptr<TargetConnection>&);
    void attemptExpired(const std::shared_ptr<Attempt>&);
    void attemptSilent();
    void answered() { silentAttempts_ = 0; }

private:
    bool runOnIdle(const std::shared_ptr<Attempt>&);
    bool makeRoom();
    void serveWaiting();
    void drop(const std::shared_ptr<TargetConnection>&);
    void retireIdle();

    TargetContext& context_;
    std::string instance_;
    std::string address_;
    asio::ip::tcp::endpoint endpoint_;
    bool addressValid_ = false;
    bool serving_ = false;
    int silentAttempts_ = 0; // attempts in a row that ended without a byte of an answer
    std::unordered_set<std::shared_ptr<TargetConnection>> connections_;
    std::vector<std::shared_ptr<TargetConnection>> idle_; // the last one was used most recently
    std::deque<std::shared_ptr<Attempt>> waiting_;
};

} // namespace shallotdrift::internal
