#pragma once

#include "../Accounts/QuotaAllocator.h"
#include "../Instances/InstancePlanner.h"
#include "../Operators/OperatorRequestHandler.h"
#include "FleetProtocol.h"
#include "Membership.h"
#include "OperatorCallRouter.h"
#include "PartitionWriter.h"
#include "RecentOrders.h"
#include "RecordReader.h"

#include <nlohmann/json_fwd.hpp>

namespace shallotdrift::internal {

// Moves instances between pools, runs their maintenance and handles operators' calls. Only the owner of the fleet's
// partition runs a fleet manager. The manager stores in this partition what its successor needs: recent orders, the
// instances that each wave has maintained, and the operators' changes.
class FleetManager : public std::enable_shared_from_this<FleetManager> {
public:
    struct Callbacks {
        std::function<const std::map<uint64_t, platform::WaveRequest>&()> waves;
        // Applies encoded cordons to the services that this entry instance owns; returns the encoded pool reports.
        std::function<std::string(const std::string& cordons)> applyCordonsLocally;
    };

    FleetManager(NodeContext&, Membership&, uint64_t fencingToken, Callbacks, std::function<void()> onFenced);
    ~FleetManager();

    static constexpr uint32_t partition = 0; // stores the state of the fleet

    // Fences the earlier manager, reads its records, and then begins to plan.
    void start();
    // Stops all work: afterwards no record is written and no order is sent.
    void stop();

    // Handles an operator's call. Replies to a change once its records are stored. Replies nullopt while the instances
    // or the configuration are not known yet, and to an unknown or unreadable call.
    void handleOperatorCall(const std::string& call, const std::string& request, OperatorCallRouter::ReplyCallback);

private:
    void listInstances(const std::string& pageToken);
    void scheduleListing(Milliseconds);
    void exchangeWithOwners();
    std::optional<QuotaMessage> quotaMessage();
    void applyReports(OwnerReports&&);
    void plan();
    void logPools(Instant now);
    void sendOrder(const InstanceOrder&);
    void storeAndSendOrders(const std::vector<InstanceOrder>&);
    void applyOverrides();
    std::vector<StateRecord> takeChangedRecords();
    void addOpenOrders(std::vector<StateRecord>&, bool newOrders);
    void restoreOpenOrders(const nlohmann::json& record);
    Milliseconds orderCooldown() const;
    void restoreRecord(const platform::KeyedRecord&);
    void publishWaveStatus();
    void reportFenced(const char* by);

    NodeContext& context_;
    Membership& membership_;
    uint64_t fencingToken_;
    Callbacks callbacks_;
    std::function<void()> onFenced_;
    PartitionWriter writer_;
    RecordReader reader_;
    InstancePlanner planner_;
    QuotaAllocator quotaAllocator_;
    OperatorRequestHandler operatorRequestHandler_;
    std::vector<std::function<void()>> repliesAfterStore_; // to operators; sent when the next append is stored
    asio::steady_timer listTimer_;
    asio::steady_timer exchangeTimer_;
    asio::steady_timer statusTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Instant poolsLoggedAt_ {};
    std::vector<FleetInstance> listing_; // instances of the pages read so far
    std::set<uint64_t> unstoredWaves_; // waves with maintained instances that are not stored yet
    RecentOrders recentOrders_;
    std::string openOrdersRecord_; // as last written
    Instant openOrdersWrittenAt_ {};
    std::vector<std::pair<uint64_t, bool>> pendingWaveStatuses_; // {wave number, whether completed}, published in order
    bool waveStatusInFlight_ = false;
    bool instancesKnown_ = false;
};

} // namespace shallotdrift::internal
