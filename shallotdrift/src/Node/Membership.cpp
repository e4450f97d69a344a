#include "Membership.h"

#include "../Base/Hash.h"
#include "../Base/Logging.h"

#include <fmt/format.h>
#include <set>

namespace shallotdrift::internal {

static constexpr char groupName[] = "owners";
static constexpr char stateTopicName[] = "keyed.jobs";
static constexpr Milliseconds requestTimeout { 600 };
static constexpr Milliseconds retryDelay { 250 };
static constexpr Milliseconds ownersReadInterval { 1500 }; // a change is also found by the first refused request
static constexpr Milliseconds minimumOwnersReadInterval { 120 };
// A partition changes hands when its old and its new owner have joined again, so the interval is the time for which a
// service stands still at a planned stop. A call counts as a tenth of others.
static constexpr Milliseconds joinInterval { 250 };

// Marks the names of reserves.
static constexpr std::string_view reserveSuffix = ".reserve";
// Without an answer of a primary member for so long, a reserve joins: the time after which the store gives the
// partitions of lost members away, and a probe.
static constexpr Milliseconds regularMemberTimeout { 2500 };
static constexpr Milliseconds probeTimeout { 400 };
static constexpr Milliseconds probeInterval { 500 }; // while none answers
static constexpr char probePath[] = "/alive"; // any answer counts

uint32_t partitionOf(const std::string& service, uint32_t partitions)
{
    // Partition 0 is that of the instances' manager.
    return partitions < 2 ? 0 : 1 + static_cast<uint32_t>(hash64(service) % (partitions - 1));
}

std::string Membership::stateTopic() { return stateTopicName; }

// The address alone would let a restarted process pass for its predecessor and inherit its fencing token.
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

// The part of a member's name before its boot.
static std::string addressOf(const std::string& member) { return member.substr(0, member.rfind('-')); }

static bool isReserveMember(const std::string& member)
{
    return member.size() > reserveSuffix.size()
        && member.compare(member.size() - reserveSuffix.size(), reserveSuffix.size(), reserveSuffix) == 0;
}

// The store may list members that are gone until another one joins, so reserves ask them in turn.
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
                leaveAsReserve();
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
        "event=reserve_joins cpu_share={} link_mbps={}", context_.settings.cpuShare, context_.settings.linkMbps);
    participating_ = true;
    join();
}

void Membership::leaveAsReserve()
{
    logger("node")->info("event=reserve_withdraws partitions={}", owned_.size());
    participating_ = false;
    joinTimer_.cancel();
    auto owned = std::move(owned_);
    owned_.clear();
    for (uint32_t partition : owned)
        callbacks_.revoked(partition);
    context_.store.send(
        platform::leaveGroupRequest(groupMember_), requestTimeout, [](const std::optional<HttpMessage>&) {});
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
    auto askedAt = BootClock::now();
    context_.store.send(
        platform::joinGroupRequest(groupMember_), requestTimeout, [this, askedAt](std::optional<HttpMessage> message) {
            if (leaving_ || !participating_)
                return;
            auto answer = message ? platform::parseJoinGroupResponse(*message) : platform::JoinGroupResponse {};
            if (answer.status != platform::StoreStatus::Ok) {
                scheduleJoin(retryDelay);
                return;
            }
            context_.membershipConfirmedAt = askedAt;
            applyAssignment(answer);
        });
}

void Membership::applyAssignment(const platform::JoinGroupResponse& answer)
{
    bool changed = answer.generation != groupMember_.generation;
    groupMember_.generation = answer.generation;
    std::set<uint32_t> now;
    for (const auto& partition : answer.partitions)
        if (partition.topic == stateTopicName)
            now.insert(partition.number);
    bool released = false;
    auto before = std::move(owned_);
    owned_ = now;
    for (uint32_t partition : before)
        if (now.count(partition) == 0) {
            released = true;
            callbacks_.revoked(partition);
        }
    for (uint32_t partition : now)
        if (before.count(partition) == 0)
            callbacks_.assigned(partition, answer.generation);
    if (changed)
        refreshOwners();
    // The next call tells the store that the released partitions may be given away.
    scheduleJoin(released ? Milliseconds { 1 } : joinInterval);
}

void Membership::onPartitionFenced(uint32_t partition)
{
    owned_.erase(partition); // gained again with the generation of the next answer, if it is still this one's
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
    if (ownersRequestInFlight_ || now - ownersRequestedAt_ < minimumOwnersReadInterval)
        return;
    ownersRequestInFlight_ = true;
    ownersRequestedAt_ = now;
    context_.store.send(
        platform::partitionOwnersRequest(groupName), requestTimeout, [this](std::optional<HttpMessage> message) {
            ownersRequestInFlight_ = false;
            auto answer
                = message ? platform::parsePartitionOwnersResponse(*message) : platform::PartitionOwnersResponse {};
            if (answer.status != platform::StoreStatus::Ok)
                return; // the last known owners stand
            owners_.clear();
            for (const auto& owner : answer.owners)
                if (owner.partition.topic == stateTopicName)
                    owners_[owner.partition.number] = owner.member;
            ownersKnown_ = ownersKnown_ || !owners_.empty();
        });
}

} // namespace shallotdrift::internal
