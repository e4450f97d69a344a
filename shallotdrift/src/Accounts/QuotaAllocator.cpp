#include "QuotaAllocator.h"

#include <algorithm>

namespace shallotdrift {

// Part of what nobody uses or wants that is lent in advance, so that the first tasks of a job need not wait for an
// exchange with the allocator. The rest can be lent in one exchange to whichever service wants it.
static constexpr int64_t advanceDivisor = 2;
static constexpr uint64_t roundsPerTurn = 20; // after which the division begins with another service
// A service that has left the configuration counts until its owner has reported that it holds nothing, or for this time
// without a report, in which all of its leases have expired.
static constexpr uint64_t retiredRounds = 300;

using Kind = int64_t Resources::*;
static constexpr Kind kinds[] { &Resources::milliCores, &Resources::memoryMegabytes, &Resources::accelerators };

void QuotaAllocator::setAccounts(const ClientAccounts& accounts)
{
    quotas_.clear();
    for (const auto& [name, account] : accounts)
        if (!account.quota.isZero())
            quotas_[name] = account.quota;
}

void QuotaAllocator::setServices(const std::set<std::string>& services)
{
    for (const auto& name : services)
        services_.try_emplace(name);
    for (auto entry = services_.begin(); entry != services_.end();) {
        auto& service = entry->second;
        service.retired = services.count(entry->first) == 0;
        bool holdsNothing = service.known && !service.holdsAnything();
        bool gone = service.retired && (holdsNothing || round_ - service.reportedAtRound > retiredRounds);
        entry = gone ? services_.erase(entry) : std::next(entry);
    }
}

bool QuotaAllocator::Service::holdsAnything() const
{
    return std::any_of(
        holdings.begin(), holdings.end(), [](const auto& entry) { return !boundOf(entry.second).isZero(); });
}

std::set<std::string> QuotaAllocator::retiredServices() const
{
    std::set<std::string> names;
    for (const auto& [name, service] : services_)
        if (service.retired)
            names.insert(name);
    return names;
}

Resources QuotaAllocator::boundOf(const Holding& holding)
{
    auto bound = largestOf(holding.reported.lent, holding.reported.used);
    for (const auto& sent : holding.sent)
        bound = largestOf(bound, sent.lent);
    return bound;
}

Resources QuotaAllocator::boundOf(const std::string& service, const std::string& account) const
{
    auto found = services_.find(service);
    if (found == services_.end())
        return {};
    auto holding = found->second.holdings.find(account);
    return holding == found->second.holdings.end() ? Resources {} : boundOf(holding->second);
}

void QuotaAllocator::onReport(const Report& report)
{
    auto found = services_.find(report.service);
    if (found == services_.end()) {
        if (report.holdings.empty())
            return;
        found
            = services_.emplace(report.service, Service {}).first; // left the configuration before this allocator began
        found->second.retired = true;
    }
    auto& service = found->second;
    if (report.ownerToken < service.ownerToken || report.round > round_)
        return;
    if (report.ownerToken > service.ownerToken) {
        // The owner has read all starts of the former one, which the store lets add no more.
        bool retired = service.retired;
        service = {};
        service.retired = retired;
        service.ownerToken = report.ownerToken;
    } else if (report.round < service.reportedRound)
        return;
    service.known = true;
    service.reportedAtRound = round_;
    service.reportedRound = report.round;
    for (auto& [account, holding] : service.holdings) {
        holding.reported = {};
        auto& sent = holding.sent;
        sent.erase(std::remove_if(
                       sent.begin(), sent.end(), [&](const Sent& message) { return message.round <= report.round; }),
            sent.end());
    }
    for (const auto& holding : report.holdings)
        service.holdings[holding.account].reported = holding;
}

namespace {

    // How one kind of resource is divided between the services of an account.
    struct Claim {
        int64_t used = 0;
        int64_t wanted = 0;
        int64_t unit = 0;
        int64_t part = 0;
    };

} // namespace

// Divides the quota by what the services use and want, in equal rounds among those that lack something (max-min
// fairness): a service that uses more than its part starts nothing until enough of its runs have ended. What tasks wait
// for is given in whole units, since a fraction of a task's size helps nobody; a remainder smaller than every unit goes
// to one service, for its smaller tasks. The order begins with another service from time to time, so that a large unit
// gets its turn. What is left is lent in advance.
static void divide(int64_t quota, std::vector<Claim>& claims, size_t first)
{
    int64_t free = quota;
    auto missingOf = [](const Claim& claim) { return claim.used + claim.wanted - claim.part; };
    bool granted = true;
    while (granted && free > 0) {
        granted = false;
        auto lacking
            = std::count_if(claims.begin(), claims.end(), [&](const Claim& claim) { return missingOf(claim) > 0; });
        int64_t level = lacking == 0 ? 0 : free / lacking;
        Claim* remainderTo = nullptr;
        for (size_t i = 0; i < claims.size(); ++i) {
            auto& claim = claims[(first + i) % claims.size()];
            int64_t missing = missingOf(claim);
            if (missing <= 0)
                continue;
            int64_t unit = claim.part < claim.used ? 1 : std::max<int64_t>(std::min(claim.unit, missing), 1);
            int64_t grant = std::min(missing, std::max(level / unit * unit, unit));
            if (grant > free) {
                remainderTo = remainderTo ? remainderTo : &claim;
                continue;
            }
            claim.part += grant;
            free -= grant;
            granted = true;
        }
        if (!granted && remainderTo) {
            remainderTo->part += free;
            free = 0;
        }
    }
    if (free <= 0 || claims.empty())
        return;
    auto advance = free / advanceDivisor / static_cast<int64_t>(claims.size());
    for (auto& claim : claims)
        claim.part += advance;
}

// While an owner is silent, the number of messages stays limited: the earliest two are counted as one.
void QuotaAllocator::addSent(Holding& holding, const Sent& message)
{
    static constexpr size_t maximumMessages = 8;
    auto& sent = holding.sent;
    sent.push_back(message);
    if (sent.size() <= maximumMessages)
        return;
    sent[1].lent = largestOf(sent[0].lent, sent[1].lent);
    sent.erase(sent.begin());
}

// A part that has to shrink is offered at once; what it frees can be lent once its owner has confirmed it.
void QuotaAllocator::offerParts(
    const std::string& account, const Resources& quota, std::map<std::string, Offer>& offers)
{
    std::vector<Service*> services;
    for (auto& [name, service] : services_)
        services.push_back(&service);
    std::vector<Resources> targets(services.size());
    for (auto kind : kinds) {
        if (quota.*kind == 0)
            continue;
        std::vector<Claim> claims;
        int64_t bound = 0;
        for (auto* service : services) {
            const auto& holding = service->holdings[account];
            const auto& reported = holding.reported;
            if (service->retired)
                claims.push_back({});
            else
                claims.push_back({ reported.used.*kind, reported.wanted.*kind, reported.unit.*kind });
            bound += boundOf(holding).*kind;
        }
        divide(quota.*kind, claims, round_ / roundsPerTurn);
        int64_t free = std::max<int64_t>(quota.*kind - bound, 0);
        int64_t excess = std::max<int64_t>(bound - quota.*kind, 0); // after the quota was lowered
        for (size_t i = 0; i < services.size(); ++i) {
            auto held = boundOf(services[i]->holdings[account]).*kind;
            auto rise = std::min(std::max<int64_t>(claims[i].part - held, 0), free);
            free -= rise;
            targets[i].*kind = rise > 0 ? held + rise : std::min(claims[i].part, std::max<int64_t>(held - excess, 0));
        }
    }
    size_t number = 0;
    for (auto& [name, service] : services_) {
        const auto& target = targets[number++];
        auto& holding = service.holdings[account];
        if (target == holding.reported.lent && holding.sent.empty() && holding.offeredOf == quota)
            continue;
        holding.offeredOf = quota;
        addSent(holding, { round_, target });
        auto& offer = offers[name];
        offer.ownerToken = service.ownerToken;
        offer.parts.push_back({ account, target, quota });
    }
}

std::map<std::string, QuotaAllocator::Offer> QuotaAllocator::makeOffers()
{
    ++round_;
    std::map<std::string, Offer> offers;
    bool allKnown
        = std::all_of(services_.begin(), services_.end(), [](const auto& service) { return service.second.known; });
    if (!allKnown)
        return offers;
    for (const auto& [account, quota] : quotas_)
        offerParts(account, quota, offers);
    return offers;
}

std::vector<QuotaAllocator::View> QuotaAllocator::views() const
{
    std::vector<View> views;
    for (const auto& [account, quota] : quotas_) {
        View view { account, quota };
        for (const auto& [name, service] : services_) {
            auto holding = service.holdings.find(account);
            if (holding == service.holdings.end())
                continue;
            view.used += holding->second.reported.used;
            view.wanted += holding->second.reported.wanted;
            view.lentByService.emplace_back(name, holding->second.reported.lent);
        }
        views.push_back(std::move(view));
    }
    return views;
}

} // namespace shallotdrift
