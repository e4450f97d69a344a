#pragma once

#include "shallotdrift/src/Base/Time.h"
#include "shallotdrift/src/Http/HttpServer.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift::standin {

// Faults that a test injects.
struct StoreFaults {
    bool down = false; // responds 503 to every request
    uint32_t dropResponseEvery = 0; // every Nth append takes effect but gets no response; 0: each gets one
};

// Larger appends are rejected with 400.
struct StoreLimits {
    size_t recordBytes = 262144; // content of a record, without its length
    size_t requestBytes = 2097152;
    size_t readBytesPerSecond = 0; // of all reads together, which share it evenly; 0: no limit
};

// In-memory stand-in for the platform's store: partitioned topics, keyed topics, producers and consumer groups.
class StoreStandIn {
public:
    explicit StoreStandIn(uint32_t partitions);

    // Handles one request. poll() later responds to reads that wait for records.
    void handle(const HttpMessage&, HttpServer::ResponseCallback);
    // Responds to pending reads that have records or whose wait is over, and removes expired members from their groups.
    void poll(Instant now);

    // Appends a keyed record, as the platform itself does with registry entries and the operator's records.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    StoreFaults& faults() { return faults_; }
    StoreLimits& limits() { return limits_; }

private:
    using Query = std::map<std::string, std::string>;
    struct ProducerState {
        uint64_t epoch = 0;
        uint64_t sequence = 0;
        std::deque<std::pair<uint64_t, std::string>> recentResponses; // sequence and response of recent appends
    };
    struct PartitionLog {
        uint64_t firstOffset = 0;
        std::deque<std::string> records;
        std::map<std::string, ProducerState> producers;
        std::map<std::string, std::pair<std::string, uint64_t>> latest; // only keyed topics: key -> value, offset
        uint64_t endOffset() const { return firstOffset + records.size(); }
    };
    struct Member {
        std::set<std::string> topics;
        Instant expires {};
        Milliseconds timeToLive { 0 };
    };
    using TopicPartition = std::pair<std::string, uint32_t>; // topic, partition number
    struct Group {
        uint64_t generation = 0;
        std::map<std::string, Member> members;
        std::map<TopicPartition, std::string> owners;
        // The owners after the rebalance. Each becomes the owner once the current owner has released the partition.
        std::map<TopicPartition, std::string> targetOwners;
    };
    struct PendingRead {
        std::string topic;
        uint32_t part = 0;
        uint64_t from = 0;
        Instant deadline {};
        HttpServer::ResponseCallback respond;
    };

    // A response to a read that has not been transferred in full. It takes its share of the bandwidth even if the
    // reader has closed the connection.
    struct Transfer {
        double remainingBytes;
        HttpResponse response;
        HttpServer::ResponseCallback respond;
    };

    void sendRead(HttpResponse&&, const HttpServer::ResponseCallback&);
    void advanceTransfers(Instant now);
    PartitionLog& partitionLog(const Query&);
    std::string append(PartitionLog&, const std::string& topic, const std::string& body);
    bool withinLimits(std::string_view body) const;
    HttpResponse handleAppend(const Query&, const std::string& body);
    HttpResponse checkProducer(PartitionLog&, const Query&, bool& repeated);
    bool tryRead(const PendingRead&, bool deadlineReached);
    HttpResponse latestRecords(const Query&);
    HttpResponse join(const std::string& body);
    HttpResponse leave(const std::string& body);
    HttpResponse owners(const Query&);
    void rebalance(Group&);

    uint32_t partitions_;
    std::map<std::string, std::vector<PartitionLog>> topics_;
    std::map<std::string, Group> groups_;
    std::vector<PendingRead> pendingReads_;
    std::vector<Transfer> transfers_;
    Instant transfersAdvancedAt_ {};
    StoreFaults faults_;
    StoreLimits limits_;
    uint64_t appends_ = 0;
};

} // namespace shallotdrift::standin
