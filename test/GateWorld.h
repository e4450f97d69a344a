#pragma once

#include "shallotdrift/Peers.h"

#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <set>

namespace shallotdrift {

// One step of a schedule; the numbers choose among what is possible.
struct GateStep {
    uint32_t kind = 0;
    uint32_t first = 0;
    uint32_t second = 0;
};

// Faults that can be built in on purpose, to show that the exploration finds them.
enum class GateMutation : uint8_t {
    None,
    IgnoresLeases, // acknowledges when its own work is done
    NoStartWait, // acknowledges at once after a restart
    IgnoresGateOffset, // a lease counts before its holder has folded as far as the gate entry
    GrantsBeforeJoining, // a restarted gate entry grants from its old view
    SharedRequestNumbers, // a restarted holder takes answers and reports of its previous process for its own
    RemovedAtOnce, // a dead gate entry is removed while its leases can still be in use
};

// Entries of two zones, a log and a network that loses, delays, duplicates and reorders. The instance "w" belongs to
// zone z, whose gate entries are "g1" and "g2"; "h" is in another zone. Folds only the records that concern the gate.
class GateWorld {
public:
    explicit GateWorld(GateMutation mutation = GateMutation::None)
        : mutation_(mutation)
    {
        FleetState empty;
        Instance instance;
        instance.id = "w";
        instance.zone = "z";
        empty.instances["w"] = instance;
        states_.push_back(empty);
        for (const auto* id : { "g1", "g2", "h" })
            start(entries_[id], id);
        for (auto& [id, entry] : entries_)
            join(entry);
        for (auto& [id, entry] : entries_)
            entry.folded = head();
        now_ += std::chrono::seconds(40); // past the wait after a start
    }

    // Returns false when the step broke the promise.
    bool apply(const GateStep& step)
    {
        auto entry = std::next(entries_.begin(), step.first % entries_.size());
        static const std::vector<std::pair<uint32_t, void (GateWorld::*)(Entry&, uint32_t)>> actions {
            { 18, &GateWorld::foldOn },
            { 20, &GateWorld::tick },
            { 24, &GateWorld::deliver },
            { 6, &GateWorld::drop },
            { 12, &GateWorld::sendWork },
            { 6, &GateWorld::finishWork },
            { 10, &GateWorld::passTime },
            { 4, &GateWorld::close },
            { 2, &GateWorld::abort },
            { 3, &GateWorld::grantMove },
            { 2, &GateWorld::restart },
            { 4, &GateWorld::joinLate },
            { 1, &GateWorld::kill },
            { 2, &GateWorld::remove },
            { 1, &GateWorld::leave },
        };
        auto choice = step.kind % 115;
        for (const auto& [weight, action] : actions) {
            if (choice < weight) {
                (this->*action)(entry->second, step.second);
                break;
            }
            choice -= weight;
        }
        return !violated_;
    }

    size_t closedTimes() const { return closed_; }
    size_t workSent() const { return sent_; }
    size_t remoteWorkSent() const { return remoteSent_; }

private:
    struct Entry {
        std::string id;
        std::string zone;
        uint64_t boot = 0;
        bool alive = true;
        bool leaving = false;
        Instant stoppedAt;
        Offset folded = 0;
        std::unique_ptr<Gate> gate;
        std::unique_ptr<Gate> acknowledging; // another one in a mutation
        std::unique_ptr<ViewLeaseHolder> holder;
        std::vector<std::pair<uint64_t, Instant>> work; // epoch and start
    };

    struct Packet {
        std::string from;
        std::string to;
        proto::PeerMessage message;
    };

    Offset head() const { return states_.size() - 1; }
    const FleetState& viewOf(const Entry& entry) const { return states_[entry.folded]; }
    Instance& nextInstance() { return states_.back().instances["w"]; }

    // Appends a record: a change of the state that holds from the next offset on.
    void append(const std::function<void(FleetState&, Offset)>& change)
    {
        states_.push_back(states_.back());
        change(states_.back(), head());
    }

    void start(Entry& entry, const std::string& id)
    {
        entry.id = id;
        entry.zone = id == "h" ? "y" : "z";
        ++entry.boot;
        entry.alive = true;
        entry.leaving = false;
        entry.work.clear();
        GateOptions gate { id, "z" };
        gate.boot = mutation_ == GateMutation::GrantsBeforeJoining ? 1 : entry.boot;
        entry.gate = std::make_unique<Gate>(gate);
        if (mutation_ == GateMutation::NoStartWait)
            entry.gate->acknowledgements(FleetState(), {}, now_ - std::chrono::minutes(1));
        entry.acknowledging
            = std::make_unique<Gate>(GateOptions { id, "z", Milliseconds(3000), Milliseconds(30000), entry.boot });
        ViewLeaseHolderOptions holder { id, entry.zone };
        holder.boot = mutation_ == GateMutation::SharedRequestNumbers ? 1 : entry.boot;
        entry.holder = std::make_unique<ViewLeaseHolder>(holder);
    }

    void join(Entry& entry)
    {
        append([&](FleetState& state, Offset) { state.entries[entry.id] = { entry.id, entry.boot, entry.zone, "" }; });
    }

    void foldOn(Entry& entry, uint32_t choice)
    {
        if (entry.alive)
            entry.folded = choice % 2 ? head() : std::min(entry.folded + 1, head());
    }

    std::set<std::string> inFlight(const Entry& entry) const
    {
        return entry.work.empty() ? std::set<std::string>() : std::set<std::string> { "w" };
    }

    void tick(Entry& entry, uint32_t)
    {
        if (!entry.alive)
            return;
        for (auto& message : entry.holder->requests(viewOf(entry), entry.folded, inFlight(entry), now_))
            post({ entry.id, message.receiver(), std::move(message) });
        if (entry.zone != "z")
            return;
        auto& gate = mutation_ == GateMutation::IgnoresLeases ? entry.acknowledging : entry.gate;
        for (const auto& operation : gate->acknowledgements(viewOf(entry), inFlight(entry), now_))
            acknowledge(operation, entry);
        if (entry.leaving && entry.work.empty() && entry.gate->released(now_)) {
            entry.alive = false;
            erase(entry);
        }
    }

    void acknowledge(const std::string& operation, const Entry& by)
    {
        append([&](FleetState& state, Offset) {
            auto& move = state.moves[operation];
            if (move.status == MoveStatus::Closing && state.entries[by.id].boot == by.boot)
                release(state, move, by.id);
        });
    }

    void release(FleetState& state, Move& move, const std::string& gate)
    {
        if (!move.pendingGates.erase(gate) || !move.pendingGates.empty())
            return;
        move.status = MoveStatus::Closed;
        state.instances["w"].status = InstanceStatus::Closed;
        closedEpoch_ = state.instances["w"].epoch;
        ++closed_;
        // Work in flight would be cut off by the reboot that now follows.
        for (const auto& [id, entry] : entries_) {
            for (const auto& work : entry.work)
                violated_ = violated_ || work.first <= closedEpoch_;
        }
    }

    void post(Packet packet)
    {
        if (network_.size() >= 64)
            network_.erase(network_.begin());
        network_.push_back(std::move(packet));
    }

    void drop(Entry&, uint32_t choice)
    {
        if (!network_.empty())
            network_.erase(network_.begin() + choice % network_.size());
    }

    void deliver(Entry&, uint32_t choice)
    {
        if (network_.empty())
            return;
        auto position = network_.begin() + choice / 4 % network_.size();
        Packet packet = *position;
        if (choice % 4) // otherwise it is delivered again later
            network_.erase(position);
        auto& entry = entries_[packet.to];
        if (!entry.alive)
            return;
        if (packet.message.has_view_lease()) {
            auto lease = packet.message.view_lease();
            if (mutation_ == GateMutation::IgnoresGateOffset)
                lease.set_gate_offset(0);
            entry.holder->granted(packet.from, lease, now_);
        } else if (entry.gate) {
            const auto& request = packet.message.view_lease_request();
            if (auto lease = entry.gate->grant(packet.from, request, viewOf(entry), entry.folded, now_)) {
                Packet answer { entry.id, packet.from, {} };
                *answer.message.mutable_view_lease() = *lease;
                post(std::move(answer));
            }
        }
    }

    void sendWork(Entry& entry, uint32_t)
    {
        const auto& instance = viewOf(entry).instances.at("w");
        if (!entry.alive || instance.status != InstanceStatus::Active || entry.work.size() >= 4)
            return;
        if (!entry.holder->maySend("z", entry.folded, now_))
            return;
        ++sent_;
        remoteSent_ += entry.zone == "z" ? 0 : 1;
        violated_ = violated_ || instance.epoch <= closedEpoch_;
        entry.work.emplace_back(instance.epoch, now_);
    }

    void finishWork(Entry& entry, uint32_t)
    {
        if (!entry.work.empty())
            entry.work.erase(entry.work.begin());
    }

    void passTime(Entry&, uint32_t choice)
    {
        static constexpr std::array<int, 6> steps { 20, 120, 1000, 2900, 3000, 30000 };
        now_ += Milliseconds(steps.at(choice % steps.size()));
        for (auto& [id, entry] : entries_) {
            auto ended = [&](const auto& work) { return now_ - work.second >= Milliseconds(30000); };
            entry.work.erase(std::remove_if(entry.work.begin(), entry.work.end(), ended), entry.work.end());
        }
    }

    void close(Entry&, uint32_t)
    {
        if (nextInstance().status != InstanceStatus::Active)
            return;
        append([&](FleetState& state, Offset offset) {
            Move move;
            move.id = "m" + std::to_string(offset);
            move.instance = "w";
            move.proposedOffset = offset;
            for (const auto& [id, entry] : state.entries) {
                if (entry.zone == "z")
                    move.pendingGates.insert(id);
            }
            state.instances["w"].status = InstanceStatus::Closing;
            state.instances["w"].operationId = move.id;
            move.status = MoveStatus::Closing;
            state.moves = { { move.id, move } };
        });
    }

    // Ends the move under way; the instance is active again under the next epoch.
    void endMove(MoveStatus status)
    {
        append([&](FleetState& state, Offset) {
            auto& instance = state.instances["w"];
            state.moves[instance.operationId].status = status;
            instance.status = InstanceStatus::Active;
            ++instance.epoch;
        });
    }

    void abort(Entry&, uint32_t)
    {
        if (nextInstance().status == InstanceStatus::Closing)
            endMove(MoveStatus::Aborted);
    }

    void grantMove(Entry&, uint32_t)
    {
        if (nextInstance().status == InstanceStatus::Closed)
            endMove(MoveStatus::Granted);
    }

    // The new process starts from a snapshot that can be old; its connections and its work are gone.
    void restart(Entry& entry, uint32_t choice)
    {
        start(entry, entry.id);
        entry.folded = choice % (head() + 1);
    }

    void joinLate(Entry& entry, uint32_t)
    {
        auto member = states_.back().entries.find(entry.id);
        if (entry.alive && !entry.leaving
            && (member == states_.back().entries.end() || member->second.boot != entry.boot))
            join(entry);
    }

    void kill(Entry& entry, uint32_t)
    {
        if (!entry.alive)
            return;
        entry.alive = false;
        entry.work.clear();
        entry.stoppedAt = now_;
    }

    void remove(Entry& entry, uint32_t)
    {
        auto delay = mutation_ == GateMutation::RemovedAtOnce ? Duration::zero() : Gate::removalDelay({ "", "" });
        auto member = states_.back().entries.find(entry.id);
        if (!entry.alive && now_ - entry.stoppedAt >= delay && member != states_.back().entries.end())
            erase(entry);
    }

    void erase(const Entry& entry)
    {
        append([&](FleetState& state, Offset) {
            state.entries.erase(entry.id);
            for (auto& [id, move] : state.moves) {
                if (move.status == MoveStatus::Closing)
                    release(state, move, entry.id);
            }
        });
    }

    void leave(Entry& entry, uint32_t)
    {
        if (entry.zone != "z" || !entry.alive || viewOf(entry).entries.count(entry.id) == 0)
            return;
        entry.leaving = true;
        entry.gate->stopGranting();
    }

    const GateMutation mutation_;
    Instant now_ { std::chrono::hours(1) };
    std::vector<FleetState> states_; // after each offset
    std::map<std::string, Entry> entries_;
    std::vector<Packet> network_;
    uint64_t closedEpoch_ = 0; // no work may be under way under this or an older epoch
    bool violated_ = false;
    size_t closed_ = 0;
    size_t sent_ = 0;
    size_t remoteSent_ = 0;
};

} // namespace shallotdrift
