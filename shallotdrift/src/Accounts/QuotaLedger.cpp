#include "QuotaLedger.h"

#include <algorithm>

namespace shallotdrift {

void QuotaLedger::setAccounts(const ClientAccounts& accounts)
{
    hasQuotas_ = false;
    for (auto& account : accounts_)
        account.quota = {};
    for (const auto& [name, account] : accounts) {
        if (account.quota.isZero())
            continue;
        accounts_[indexOf(name)].quota = account.quota;
        hasQuotas_ = true;
    }
}

QuotaLedger::AccountIndex QuotaLedger::indexOf(const std::string& account)
{
    if (account.empty())
        return noAccount;
    auto [entry, added] = indexes_.try_emplace(account, static_cast<AccountIndex>(accounts_.size()));
    if (added) {
        accounts_.emplace_back();
        accounts_.back().name = account;
    }
    return entry->second;
}

Resources QuotaLedger::quotaOf(const std::string& account) const
{
    auto found = indexes_.find(account);
    return found == indexes_.end() ? Resources {} : accounts_[found->second].quota;
}

bool QuotaLedger::applyParts(const QuotaRound& round, const std::vector<QuotaPart>& parts)
{
    if (!(lastRound_ < round))
        return false;
    lastRound_ = round;
    for (const auto& part : parts) {
        auto& account = accounts_[indexOf(part.account)];
        account.lent = part.lent;
        account.lentOf = part.quota;
    }
    return true;
}

void QuotaLedger::clearUsed()
{
    for (auto& account : accounts_)
        account.used = {};
}

void QuotaLedger::clearWanted()
{
    for (auto& account : accounts_) {
        account.wanted = {};
        account.unit = {};
    }
}

void QuotaLedger::addWanted(AccountIndex index, const Resources& resources, const Resources& unit)
{
    accounts_[index].wanted += resources;
    accounts_[index].unit = largestOf(accounts_[index].unit, unit);
}

void QuotaLedger::limitWanted(const Resources& room)
{
    for (auto& account : accounts_)
        account.wanted = smallestOf(account.wanted, room + account.unit);
}

// Of a quota that has been lowered since, the runs of all services together may already exceed the new one. Nothing is
// usable then until the allocator, which knows of all, has lent a part of the new quota.
static int64_t usableOf(int64_t lent, int64_t lentOf, int64_t quota) { return quota < lentOf ? 0 : lent; }

Resources QuotaLedger::usablePart(AccountIndex index) const
{
    const auto& account = accounts_[index];
    return { usableOf(account.lent.milliCores, account.lentOf.milliCores, account.quota.milliCores),
        usableOf(account.lent.memoryMegabytes, account.lentOf.memoryMegabytes, account.quota.memoryMegabytes),
        usableOf(account.lent.accelerators, account.lentOf.accelerators, account.quota.accelerators) };
}

static bool fitsWithin(int64_t needed, int64_t used, int64_t part, int64_t quota)
{
    return quota == 0 || needed == 0 || used + needed <= part;
}

bool QuotaLedger::mayStart(AccountIndex index, const Resources& needed) const
{
    const auto& account = accounts_[index];
    if (account.quota.isZero())
        return true;
    auto part = usablePart(index);
    return fitsWithin(needed.milliCores, account.used.milliCores, part.milliCores, account.quota.milliCores)
        && fitsWithin(
            needed.memoryMegabytes, account.used.memoryMegabytes, part.memoryMegabytes, account.quota.memoryMegabytes)
        && fitsWithin(needed.accelerators, account.used.accelerators, part.accelerators, account.quota.accelerators);
}

std::vector<QuotaHolding> QuotaLedger::holdings() const
{
    std::vector<QuotaHolding> holdings;
    for (size_t index = noAccount + 1; index < accounts_.size(); ++index) {
        const auto& account = accounts_[index];
        bool idle = account.lent.isZero() && account.used.isZero() && account.wanted.isZero();
        if (!idle)
            holdings.push_back({ account.name, account.lent, account.used, account.wanted, account.unit });
    }
    return holdings;
}

} // namespace shallotdrift
