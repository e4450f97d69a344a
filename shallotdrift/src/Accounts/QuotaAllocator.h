#pragma once

#include "QuotaLedger.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift {

// Lends the quotas of the accounts in parts to the owners of the services. All decisions follow from what the owners
// report: a new allocator lends nothing until each service has reported to it what it holds. A part counts in full
// until its owner has confirmed a smaller one, or the next owner of the service has reported the runs that it has
// taken over. So the parts of an account never add up to more than its quota, unless the quota has been lowered.
class QuotaAllocator {
public:
    // What the owner of a service holds, in response to a message of this allocator.
    struct Report {
        std::string service {};
        uint64_t ownerToken = 0; // grows with each change of the owner
        uint64_t round = 0; // number of the message; 0: the owner has applied none of this allocator
        std::vector<QuotaHolding> holdings {};
    };
    // The parts for the owner of one service, to be applied by the owner with this token only.
    struct Offer {
        uint64_t ownerToken = 0;
        std::vector<QuotaPart> parts {};
    };

    void setAccounts(const ClientAccounts&);
    void setServices(const std::set<std::string>&);
    // Services that are no longer in the list but may still hold parts. Their owners are to be asked for reports, too.
    std::set<std::string> retiredServices() const;
    // Ignores reports of an owner that has been replaced, and those on earlier messages than the last one reported on.
    void onReport(const Report&);

    // Begins the next round and returns the parts that differ from what the owners hold, by service. Each is counted
    // from now on, whether or not the message arrives.
    std::map<std::string, Offer> makeOffers();
    uint64_t round() const { return round_; }

    // What the owner of the service may hold of the account's quota, as far as the allocator knows.
    Resources boundOf(const std::string& service, const std::string& account) const;
    // What the account holds at all services, by the last reports.
    struct View {
        std::string account {};
        Resources quota {};
        Resources used {};
        Resources wanted {};
        std::vector<std::pair<std::string, Resources>> lentByService {};
    };
    std::vector<View> views() const;

private:
    struct Sent {
        uint64_t round;
        Resources lent;
    };
    struct Holding {
        QuotaHolding reported;
        std::vector<Sent> sent; // in messages after the last one reported on
        Resources offeredOf; // the quota of which the last part was offered
    };
    struct Service {
        bool known = false; // has reported to this allocator
        bool retired = false; // no longer among the services
        uint64_t reportedAtRound = 0;
        uint64_t ownerToken = 0;
        uint64_t reportedRound = 0;
        std::map<std::string, Holding> holdings; // by account
        bool holdsAnything() const;
    };

    static Resources boundOf(const Holding&);
    static void addSent(Holding&, const Sent&);
    void offerParts(const std::string& account, const Resources& quota, std::map<std::string, Offer>&);

    std::map<std::string, Resources> quotas_; // of the accounts that have one
    std::map<std::string, Service> services_;
    uint64_t round_ = 0;
};

} // namespace shallotdrift
