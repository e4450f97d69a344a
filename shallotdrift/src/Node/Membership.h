#pragma once

#include "NodeContext.h"

#include <functional>
#include <set>

namespace shallotdrift::internal {

// This entry instance's place in the group that divides the partitions, and who owns the others. An instance that is
// too small to be an owner in a flood (a reserve) joins only while no other member answers.
class Membership {
public:
    struct Events {
        std::function<void(uint32_t partition, uint64_t generation)> gained;
        std::function<void(uint32_t partition)> lost;
    };

    Membership(NodeContext&, Events);

    void start();
    // Hands the partitions over, for a planned stop.
    void leave(std::function<void()> done);
    // The store has refused this process as the owner; its generation is too old.
    void partitionRefused(uint32_t partition);

    static std::string topic();
    const std::string& member() const { return membership_.member; }
    // Address of the entry instance that owns the partition; empty when it is not known.
    std::string ownerAddress(uint32_t partition) const;
    bool ownersKnown() const { return ownersKnown_; }
    void refreshOwners();

private:
    void join();
    void probePrimaries();
    void decideAsReserve();
    void withdraw();
    void later(Milliseconds);
    void take(const platform::JoinGroupResponse&);
    void pollOwners();

    NodeContext& context_;
    Events events_;
    platform::GroupMember membership_;
    asio::steady_timer joinTimer_;
    asio::steady_timer ownersTimer_;
    std::set<uint32_t> owned_;
    std::map<uint32_t, std::string> owners_; // partition -> member
    Instant refreshedAt_ {};
    bool ownersKnown_ = false;
    bool refreshing_ = false;
    bool leaving_ = false;
    bool joined_ = false; // takes part in the group
    Instant primarySeenAt_ {}; // reserves: when another member that is no reserve last answered
    size_t probes_ = 0;
};

} // namespace shallotdrift::internal
