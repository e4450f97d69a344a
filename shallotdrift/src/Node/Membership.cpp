#include "Membership.h"

#include "../Base/Digest.h"
#include "../Base/Logging.h"

#include <fmt/format.h>

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

uint32_t partitionOf(const std::string& service, uint32_t partitions)
{
    // Partition 0 is that of the instances' manager.
    return partitions < 2 ? 0 : 1 + static_cast<uint32_t>(digestOf(service) % (partitions - 1));
}

std::string Membership::topic() { return stateTopic; }

// The address alone would let a restarted process pass for its predecessor and inherit its fencing token.
static std::string memberName(const NodeSettings& settings)
{
    return fmt::format("{}:{}-{:x}", settings.ip, settings.firstInternalPort, unixMilliseconds(wallNow()));
}

Membership::Membership(NodeContext& context, Events events)
    : context_(context)
    , events_(std::move(events))
    , membership_ { groupName, memberName(context.settings), { stateTopic }, context.settings.membershipTime, 0 }
    , joinTimer_(context.io)
    , ownersTimer_(context.io)
{
}

void Membership::start()
{
    join();
    pollOwners();
}

void Membership::later(Milliseconds time)
{
    joinTimer_.expires_after(time);
    joinTimer_.async_wait([this](std::error_code error) {
        if (!error && !leaving_)
            join();
    });
}

void Membership::join()
{
    auto askedAt = BootClock::now();
    context_.store.call(platform::joinCall(membership_), callTime, [this, askedAt](std::optional<HttpMessage> message) {
        if (leaving_)
            return;
        auto answer = message ? platform::readJoin(*message) : platform::JoinAnswer {};
        if (answer.status != platform::StoreStatus::Ok) {
            later(retryTime);
            return;
        }
        context_.membershipConfirmedAt = askedAt;
        take(answer);
    });
}

void Membership::take(const platform::JoinAnswer& answer)
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
    context_.store.call(platform::leaveCall(membership_), callTime,
        [done = std::move(done)](const std::optional<HttpMessage>&) { done(); });
}

std::string Membership::ownerAddress(uint32_t partition) const
{
    auto found = owners_.find(partition);
    return found == owners_.end() ? std::string() : found->second.substr(0, found->second.rfind('-'));
}

void Membership::pollOwners()
{
    refreshOwners();
    ownersTimer_.expires_after(ownersInterval);
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
    context_.store.call(platform::ownersCall(groupName), callTime, [this](std::optional<HttpMessage> message) {
        refreshing_ = false;
        auto answer = message ? platform::readOwners(*message) : platform::OwnersAnswer {};
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
