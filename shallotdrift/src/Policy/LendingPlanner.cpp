// Objective: the least work refused or late, at a limited number of moves. A move takes an instance out of service
// for the time of its drain and reboot, so it pays only when the flood outlasts it.
//
// Policy, in this order, within the limit of moves under way:
//  1. A pool whose demand exceeds its instances at the target utilization borrows, the most urgent pool first, when
//     the flood is expected to last at least twice as long as a move.
//  2. When past floods followed each other regularly, the pool of the next flood borrows before its flood begins.
//     Short floods are over before a reactive move has ended, so only this helps them.
//  3. Borrowed instances go home once their pool has been quiet, they were held for the minimum time, and no flood
//     waits for instances. The minimum time bounds idle returns only; a flood takes unused instances earlier.
// A pool lends what it does not need itself, and never goes below its minimum. A pool that is set not to lend keeps
// its home instances and gives up borrowed ones only. A pool with urgent work does not lend
// to a pool with bulk work only: its next flood would find its instances away. A flooded pool gives up borrowed
// instances only to more urgent work.
#include "LendingPlanner.h"

#include "FloodModel.h"
#include "MoveHistory.h"
#include "PoolLedger.h"

#include <algorithm>
#include <cmath>
#include <spdlog/fmt/fmt.h>
#include <tuple>

namespace shallotdrift {

using internal::FloodModel;
using internal::MoveHistory;
using internal::PoolLedger;

namespace {

    // A move must be outlasted by its flood by this factor.
    constexpr double payOffFactor = 2;
    // Added to the move time when a predicted flood is prepared, for starts that come early.
    constexpr double preparationSeconds = 3;
    // Moves out of one pool that can be under way at once, as a rule: they share a rack of four workers.
    constexpr double movesOfRound = 4;
    constexpr int64_t smallestGroup = 2; // of one rack, that is moved ahead of a flood
    // An instance does work for at least this multiple of the move time before it is lent again.
    constexpr double workedFactor = 1;
    // Kept by a lending pool beyond its need, because its demand is measured with a delay of about a second.
    constexpr uint32_t lenderHeadroom = 1;

    uint32_t instancesFor(double slots, const PoolLedger::Pool& pool, double utilization)
    {
        // Bulk work can wait for a free slot, so that it needs no idle ones.
        if (pool.urgency == Urgency::Bulk)
            utilization = 1;
        return static_cast<uint32_t>(std::ceil(slots / (pool.slotsPerInstance * utilization) - 1e-9));
    }

} // namespace

class LendingPlanner::Implementation {
public:
    std::vector<PlannedMove> plan(
        const FleetState&, const PoolDemands&, const std::set<std::string>& silentZones, Instant now);

private:
    // Inputs and results of one round.
    struct Round {
        const FleetState& state;
        const std::set<std::string>& silentZones;
        Instant now;
        PoolLedger ledger;
        std::vector<PlannedMove> moves;

        const LendingConfiguration& lending() const { return state.configuration.lending; }
        bool full() const { return ledger.movesUnderWay() >= lending().maximumConcurrentMoves; }
    };
    struct Donation {
        PoolLedger::Pool* from = nullptr;
        const Instance* instance = nullptr;
    };

    std::string nextPool(Instant now) const
    {
        auto next = floods_.next(now);
        return next ? next->pool : std::string();
    }
    void learn(Round&, const PoolDemands&);
    void lendToFloods(Round&);
    void prepareNextFlood(Round&);
    void returnBorrowed(Round&);
    void fill(Round&, PoolLedger::Pool& to, uint32_t wanted, const std::string& why, int64_t group = 1);
    // Group: instances that the chosen instance's rack has to offer.
    Donation findDonation(Round&, const PoolLedger::Pool& to, int64_t group);
    Duration workedTime() const
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(workedFactor * history_.moveSeconds()));
    }
    bool mayLend(const Round&, const PoolLedger::Pool& from, const PoolLedger::Pool& to) const;
    static void move(Round&, PoolLedger::Pool& from, PoolLedger::Pool& to, const Instance&, std::string reason);

    FloodModel floods_;
    MoveHistory history_;
};

std::vector<PlannedMove> LendingPlanner::Implementation::plan(
    const FleetState& state, const PoolDemands& demands, const std::set<std::string>& silentZones, Instant now)
{
    Round round { state, silentZones, now, PoolLedger(state), {} };
    learn(round, demands);
    if (!round.lending().enabled)
        return {};
    lendToFloods(round);
    prepareNextFlood(round);
    if (round.moves.empty())
        returnBorrowed(round);
    return std::move(round.moves);
}

void LendingPlanner::Implementation::learn(Round& round, const PoolDemands& demands)
{
    history_.observe(round.state, round.now);
    double utilization = round.lending().targetUtilization;
    for (auto& [name, pool] : round.ledger.pools()) {
        auto demand = demands.find(name);
        double slots = demand == demands.end() ? 0 : demand->second;
        floods_.update(name, slots, pool.home * pool.slotsPerInstance * utilization, round.now);
        pool.need = instancesFor(floods_.currentSlots(name), pool, utilization);
        pool.slowNeed = instancesFor(floods_.recentSlots(name), pool, utilization);
    }
}

void LendingPlanner::Implementation::lendToFloods(Round& round)
{
    std::vector<PoolLedger::Pool*> flooded;
    for (auto& [name, pool] : round.ledger.pools()) {
        bool paysOff = floods_.remainingSeconds(name, round.now) >= payOffFactor * history_.moveSeconds();
        if (pool.configuration->borrows && floods_.flooded(name) && paysOff
            && pool.need > pool.available + pool.incoming)
            flooded.push_back(&pool);
    }
    std::stable_sort(
        flooded.begin(), flooded.end(), [](const auto* a, const auto* b) { return a->urgency < b->urgency; });
    for (auto* pool : flooded) {
        fill(round, *pool, pool->need,
            fmt::format("flood: demand {:.0f} slots needs {} instances, {} available, {} coming",
                floods_.currentSlots(pool->name), pool->need, pool->available, pool->incoming));
    }
}

void LendingPlanner::Implementation::prepareNextFlood(Round& round)
{
    auto next = floods_.next(round.now);
    auto* pool = next ? round.ledger.find(next->pool) : nullptr;
    if (!pool || !pool->configuration->borrows || floods_.flooded(next->pool))
        return;
    double until = std::chrono::duration<double>(next->expectedStart - round.now).count();
    uint32_t wanted = instancesFor(next->peakSlots, *pool, round.lending().targetUtilization);
    double missing = wanted - std::min<double>(wanted, pool->available + pool->incoming);
    // A single move would hold up the moves of other racks of its pool when the flood before ends.
    auto group = std::min(smallestGroup, static_cast<int64_t>(missing));
    if (until > history_.moveSeconds() * std::ceil(missing / movesOfRound) + preparationSeconds)
        return;
    fill(round, *pool, wanted,
        fmt::format("next flood expected in {:.0f} s ({:.0f}% of the past ones): peak {:.0f} slots needs {} instances",
            until, next->confidence * 100, next->peakSlots, wanted),
        group);
    // Keeps what was prepared from being lent or returned until the flood has come or failed to come.
    pool->need = std::max(pool->need, wanted);
    pool->slowNeed = std::max(pool->slowNeed, wanted);
}

void LendingPlanner::Implementation::fill(
    Round& round, PoolLedger::Pool& to, uint32_t wanted, const std::string& why, int64_t group)
{
    while (to.available + to.incoming < wanted && !round.full()) {
        auto donation = findDonation(round, to, group);
        if (!donation.instance)
            return;
        move(round, *donation.from, to, *donation.instance,
            fmt::format("{}; {} keeps {}, minimum {}, need {}", why, donation.from->name, donation.from->available - 1,
                donation.from->configuration->minimumAvailable, donation.from->need));
    }
}

bool LendingPlanner::Implementation::mayLend(
    const Round& round, const PoolLedger::Pool& from, const PoolLedger::Pool& to) const
{
    // A move uses up the budget and the rack that the wave needs next.
    if (from.waveWaits && from.available <= from.home)
        return false;
    if (&from == &to || (!from.configuration->lends && from.available <= from.home))
        return false;
    if (from.urgency == Urgency::Urgent && to.urgency == Urgency::Bulk && from.available <= from.home)
        return false;
    if (floods_.flooded(from.name) && from.available <= from.need) {
        // Instances borrowed for less urgent work.
        return to.urgency < from.urgency && from.available > from.home
            && floods_.remainingSeconds(to.name, round.now) > 0;
    }
    return from.available > from.need + lenderHeadroom;
}

LendingPlanner::Implementation::Donation LendingPlanner::Implementation::findDonation(
    Round& round, const PoolLedger::Pool& to, int64_t group)
{
    // Smaller is better: answering zone, home of the flooded pool, pool whose flood is not the next, large group of one
    // rack, spare pool, borrowed instance, unused instances. Moves out of a pool go rack by rack, so that small groups
    // hold up the others.
    using Rank = std::tuple<bool, bool, bool, int64_t, bool, bool, double, std::string>;
    auto expected = nextPool(round.now);
    Donation best;
    Rank bestRank;
    for (auto& [name, from] : round.ledger.pools()) {
        if (!mayLend(round, from, to))
            continue;
        double unused
            = static_cast<double>(from.available - std::min(from.available, from.need)) / std::max(1U, from.available);
        std::map<std::string, int64_t> groups;
        for (const auto* instance : from.movable)
            ++groups[instance->rack];
        // Moves planned in this round count, or a group would end after its first instance.
        if (from.budget.rackBusy)
            groups[from.budget.busyRack] += group;
        auto lendable = static_cast<int64_t>(from.available - from.need);
        for (const auto* instance : from.movable) {
            if (!PoolLedger::mayLeave(from, *instance) || !history_.heldFor(instance->id, workedTime(), round.now)
                || (!from.configuration->lends && !instance->lent())
                || std::min(groups[instance->rack], lendable + static_cast<int64_t>(to.incoming)) < group)
                continue;
            Rank rank { round.silentZones.count(instance->zone) > 0, instance->homePool != to.name,
                from.name == expected, -std::min(groups[instance->rack], lendable), !from.configuration->spare,
                !instance->lent(), -unused, instance->rack + "/" + instance->id };
            if (!best.instance || rank < bestRank) {
                best = { &from, instance };
                bestRank = std::move(rank);
            }
        }
    }
    return best;
}

void LendingPlanner::Implementation::returnBorrowed(Round& round)
{
    for (auto& [name, from] : round.ledger.pools()) {
        if (floods_.flooded(name))
            continue;
        auto movable = from.movable;
        for (const auto* instance : movable) {
            auto* home = round.ledger.find(instance->homePool);
            if (round.full() || from.available <= from.slowNeed + lenderHeadroom)
                break;
            if (!home || home == &from || !PoolLedger::mayLeave(from, *instance)
                || round.silentZones.count(instance->zone)
                || !history_.heldFor(instance->id, round.lending().minimumHold, round.now))
                continue;
            move(round, from, *home, *instance,
                fmt::format("return: demand {:.0f} slots needs {} of {} instances", floods_.recentSlots(name),
                    from.slowNeed, from.available));
        }
    }
}

void LendingPlanner::Implementation::move(
    Round& round, PoolLedger::Pool& from, PoolLedger::Pool& to, const Instance& instance, std::string reason)
{
    round.moves.push_back({ instance.id, instance.epoch, to.name, std::move(reason) });
    round.ledger.recordMove(from, to, instance);
}

LendingPlanner::LendingPlanner()
    : implementation_(std::make_unique<Implementation>())
{
}

LendingPlanner::~LendingPlanner() = default;

std::vector<PlannedMove> LendingPlanner::plan(
    const FleetState& state, const PoolDemands& demands, const std::set<std::string>& silentZones, Instant now)
{
    return implementation_->plan(state, demands, silentZones, now);
}

} // namespace shallotdrift
