#include "Membership.h"

#include "../Base/Hash.h"
#include "../Base/Logging.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace shallotdrift::internal {

static constexpr char groupName[] = "owners";
static constexpr char stateTopicName[] = "keyed.jobs";
static constexpr Milliseconds requestTimeout { 600 };
static constexpr Milliseconds retryDelay { 250 };
static constexpr Milliseconds ownersReadInterval { 1500 }; // a failed request to an owner triggers a read, too
static constexpr Milliseconds minimumOwnersReadInterval { 120 };
// While the store refuses reads beyond its limit, which is one for all entry instances and all kinds of reads.
static constexpr Milliseconds maximumOwnersReadInterval { 800 };
static constexpr int intervalGrowth = 2; // factor for each read that is refused so; each success takes a quarter off
// A partition is handed over when its old and its new owner have joined again, so a planned stop interrupts a service
// for up to this time. The store's request limit counts a join as a tenth of a request.
static constexpr Milliseconds joinInterval { 250 };

// Marks the member ids of reserves.
static constexpr std::string_view reserveSuffix = ".reserve";
// A reserve joins when no regular member has responded for this time: the time after which the store reassigns the
// partitions of lost members, plus one probe.
static constexpr Milliseconds regularMemberTimeout { 2500 };
static constexpr Milliseconds probeTimeout { 400 };
static constexpr Milliseconds probeInterval { 500 }; // while no regular member responds

uint32_t partitionOf(const std::string& service, uint32_t partitions)
{
    // Partition 0 is the fleet manager's.
    return partitions < 2 ? 0 : 1 + static_cast<uint32_t>(hash64(service) % (partitions - 1));
}

std::string Membership::stateTopic() { return stateTopicName; }

// The start time makes the id unique for each incarnation. With the address alone a restarted process would be taken
// for its predecessor and inherit its fencing token.
static std::string makeMemberId(const NodeSettings& settings)
{
    return fmt::format("{}:{}-{:x}{}", settings.ip, settings.firstInternalPort, unixMilliseconds(wallNow()),
        settings.belowOwnershipMinimum() ? reserveSuffix : std::string_view());
}

Membership::Membership(NodeContext& context, Callbacks callbacks)
    : context_(context)
    , callbacks_(std::move(callbacks))
    , groupMember_ { groupName, makeMemberId(context.settings), { stateTopicName }, context.settings.membershipTimeout,
        0 }
    , ownersReadInterval_(minimumOwnersReadInterval)
    , joinTimer_(context.io)
    , ownersTimer_(context.io)
{
}

void Membership::start()
{
    participating_ = !context_.settings.belowOwnershipMinimum();
    regularMemberSeenAt_ = BootClock::now();
    if (participating_)
        join();
    pollOwners();
}

// Returns the part of a member id before the start time, which is the address.
static std::string addressOf(const std::string& member) { return member.substr(0, member.rfind('-')); }

static bool isReserveMember(const std::string& member)
{
    return member.size() > reserveSuffix.size()
        && member.compare(member.size() - reserveSuffix.size(), reserveSuffix.size(), reserveSuffix) == 0;
}

// The store may list lost members until another member joins, so a reserve probes the listed members itself, in turn.
void Membership::probeRegularMembers()
{
    std::set<std::string> regularMembers;
    for (const auto& [partition, member] : owners_)
        if (!isReserveMember(member))
            regularMembers.insert(member);
    if (regularMembers.empty())
        return;
    auto member
        = *std::next(regularMembers.begin(), static_cast<std::ptrdiff_t>(probeCount_++ % regularMembers.size()));
    context_.peerClient.send(
        addressOf(member), { "GET", probePath, {}, {}, {} }, probeTimeout, [this](HttpOutcome&& outcome) {
            if (!outcome.hasResponse)
                return;
            regularMemberSeenAt_ = BootClock::now();
            if (participating_ && !leaving_)
                yieldToRegularMembers();
        });
}

void Membership::updateReserve()
{
    if (leaving_)
        return;
    probeRegularMembers();
    if (participating_ || BootClock::now() - regularMemberSeenAt_ < regularMemberTimeout)
        return;
    logger("node")->warn(
        "event=reserve_joined cpu_share={} link_mbps={}", context_.settings.cpuShare, context_.settings.linkMbps);
    participating_ = true;
    join();
}

// Gives up all partitions and takes the member out of the group.
void Membership::withdraw(const platform::GroupMember& member)
{
    auto owned = std::move(owned_);
    owned_.clear();
    for (uint32_t partition : owned)
        callbacks_.revoked(partition);
    context_.store.send(platform::leaveGroupRequest(member), requestTimeout, [](const std::optional<HttpMessage>&) {});
}

void Membership::yieldToRegularMembers()
{
    logger("node")->info("event=reserve_left partitions={}", owned_.size());
    participating_ = false;
    joinTimer_.cancel();
    withdraw(groupMember_);
}

void Membership::rejoin()
{
    auto former = groupMember_;
    groupMember_.member = makeMemberId(context_.settings);
    groupMember_.generation = 0;
    context_.membershipLease.confirmedAt = {};
    logger("node")->warn("event=rejoin member={} partitions={}", groupMember_.member, owned_.size());
    withdraw(former);
    if (participating_)
        scheduleJoin(retryDelay);
}

void Membership::scheduleJoin(Milliseconds time)
{
    joinTimer_.expires_after(time);
    joinTimer_.async_wait([this](std::error_code error) {
        if (!error && !leaving_ && participating_)
            join();
    });
}

void Membership::join()
{
    auto sentAt = BootClock::now();
    context_.store.send(platform::joinGroupRequest(groupMember_), requestTimeout,
        [this, sentAt, member = groupMember_.member](std::optional<HttpMessage> message) {
            if (leaving_ || !participating_ || member != groupMember_.member)
                return;
            auto response = message ? platform::parseJoinGroupResponse(*message) : platform::JoinGroupResponse {};
            if (response.status != platform::StoreStatus::Ok) {
                scheduleJoin(retryDelay);
                return;
            }
            bool expired = !context_.membershipLease.valid(BootClock::now());
            context_.membershipLease = { sentAt, groupMember_.timeToLive };
            applyAssignment(response, expired);
        });
}

// After the membership has expired, a join whose response was lost may have assigned partitions again that another
// member owned in between. They are given up and taken over again, since their state may have changed. The generation
// shows whether there was any change.
void Membership::applyAssignment(const platform::JoinGroupResponse& response, bool expired)
{
    bool changed = response.generation != groupMember_.generation;
    bool othersMayHaveOwned = changed && expired;
    groupMember_.generation = response.generation;
    std::set<uint32_t> assigned;
    for (const auto& partition : response.partitions)
        if (partition.topic == stateTopicName)
            assigned.insert(partition.number);
    bool anyRevoked = false;
    auto previous = std::move(owned_);
    owned_ = assigned;
    if (othersMayHaveOwned && !previous.empty())
        logger("node")->warn(
            "event=membership_expired generation={} partitions={}", response.generation, previous.size());
    for (uint32_t partition : previous)
        if (othersMayHaveOwned || assigned.count(partition) == 0) {
            anyRevoked = true;
            callbacks_.revoked(partition);
        }
    for (uint32_t partition : assigned)
        if (othersMayHaveOwned || previous.count(partition) == 0)
            callbacks_.assigned(partition, response.generation);
    if (changed)
        refreshOwners();
    // The next join tells the store that the revoked partitions may be reassigned.
    scheduleJoin(anyRevoked ? Milliseconds { 1 } : joinInterval);
}

void Membership::onPartitionFenced(uint32_t partition)
{
    // If the partition is still assigned to this entry instance, the next join response assigns it again, with the
    // generation of that response.
    owned_.erase(partition);
    scheduleJoin(retryDelay);
}

void Membership::leave(std::function<void()> done)
{
    leaving_ = true;
    joinTimer_.cancel();
    context_.store.send(platform::leaveGroupRequest(groupMember_), requestTimeout,
        [done = std::move(done)](const std::optional<HttpMessage>&) { done(); });
}

std::string Membership::ownerAddress(uint32_t partition) const
{
    auto found = owners_.find(partition);
    return found == owners_.end() ? std::string() : addressOf(found->second);
}

bool Membership::isOwnAddress(const std::string& address) const { return address == addressOf(groupMember_.member); }

std::vector<std::string> Membership::otherOwners() const
{
    std::set<std::string> addresses;
    for (const auto& [partition, member] : owners_)
        if (auto address = addressOf(member); !isOwnAddress(address))
            addresses.insert(std::move(address));
    return { addresses.begin(), addresses.end() };
}

bool Membership::isOwner() const
{
    return !owned_.empty() || std::any_of(owners_.begin(), owners_.end(), [this](const auto& entry) {
        return isOwnAddress(addressOf(entry.second));
    });
}

void Membership::pollOwners()
{
    refreshOwners();
    auto interval = ownersReadInterval;
    if (context_.settings.belowOwnershipMinimum()) {
        updateReserve();
        if (BootClock::now() - regularMemberSeenAt_ > ownersReadInterval)
            interval = probeInterval;
    }
    ownersTimer_.expires_after(interval);
    ownersTimer_.async_wait([this](std::error_code error) {
        if (!error)
            pollOwners();
    });
}

void Membership::refreshOwners()
{
    auto now = BootClock::now();
    if (ownersRequestInFlight_ || now - ownersRequestedAt_ < ownersReadInterval_)
        return;
    ownersRequestInFlight_ = true;
    ownersRequestedAt_ = now;
    context_.store.send(
        platform::partitionOwnersRequest(groupName), requestTimeout, [this](std::optional<HttpMessage> message) {
            ownersRequestInFlight_ = false;
            auto response
                = message ? platform::parsePartitionOwnersResponse(*message) : platform::PartitionOwnersResponse {};
            bool read = response.status == platform::StoreStatus::Ok;
            bool limited = response.status == platform::StoreStatus::RateLimited;
            if (read || limited)
                ownersReadInterval_
                    = std::clamp(read ? ownersReadInterval_ * 3 / 4 : ownersReadInterval_ * intervalGrowth,
                        minimumOwnersReadInterval, maximumOwnersReadInterval);
            if (!read)
                return; // the last known owners stay
            owners_.clear();
            for (const auto& owner : response.owners)
                if (owner.partition.topic == stateTopicName)
                    owners_[owner.partition.number] = owner.member;
            ownersKnown_ = ownersKnown_ || !owners_.empty();
        });
}

} // namespace shallotdrift::internal
