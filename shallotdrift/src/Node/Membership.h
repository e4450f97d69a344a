#pragma once

#include "NodeContext.h"

#include <functional>
#include <set>

namespace shallotdrift::internal {

// This entry instance's place in the group that divides the partitions, and who owns the others. An instance that is
// too small to be an owner in a flood (a reserve) joins only while no other member answers.
class Membership {
public:
    struct Callbacks {
        std::function<void(uint32_t partition, uint64_t generation)> assigned;
        std::function<void(uint32_t partition)> revoked;
    };

    Membership(NodeContext&, Callbacks);

    void start();
    // Hands the partitions over, for a planned stop.
    void leave(std::function<void()> done);
    // The store has refused this process as the owner; its generation is too old.
    void onPartitionFenced(uint32_t partition);

    static std::string stateTopic();
    const std::string& memberId() const { return groupMember_.member; }
    // Address of the entry instance that owns the partition; empty when it is not known.
    std::string ownerAddress(uint32_t partition) const;
    bool ownersKnown() const { return ownersKnown_; }
    void refreshOwners();

private:
    void join();
    void probeRegularMembers();
    void updateReserve();
    void leaveAsReserve();
    void scheduleJoin(Milliseconds);
    void applyAssignment(const platform::JoinGroupResponse&);
    void pollOwners();

    NodeContext& context_;
    Callbacks callbacks_;
    platform::GroupMember groupMember_;
    asio::steady_timer joinTimer_;
    asio::steady_timer ownersTimer_;
    std::set<uint32_t> owned_;
    std::map<uint32_t, std::string> owners_; // partition -> member
    Instant ownersRequestedAt_ {};
    bool ownersKnown_ = false;
    bool ownersRequestInFlight_ = false;
    bool leaving_ = false;
    bool participating_ = false; // takes part in the group
    Instant regularMemberSeenAt_ {}; // reserves: when another member that is no reserve last answered
    size_t probeCount_ = 0;
};

} // namespace shallotdrift::internal
