#pragma once

#include "NodeContext.h"

#include <functional>

namespace shallotdrift::internal {

// Keeps the configuration and the maintenance waves up to date with the operator's records in the store.
class ConfigurationWatcher {
public:
    ConfigurationWatcher(NodeContext&, std::function<void()> onConfiguration);

    void start();
    // Returns the requested waves by wave number.
    const std::map<uint64_t, platform::WaveRequest>& waves() const { return waves_; }

private:
    void readSnapshot(const std::string& after);
    void watch();
    void retry(bool restart);
    void apply(const platform::KeyedRecord&);

    NodeContext& context_;
    std::function<void()> onConfiguration_;
    asio::steady_timer timer_;
    uint64_t nextOffset_ = 0;
    std::map<uint64_t, platform::WaveRequest> waves_;
};

// Keeps NodeContext::workerRegistry up to date with the registry in the store.
class RegistryWatcher {
public:
    RegistryWatcher(NodeContext&, std::function<void()> onChange);

    // The registry is read only while enabled, since it changes often: every worker repeats its entry.
    void setEnabled(bool);
    bool loaded() const { return loaded_; }

private:
    void readSnapshot(const std::string& after);
    void readChanges();
    void scheduleRead(Milliseconds);
    bool apply(const platform::KeyedRecord&);

    NodeContext& context_;
    std::function<void()> onChange_;
    asio::steady_timer timer_;
    bool enabled_ = false;
    bool running_ = false;
    bool loaded_ = false;
    uint64_t nextOffset_ = 0;
    std::map<std::string, WorkerInfo> snapshot_;
};

} // namespace shallotdrift::internal
