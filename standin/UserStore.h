#pragma once

#include "shallotdrift/src/Base/Time.h"
#include "shallotdrift/src/Http/HttpServer.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift::standin {

// Faults of the store, set by tests.
struct StoreFaults {
    bool down = false; // answers 503 to everything
    uint32_t dropResponseEvery = 0; // every so many appends are carried out without an answer; 0: none
};

// Plays the users' store in memory: topics with partitions, keyed topics, producers and groups.
class StoreStandIn {
public:
    explicit StoreStandIn(uint32_t partitions);

    // Answers one call; waiting reads are answered by poll().
    void handle(const HttpMessage&, HttpServer::ResponseCallback);
    // Answers waiting reads whose time has come and lets silent members go.
    void poll(Instant now);

    // Writes of the platform itself, for the registry and the operator.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    StoreFaults& faults() { return faults_; }

private:
    using Query = std::map<std::string, std::string>;
    struct ProducerState {
        uint64_t epoch = 0;
        uint64_t sequence = 0;
        std::deque<std::pair<uint64_t, std::string>> recentResponses; // of the last appends, by sequence
    };
    struct PartitionLog {
        uint64_t firstOffset = 0;
        std::deque<std::string> records;
        std::map<std::string, ProducerState> producers;
        std::map<std::string, std::pair<std::string, uint64_t>> latest; // of keyed topics
        uint64_t endOffset() const { return firstOffset + records.size(); }
    };
    struct Member {
        std::set<std::string> topics;
        Instant expires {};
        Milliseconds timeToLive { 0 };
    };
    using TopicPartition = std::pair<std::string, uint32_t>; // topic, partition
    struct Group {
        uint64_t generation = 0;
        std::map<std::string, Member> members;
        std::map<TopicPartition, std::string> owners;
        std::map<TopicPartition, std::string> targetOwners; // owners after the current ones have let go
    };
    struct PendingRead {
        std::string topic;
        uint32_t part = 0;
        uint64_t from = 0;
        Instant deadline {};
        HttpServer::ResponseCallback respond;
    };

    PartitionLog& partitionLog(const Query&);
    std::string append(PartitionLog&, const std::string& topic, const std::string& body);
    HttpResponse handleAppend(const Query&, const std::string& body);
    HttpResponse checkProducer(PartitionLog&, const Query&, bool& repeated);
    bool tryRead(const PendingRead&, bool last);
    HttpResponse latestRecords(const Query&);
    HttpResponse join(const std::string& body);
    HttpResponse leave(const std::string& body);
    HttpResponse owners(const Query&);
    void rebalance(Group&);

    uint32_t partitions_;
    std::map<std::string, std::vector<PartitionLog>> topics_;
    std::map<std::string, Group> groups_;
    std::vector<PendingRead> pendingReads_;
    StoreFaults faults_;
    uint64_t appends_ = 0;
};

} // namespace shallotdrift::standin
