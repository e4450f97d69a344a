#pragma once

#include "NodeContext.h"

#include <functional>

namespace shallotdrift::internal {

// Follows the operator's records: the configuration in force and the maintenance waves.
class ConfigurationFollower {
public:
    ConfigurationFollower(NodeContext&, std::function<void()> onConfiguration);

    void start();
    const std::map<uint64_t, platform::WaveRequest>& waves() const { return waves_; }

private:
    void readAll(const std::string& after);
    void follow();
    void retry(bool all);
    void take(const platform::KeyedRecord&);

    NodeContext& context_;
    std::function<void()> onConfiguration_;
    asio::steady_timer timer_;
    uint64_t next_ = 0;
    std::map<uint64_t, platform::WaveRequest> waves_;
};

// Follows the registry of workers.
class RegistryFollower {
public:
    RegistryFollower(NodeContext&, std::function<void()> onChange);

    // Reads only while it is wanted, since every worker writes often.
    void setWanted(bool);
    bool loaded() const { return loaded_; }

private:
    void readAll(const std::string& after);
    void poll();
    void later(Milliseconds);
    bool take(const platform::KeyedRecord&);

    NodeContext& context_;
    std::function<void()> onChange_;
    asio::steady_timer timer_;
    bool wanted_ = false;
    bool running_ = false;
    bool loaded_ = false;
    uint64_t next_ = 0;
    std::map<std::string, WorkerInfo> loading_;
};

} // namespace shallotdrift::internal
