#include "Membership.h"

#include "../Base/Digest.h"
#include "../Base/Logging.h"

#include <fmt/format.h>
#include <set>

namespace shallotdrift::internal {

static constexpr char groupName[] = "owners";
static constexpr char stateTopic[] = "keyed.jobs";
static constexpr Milliseconds callTime { 600 };
static constexpr Milliseconds retryTime { 250 };
static constexpr Milliseconds ownersInterval { 1500 }; // a change is also found by the first refused request
static constexpr Milliseconds shortestRefresh { 120 };
// A partition changes hands when its old and its new owner have joined again, so the interval is the time for which a
// service stands still at a planned stop. A call counts as a tenth of others.
static constexpr Milliseconds joinInterval { 250 };

// Marks the names of reserves.
static constexpr std::string_view reserveSuffix = ".reserve";
// Without an answer of a primary member for so long, a reserve joins: the time after which the store gives the
// partitions of lost members away, and a probe.
static constexpr Milliseconds primaryPatience { 2500 };
static constexpr Milliseconds probeTime { 400 };
static constexpr Milliseconds probeInterval { 500 }; // while none answers
static constexpr char probeTarget[] = "/alive"; // any answer counts

uint32_t partitionOf(const std::string& service, uint32_t partitions)
{
    // Partition 0 is that of the instances' manager.
    return partitions < 2 ? 0 : 1 + static_cast<uint32_t>(digestOf(service) % (partitions - 1));
}

std::string Membership::topic() { return stateTopic; }

// The address alone would let a restarted process pass for its predecessor and inherit its fencing token.
static std::string memberName(const NodeSettings& settings)
{
    return fmt::format("{}:{}-{:x}{}", settings.ip, settings.firstInternalPort, unixMilliseconds(wallNow()),
        settings.belowOwnershipMinimum() ? reserveSuffix : std::string_view());
}

Membership::Membership(NodeContext& context, Events events)
    : context_(context)
    , events_(std::move(events))
    , membership_ { groupName, memberName(context.settings), { stateTopic }, context.settings.membershipTimeout, 0 }
    , joinTimer_(context.io)
    , ownersTimer_(context.io)
{
}

void Membership::start()
{
    joined_ = !context_.settings.belowOwnershipMinimum();
    primarySeenAt_ = BootClock::now();
    if (joined_)
        join();
    pollOwners();
}

// The part of a member's name before its boot.
static std::string addressOf(const std::string& member) { return member.substr(0, member.rfind('-')); }

static bool isReserve(const std::string& member)
{
    return member.size() > reserveSuffix.size()
        && member.compare(member.size() - reserveSuffix.size(), reserveSuffix.size(), reserveSuffix) == 0;
}

// The store may list members that are gone until another one joins, so reserves ask them in turn.
void Membership::probePrimaries()
{
    std::set<std::string> primaries;
    for (const auto& [partition, member] : owners_)
        if (!isReserve(member))
            primaries.insert(member);
    if (primaries.empty())
        return;
    auto member = *std::next(primaries.begin(), static_cast<std::ptrdiff_t>(probes_++ % primaries.size()));
    context_.peers.send(
        addressOf(member), { "GET", probeTarget, {}, {}, {} }, probeTime, [this](HttpOutcome&& outcome) {
            if (!outcome.hasResponse)
                return;
            primarySeenAt_ = BootClock::now();
            if (joined_ && !leaving_)
                withdraw();
        });
}

void Membership::decideAsReserve()
{
    if (leaving_)
        return;
    probePrimaries();
    if (joined_ || BootClock::now() - primarySeenAt_ < primaryPatience)
        return;
    logger("node")->warn(
        "event=reserve_joins cpu_share={} link_mbps={}", context_.settings.cpuShare, context_.settings.linkMbps);
    joined_ = true;
    join();
}

void Membership::withdraw()
{
    logger("node")->info("event=reserve_withdraws partitions={}", owned_.size());
    joined_ = false;
    joinTimer_.cancel();
    auto owned = std::move(owned_);
    owned_.clear();
    for (uint32_t partition : owned)
        events_.lost(partition);
    context_.store.call(platform::leaveGroupRequest(membership_), callTime, [](const std::optional<HttpMessage>&) {});
}

void Membership::later(Milliseconds time)
{
    joinTimer_.expires_after(time);
    joinTimer_.async_wait([this](std::error_code error) {
        if (!error && !leaving_ && joined_)
            join();
    });
}

void Membership::join()
{
    auto askedAt = BootClock::now();
    context_.store.call(
        platform::joinGroupRequest(membership_), callTime, [this, askedAt](std::optional<HttpMessage> message) {
            if (leaving_ || !joined_)
                return;
            auto answer = message ? platform::parseJoinGroupResponse(*message) : platform::JoinGroupResponse {};
            if (answer.status != platform::StoreStatus::Ok) {
                later(retryTime);
                return;
            }
            context_.membershipConfirmedAt = askedAt;
            take(answer);
        });
}

void Membership::take(const platform::JoinGroupResponse& answer)
{
    bool changed = answer.generation != membership_.generation;
    membership_.generation = answer.generation;
    std::set<uint32_t> now;
    for (const auto& partition : answer.partitions)
        if (partition.topic == stateTopic)
            now.insert(partition.number);
    bool released = false;
    auto before = std::move(owned_);
    owned_ = now;
    for (uint32_t partition : before)
        if (now.count(partition) == 0) {
            released = true;
            events_.lost(partition);
        }
    for (uint32_t partition : now)
        if (before.count(partition) == 0)
            events_.gained(partition, answer.generation);
    if (changed)
        refreshOwners();
    // The next call tells the store that the released partitions may be given away.
    later(released ? Milliseconds { 1 } : joinInterval);
}

void Membership::partitionRefused(uint32_t partition)
{
    owned_.erase(partition); // gained again with the generation of the next answer, if it is still this one's
    later(retryTime);
}

void Membership::leave(std::function<void()> done)
{
    leaving_ = true;
    joinTimer_.cancel();
    context_.store.call(platform::leaveGroupRequest(membership_), callTime,
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
    auto interval = ownersInterval;
    if (context_.settings.belowOwnershipMinimum()) {
        decideAsReserve();
        if (BootClock::now() - primarySeenAt_ > ownersInterval)
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
    if (refreshing_ || now - refreshedAt_ < shortestRefresh)
        return;
    refreshing_ = true;
    refreshedAt_ = now;
    context_.store.call(
        platform::partitionOwnersRequest(groupName), callTime, [this](std::optional<HttpMessage> message) {
            refreshing_ = false;
            auto answer
                = message ? platform::parsePartitionOwnersResponse(*message) : platform::PartitionOwnersResponse {};
            if (answer.status != platform::StoreStatus::Ok)
                return; // the last known owners stand
            owners_.clear();
            for (const auto& owner : answer.owners)
                if (owner.partition.topic == stateTopic)
                    owners_[owner.partition.number] = owner.member;
            ownersKnown_ = ownersKnown_ || !owners_.empty();
        });
}

} // namespace shallotdrift::internal
