#pragma once

#include "NodeContext.h"

#include <functional>
#include <set>

namespace shallotdrift::internal {

// Keeps this entry instance in the consumer group to whose members the store assigns the partitions, and keeps the
// owners of all partitions as last read. A reserve, which is an entry instance too small to be an owner under peak
// load, joins only while no regular member responds.
class Membership {
public:
    struct Callbacks {
        std::function<void(uint32_t partition, uint64_t generation)> assigned;
        std::function<void(uint32_t partition)> revoked;
    };

    // Path of requests to other entry instances that only ask for a response, with any status.
    static constexpr char probePath[] = "/alive";

    Membership(NodeContext&, Callbacks);

    void start();
    // Leaves the group on a planned stop, so that the store reassigns the partitions at once. Calls done after the
    // store's response, or after a timeout.
    void leave(std::function<void()> done);
    // To be called when the fencing token for the partition was rejected as too low. Joins again to learn whether the
    // partition is still assigned to this entry instance, and at which generation.
    void onPartitionFenced(uint32_t partition);

    // Gives up all partitions and joins as a new member, which gets a higher fencing token for any partition: orders of
    // the former member that are still under way can then not be mixed up with those of the new one.
    void rejoin();

    // Topic whose partitions hold the state of the jobs and of the fleet.
    static std::string stateTopic();
    const std::string& memberId() const { return groupMember_.member; }
    // Address (IP:port) of the entry instance that owns the partition; empty while it is unknown.
    std::string ownerAddress(uint32_t partition) const;
    // Whether the address (IP:port) is that of this entry instance.
    bool isOwnAddress(const std::string& address) const;
    // Addresses of the entry instances that own partitions as last read, without this one.
    std::vector<std::string> otherOwners() const;
    // Whether this entry instance owns a partition, or is listed as an owner at its address.
    bool isOwner() const;
    // Whether the owners have been read since the start.
    bool ownersKnown() const { return ownersKnown_; }
    // Reads the owners, unless a read is in flight or was begun just before.
    void refreshOwners();

private:
    void join();
    void probeRegularMembers();
    void updateReserve();
    void withdraw(const platform::GroupMember&);
    void yieldToRegularMembers();
    void scheduleJoin(Milliseconds);
    void applyAssignment(const platform::JoinGroupResponse&, bool expired);
    void pollOwners();

    NodeContext& context_;
    Callbacks callbacks_;
    platform::GroupMember groupMember_;
    Milliseconds ownersReadInterval_; // least time between two reads of the owners
    asio::steady_timer joinTimer_;
    asio::steady_timer ownersTimer_;
    std::set<uint32_t> owned_;
    std::map<uint32_t, std::string> owners_; // partition -> member
    Instant ownersRequestedAt_ {};
    bool ownersKnown_ = false;
    bool ownersRequestInFlight_ = false;
    bool leaving_ = false;
    bool participating_ = false; // false on a reserve that has not joined
    Instant regularMemberSeenAt_ {}; // on a reserve: when a regular member last responded
    size_t probeCount_ = 0;
};

} // namespace shallotdrift::internal
