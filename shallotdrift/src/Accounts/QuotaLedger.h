#pragma once

#include "ClientAccount.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotdrift {

// The part of an account's quota that is lent to the owner of a service.
struct QuotaPart {
    std::string account {};
    Resources lent {};
    Resources quota {}; // of the account, of which the part is taken
};

// What an account holds and wants of its quota at one service.
struct QuotaHolding {
    std::string account {};
    Resources lent {};
    Resources used {}; // by runs that are, or may be, active
    Resources wanted {}; // by tasks that could start now but for the quota or for want of room
    Resources unit {}; // the largest of the starts that `wanted` adds up: a task, or a gang as a whole
};

// Identifies a message of a fleet manager: its fencing token, and the number of the message among those of the manager.
struct QuotaRound {
    uint64_t managerToken = 0;
    uint64_t number = 0;
    bool operator<(const QuotaRound& other) const
    {
        return managerToken != other.managerToken ? managerToken < other.managerToken : number < other.number;
    }
};

// What the accounts hold at one service, as its owner sees it. A task starts only within the part that is lent to the
// service. A new owner has no parts yet, but counts the runs of the former one: these are stored before they start, so
// that what it reports bounds what may be active.
class QuotaLedger {
public:
    using AccountIndex = uint32_t;
    static constexpr AccountIndex noAccount = 0;

    // Accounts that are not in the list have no quota.
    void setAccounts(const ClientAccounts&);
    bool hasQuotas() const { return hasQuotas_; }
    // Stays the same as long as the ledger exists. The empty name has noAccount.
    AccountIndex indexOf(const std::string& account);
    const std::string& nameOf(AccountIndex index) const { return accounts_[index].name; }

    // Applies the parts unless the message is older than one that has been applied. Returns false if it is.
    bool applyParts(const QuotaRound&, const std::vector<QuotaPart>&);
    const QuotaRound& lastRound() const { return lastRound_; }

    // Counts what is used anew: clear, then an add for each run.
    void clearUsed();
    void addUsed(AccountIndex index, const Resources& resources) { accounts_[index].used += resources; }
    void removeUsed(AccountIndex index, const Resources& resources) { accounts_[index].used -= resources; }
    bool mayStart(AccountIndex, const Resources&) const;

    void clearWanted();
    void addWanted(AccountIndex, const Resources&, const Resources& unit);
    // Limits what each account wants to the room that there is, and one unit more.
    void limitWanted(const Resources& room);

    Resources quotaOf(const std::string& account) const; // zero: none
    const Resources& used(AccountIndex index) const { return accounts_[index].used; }
    // The part that may be used now: less than was lent if the quota has been lowered since.
    Resources usablePart(AccountIndex) const;
    // Of the accounts that have a quota and hold, use or want any of it.
    std::vector<QuotaHolding> holdings() const;

private:
    struct Account {
        std::string name;
        Resources quota;
        Resources lent;
        Resources lentOf; // the quota of which `lent` was taken
        Resources used;
        Resources wanted;
        Resources unit;
    };

    std::vector<Account> accounts_ = std::vector<Account>(1); // the first one stands for jobs without an account
    std::unordered_map<std::string, AccountIndex> indexes_;
    bool hasQuotas_ = false;
    QuotaRound lastRound_;
};

} // namespace shallotdrift
