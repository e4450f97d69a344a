#pragma once

#include "ConfigurationRelay.h"
#include "Membership.h"
#include "NodeContext.h"
#include "RecordReader.h"
#include "RelaySelection.h"

#include <functional>
#include <set>

namespace shallotdrift::internal {

// Keeps the configuration and the maintenance waves up to date with the operator's records. Owners of partitions read
// them from the store; other entry instances read them from an owner, and from the store when that fails.
class ConfigurationWatcher {
public:
    ConfigurationWatcher(NodeContext&, Membership&, std::function<void()> onConfiguration);

    void start();
    // Returns the requested waves by wave number.
    const std::map<uint64_t, platform::WaveRequest>& waves() const { return waves_; }
    // Passes the records on to other entry instances.
    ConfigurationRelay& relay() { return relay_; }

private:
    void read();
    void readAfter(Milliseconds);
    bool awaitsOwners();
    void readSnapshot();
    using StoreHandler = std::function<void(const platform::ReadRecordsResponse&, unsigned status, Instant sentAt)>;
    void readStore(Milliseconds wait, StoreHandler);
    void renewConfirmation();
    void onStoreResponse(const platform::ReadRecordsResponse&, unsigned status, Instant sentAt);
    void readRelay(const std::string& address);
    void onRelayResponse(const std::string& address, Instant sentAt, const HttpOutcome&);
    Milliseconds readWait() const;
    void confirm(Instant readAt);
    void apply(const platform::KeyedRecord&);
    bool applyWave(const platform::KeyedRecord&);
    bool applyConfiguration(const platform::KeyedRecord&);
    void onReadFailed(unsigned status);
    void onRead();

    NodeContext& context_;
    Membership& membership_;
    std::function<void()> onConfiguration_;
    RecordReader reader_;
    asio::steady_timer timer_;
    OperatorRecordCache cache_;
    ConfigurationRelay relay_;
    RelaySelection relays_;
    bool snapshotDue_ = true; // the records have to be read anew, since the store has removed earlier ones
    bool renewing_ = false; // a read that renews the confirmation is in flight
    Instant startedAt_ {};
    Instant snapshotBegunAt_ {};
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
