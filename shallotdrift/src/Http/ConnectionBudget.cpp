#include "ConnectionBudget.h"

#include "../Base/Logging.h"

#include <algorithm>
#include <fmt/format.h>
#include <malloc.h>
#include <tuple>

namespace shallotdrift {

// Fewer received bytes do not count as progress.
static constexpr size_t progressBytes = 4 << 10;
// A connection is not closed for another one unless it has made no progress for this time.
static constexpr Milliseconds leastAgeToYield { 500 };
// Freed memory is returned to the system after the use has fallen by this much.
static constexpr size_t trimAfterBytes = 8 << 20;

static constexpr std::array<const char*, ConnectionBudget::shedReasons> reasonNames { "memory", "stalled",
    "connections", "refused", "closed" };

const char* ConnectionBudget::shedReasonName(ShedReason reason) { return reasonNames[static_cast<size_t>(reason)]; }

ConnectionBudget::ConnectionBudget(size_t memoryBytes, Milliseconds stallTimeout)
    : memoryBytes_(memoryBytes)
    , stallTimeout_(stallTimeout)
{
}

ConnectionBudget::AddressUse& ConnectionBudget::useOf(const std::string& address)
{
    auto& use = addresses_[address];
    use.address = address;
    return use;
}

ConnectionBudget::Part::Part(ConnectionBudget& budget, PartOptions options)
    : budget_(budget)
    , options_(std::move(options))
{
    budget_.reservedBytes_ += options_.reservedBytes;
    budget_.parts_.push_back(this);
}

ConnectionBudget::Part::~Part()
{
    budget_.reservedBytes_ -= options_.reservedBytes;
    budget_.parts_.erase(std::find(budget_.parts_.begin(), budget_.parts_.end(), this));
}

size_t ConnectionBudget::Part::bytesAboveReserve() const
{
    return bytes_ > options_.reservedBytes ? bytes_ - options_.reservedBytes : 0;
}

bool ConnectionBudget::Part::admit(Instant now)
{
    if (connections_ < options_.maximumConnections)
        return true;
    if (auto* victim = budget_.findConnectionVictim(*this, now))
        budget_.shed(*victim, ShedReason::Connections);
    if (connections_ < options_.maximumConnections)
        return true;
    budget_.countShed(ShedReason::Closed);
    return false;
}

ConnectionBudget::Account::Account(Part& part, const std::string& clientAddress, Instant now)
    : part_(part)
    , address_(part.budget_.useOf(clientAddress))
    , position_(part.budget_.accounts_.insert(part.budget_.accounts_.end(), this))
    , progressAt_(now)
{
    ++address_.connections;
    ++part_.connections_;
}

ConnectionBudget::Account::~Account() { close(); }

void ConnectionBudget::Account::close()
{
    if (!open_)
        return;
    open_ = false;
    auto& budget = part_.budget_;
    budget.apply(*this, 0);
    budget.accounts_.erase(position_);
    --part_.connections_;
    if (--address_.connections == 0)
        budget.addresses_.erase(std::string(address_.address));
}

bool ConnectionBudget::Account::resize(size_t bytes, Instant now)
{
    auto& budget = part_.budget_;
    while (open_ && bytes > bytes_ && !budget.fits(part_, bytes - bytes_)) {
        auto* victim = budget.findMemoryVictim(*this, bytes, now);
        if (!victim)
            return false;
        budget.shed(*victim, ShedReason::Memory);
    }
    settle(bytes);
    return open_;
}

bool ConnectionBudget::Account::resizeIfFree(size_t bytes)
{
    if (!open_ || (bytes > bytes_ && !part_.budget_.fits(part_, bytes - bytes_)))
        return false;
    settle(bytes);
    return true;
}

void ConnectionBudget::Account::settle(size_t bytes)
{
    if (open_)
        part_.budget_.apply(*this, bytes);
}

void ConnectionBudget::Account::setActivity(Activity activity, Instant now)
{
    activity_ = activity;
    progressAt_ = now;
    received_ = 0;
}

void ConnectionBudget::Account::onReceived(size_t bytes, Instant now)
{
    received_ += bytes;
    if (received_ < progressBytes)
        return;
    received_ = 0;
    progressAt_ = now;
}

std::vector<ConnectionBudget::PartUse> ConnectionBudget::use() const
{
    std::vector<PartUse> uses;
    for (const auto* part : parts_)
        uses.push_back({ part->options_.name, part->bytes_, part->connections_ });
    return uses;
}

// Each part can use its reserve; the rest of the memory is shared.
bool ConnectionBudget::fits(const Part& part, size_t additionalBytes) const
{
    auto reserve = part.options_.reservedBytes;
    auto bytes = part.bytes_ + additionalBytes;
    auto above = bytes > reserve ? bytes - reserve : 0;
    auto shared = sharedBytes_ - part.bytesAboveReserve() + above;
    return above == 0 || (reservedBytes_ <= memoryBytes_ && shared <= memoryBytes_ - reservedBytes_);
}

void ConnectionBudget::apply(Account& account, size_t bytes)
{
    auto& part = account.part_;
    sharedBytes_ -= part.bytesAboveReserve();
    usedBytes_ += bytes - account.bytes_;
    part.bytes_ += bytes - account.bytes_;
    account.address_.bytes += bytes - account.bytes_;
    account.bytes_ = bytes;
    sharedBytes_ += part.bytesAboveReserve();
    peakBytes_ = std::max(peakBytes_, usedBytes_);
}

// The client address that holds most yields first, and of its connections the one with the largest product of bytes and
// time without progress. Null if that is the requester.
ConnectionBudget::Account* ConnectionBudget::findMemoryVictim(
    const Account& requester, size_t requestedBytes, Instant now) const
{
    auto rank = [&](const Account& account, size_t bytes, size_t addressBytes) {
        auto age = std::chrono::duration<double>(now - account.progressAt_).count();
        return std::make_tuple(addressBytes, static_cast<double>(bytes) * age);
    };
    auto additional = requestedBytes - requester.bytes_;
    auto highest = rank(requester, requestedBytes, requester.address_.bytes + additional);
    Account* victim = nullptr;
    for (auto* account : accounts_) {
        bool waits = account->activity_ == Activity::Reading
            || (account->activity_ == Activity::Writing && now - account->progressAt_ >= stallTimeout_);
        if (!waits || account == &requester || account->bytes_ == 0
            || (&account->part_ != &requester.part_ && account->part_.bytesAboveReserve() == 0))
            continue;
        auto addressBytes
            = account->address_.bytes + (&account->address_ == &requester.address_ ? additional : size_t { 0 });
        auto own = rank(*account, account->bytes_, addressBytes);
        if (own > highest) {
            highest = own;
            victim = account;
        }
    }
    return victim;
}

// Of the client address with most connections, the one that has made no progress for longest.
ConnectionBudget::Account* ConnectionBudget::findConnectionVictim(const Part& part, Instant now) const
{
    Account* victim = nullptr;
    for (auto* account : accounts_) {
        if (&account->part_ != &part || account->activity_ == Activity::Accepted
            || now - account->progressAt_ < leastAgeToYield)
            continue;
        if (!victim
            || std::make_tuple(account->address_.connections, victim->progressAt_)
                > std::make_tuple(victim->address_.connections, account->progressAt_))
            victim = account;
    }
    return victim;
}

// The account may be destroyed by the call. It is no candidate any more even if its connection takes time to close.
void ConnectionBudget::shed(Account& account, ShedReason reason)
{
    countShed(reason);
    account.activity_ = Activity::Accepted;
    account.shed(reason);
}

void ConnectionBudget::maintain()
{
    if (shed_ != logged_) {
        std::string text;
        for (size_t i = 0; i < shedReasons; ++i)
            text += fmt::format(" {}={}", reasonNames[i], shed_[i] - logged_[i]);
        const auto* most = addresses_.empty() ? nullptr : &addresses_.begin()->second;
        for (const auto& [address, use] : addresses_)
            if (use.bytes > most->bytes)
                most = &use;
        logger("http")->warn("event=shed{} held_bytes={} connections={} largest_client={}", text, usedBytes_,
            accounts_.size(), most ? most->address : "-");
        logged_ = shed_;
    }
    if (peakBytes_ - usedBytes_ < trimAfterBytes)
        return;
    malloc_trim(0);
    peakBytes_ = usedBytes_;
}

} // namespace shallotdrift
