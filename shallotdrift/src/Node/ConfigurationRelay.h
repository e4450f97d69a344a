#pragma once

#include "../Http/HttpServer.h"
#include "NodeContext.h"

#include <deque>
#include <vector>

namespace shallotdrift::internal {

// The latest value of each key of the operator's records, as far as this entry instance has read them.
struct OperatorRecordCache {
    std::map<std::string, platform::KeyedRecord> records {}; // by key
    uint64_t nextOffset = 0; // of the store's partition; earlier records are in the cache
    uint64_t failedReads = 0; // since the last successful one; 0: the records are known to be recent
};

// What a relay says of the operator's records.
struct RelayedRecords {
    std::vector<platform::KeyedRecord> records {};
    uint64_t nextOffset = 0;
    Milliseconds age { 0 }; // since the relay's records were confirmed, when it responded
    Milliseconds held { 0 }; // for which the relay kept the request waiting
};

// Path of the requests for operator's records between entry instances.
inline constexpr char relayPath[] = "/configuration";

HttpRequest relayedRecordsRequest(uint64_t from);
// Returns nullopt unless the response is complete and readable.
std::optional<RelayedRecords> parseRelayedRecords(const HttpMessage&);

// Passes the operator's records on to entry instances that own nothing, so that the store sends them to few readers
// only. A request waits for a change, for a limited time. Readers beyond the memory that their responses may take are
// refused, and ask elsewhere.
class ConfigurationRelay {
public:
    // Time for which a request waits for a change. A reader notices within it that its relay no longer hears the store.
    static constexpr Milliseconds holdTime { 500 };

    // Calls `renew` when a request arrives and the records have not been confirmed for a while.
    ConfigurationRelay(NodeContext&, const OperatorRecordCache&, std::function<void()> renew);

    static bool isRelayRequest(const HttpMessage& head);
    void handle(const HttpMessage&, HttpServer::ResponseCallback);
    // To be called when the records have changed, or can no longer be confirmed.
    void onChange();
    // Whether other entry instances have asked for records recently.
    bool inUse(Instant now) const { return now < inUseUntil_; }

private:
    struct WaitingReader {
        uint64_t from;
        Instant arrivedAt;
        HttpServer::ResponseCallback respond;
    };

    size_t maximumReaders() const;
    bool tryRespond(const WaitingReader&, Instant now);
    const std::string& encodedSince(uint64_t from);
    void awaitHoldEnd();

    NodeContext& context_;
    const OperatorRecordCache& cache_;
    std::function<void()> renew_;
    asio::steady_timer timer_;
    std::deque<WaitingReader> waiting_; // in the order of their arrival
    // The last body that was encoded, and its first offset: readers wait for the same change. Reset by each change.
    std::optional<uint64_t> encodedFrom_ {};
    std::string encoded_;
    Instant inUseUntil_ {};
};

} // namespace shallotdrift::internal
