#pragma once

#include "../Instances/InstancePlanner.h"
#include "../Operators/OperatorRequestHandler.h"
#include "Membership.h"
#include "OperatorCallRouter.h"
#include "PartitionWriter.h"
#include "RecordReader.h"

namespace shallotdrift::internal {

// The one that moves and maintains instances and answers operators: the owner of the fleet's partition. What must
// outlast it are the lists of instances that a wave has maintained, and what operators have changed.
class FleetManager : public std::enable_shared_from_this<FleetManager> {
public:
    struct Callbacks {
        std::function<const std::map<uint64_t, platform::WaveRequest>&()> waves;
        std::function<std::string(const std::string& cordons)>
            applyCordonsLocally; // with the services owned by this process
    };

    FleetManager(NodeContext&, Membership&, uint64_t token, Callbacks, std::function<void()> onFenced);
    ~FleetManager();

    static constexpr uint32_t partition = 0;

    void start();
    void stop();

    // A call of an operator; see OperatorRequestHandler. The reply is empty while the fleet is not known yet, and for a
    // call that does not exist.
    void handleOperatorCall(const std::string& call, const std::string& request, OperatorCallRouter::ReplyCallback);

private:
    void listInstances(const std::string& page);
    void scheduleListing(Milliseconds);
    void exchangeWithOwners();
    void plan();
    void logPools(Instant now);
    void sendOrder(const InstanceOrder&);
    void storeAndSendOrders(const std::vector<InstanceOrder>&);
    void applyOverrides();
    std::vector<StateRecord> takeChangedRecords();
    Milliseconds orderCooldown() const;
    void restoreRecord(const platform::KeyedRecord&);
    void publishWaveStatus();
    void reportFenced(const char* by);

    NodeContext& context_;
    Membership& membership_;
    uint64_t token_;
    Callbacks callbacks_;
    std::function<void()> onFenced_;
    PartitionWriter writer_;
    RecordReader reader_;
    InstancePlanner planner_;
    OperatorRequestHandler operatorRequestHandler_;
    std::vector<std::function<void()>> repliesAfterStore_; // to operators
    asio::steady_timer listTimer_;
    asio::steady_timer exchangeTimer_;
    asio::steady_timer statusTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Instant poolsLoggedAt_ {};
    std::vector<FleetInstance> listing_;
    std::set<uint64_t> unstoredWaves_; // their lists of maintained instances are not stored yet
    std::map<std::string, WallTime> recentOrders_; // instances with recent orders
    std::vector<std::pair<uint64_t, bool>> pendingWaveStatuses_; // not written yet
    bool waveStatusInFlight_ = false;
    bool instancesKnown_ = false;
};

} // namespace shallotdrift::internal
