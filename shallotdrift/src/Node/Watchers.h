#pragma once

#include "NodeContext.h"
#include "RecordReader.h"

#include <functional>
#include <set>

namespace shallotdrift::internal {

// Keeps the configuration and the maintenance waves up to date with the operator's records in the store.
class ConfigurationWatcher {
public:
    ConfigurationWatcher(NodeContext&, std::function<void()> onConfiguration);

    void start();
    // Returns the requested waves by wave number.
    const std::map<uint64_t, platform::WaveRequest>& waves() const { return waves_; }

private:
    void watch();
    void retry(bool restart);
    void readSnapshot();
    Milliseconds readWait() const;
    void confirm(Instant readAt);
    void apply(const platform::KeyedRecord&);
    void onReadFailed(unsigned status);
    void onRead();
    Milliseconds unconfirmedTime() const;

    NodeContext& context_;
    std::function<void()> onConfiguration_;
    RecordReader reader_;
    asio::steady_timer timer_;
    uint64_t nextOffset_ = 0;
    Instant snapshotBegunAt_ {};
    uint64_t failedReads_ = 0; // since the last successful one
    std::map<uint64_t, platform::WaveRequest> waves_;
};

// Keeps NodeContext::workerRegistry up to date with the registry in the store.
class RegistryWatcher {
public:
    RegistryWatcher(NodeContext&, std::function<void()> onChange);

    // The registry is read only while enabled, since it changes often: every worker repeats its entry. While disabled
    // it is empty, so that a later owner on this entry instance uses no worker that has left meanwhile.
    void setEnabled(bool);

private:
    void readSnapshot();
    void onSnapshot(uint64_t endOffset);
    void readChanges();
    void scheduleRead(Milliseconds);
    bool apply(const platform::KeyedRecord&, std::map<std::string, WorkerInfo>& registry);
    void logRejected(const platform::KeyedRecord&);

    NodeContext& context_;
    std::function<void()> onChange_;
    asio::steady_timer timer_;
    std::shared_ptr<bool> enabled_ = std::make_shared<bool>(false); // replaced when disabled: drops late responses
    std::unique_ptr<RecordReader> reader_; // of the snapshot
    bool loaded_ = false;
    uint64_t nextOffset_ = 0;
    std::map<std::string, WorkerInfo> snapshot_;
    std::set<std::string> rejectedKeys_; // logged; bounded
};

} // namespace shallotdrift::internal
