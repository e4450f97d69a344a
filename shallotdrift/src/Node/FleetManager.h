#pragma once

#include "../Instances/InstancePlanner.h"
#include "../Operators/OperatorRequestHandler.h"
#include "Membership.h"
#include "OperatorLink.h"
#include "PartitionWriter.h"
#include "RecordReader.h"

namespace shallotdrift::internal {

// The one that moves and maintains instances and answers operators: the owner of the fleet's partition. What must
// outlast it are the lists of instances that a wave has maintained, and what operators have changed.
class FleetManager : public std::enable_shared_from_this<FleetManager> {
public:
    struct Links {
        std::function<const std::map<uint64_t, platform::WaveRequest>&()> waves;
        std::function<std::string(const std::string& cordons)> exchangeHere; // with the services owned by this process
    };

    FleetManager(NodeContext&, Membership&, uint64_t token, Links, std::function<void()> onRefused);
    ~FleetManager();

    static constexpr uint32_t partition = 0;

    void start();
    void stop();

    // A call of an operator; see OperatorRequestHandler. The reply is empty while the fleet is not known yet, and for a
    // call that does not exist.
    void operate(const std::string& call, const std::string& request, OperatorLink::Reply);

private:
    void poll(const std::string& page);
    void pollLater(Milliseconds);
    void exchange();
    void plan();
    void logPools(Instant now);
    void order(const InstanceOrder&);
    void giveOrders(const std::vector<InstanceOrder>&);
    void followDirectives();
    std::vector<StateRecord> changedRecords();
    Milliseconds restAfterOrder() const;
    void readRecord(const platform::KeyedRecord&);
    void announce();
    void refused(const char* by);

    NodeContext& context_;
    Membership& membership_;
    uint64_t token_;
    Links links_;
    std::function<void()> onRefused_;
    PartitionWriter writer_;
    RecordReader reader_;
    InstancePlanner planner_;
    OperatorRequestHandler desk_;
    std::vector<std::function<void()>> repliesAfterStore_; // to operators
    asio::steady_timer pollTimer_;
    asio::steady_timer exchangeTimer_;
    asio::steady_timer statusTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Instant loggedAt_ {};
    std::vector<FleetInstance> page_;
    std::set<uint64_t> changedWaves_; // their lists of maintained instances are not stored yet
    std::map<std::string, WallTime> ordered_; // instances with recent orders
    std::vector<std::pair<uint64_t, bool>> statuses_; // not written yet
    bool statusOnWay_ = false;
    bool listed_ = false;
};

} // namespace shallotdrift::internal
