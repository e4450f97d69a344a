// Two entries that are not the fleet manager are stopped as planned, 1.2 s apart. Each stop makes the store deal the
// partitions anew, so that the manager changes twice.
#include "trial.h"

#include <csignal>
#include <cstdio>

using namespace trial;

static constexpr int rounds = 5;
static constexpr size_t entryCount = 6;
static constexpr double leaseSeconds = 3.0; // LeaseMs
static constexpr double contactSeconds = 3.0; // ContactMs

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    Installation installation(2, 16000, "a", 24, entryCount);
    if (!installation.waitUntilReady(15))
        return 2;
    Json job { { "Spec", "cpu=2000 ms=700" },
        { "Steps", { { { "Count", 30 }, { "Cpu", 2000 }, { "MemMb", 100 }, { "EstimatedMs", 700 } } } } };
    uint64_t number = 1;
    uint64_t wave = 1;
    sleepFor(6000);
    for (int round = 0; round < rounds; ++round) {
        size_t before = installation.fleet->orders().size();
        submit(installation, jobId(number++), job);
        submit(installation, jobId(number++), job);
        std::string moved;
        for (auto end = after(4000); moved.empty() && Clock::now() < end; sleepFor(5)) {
            auto orders = installation.fleet->orders();
            for (size_t i = before; i < orders.size(); ++i)
                if (orders[i].move && orders[i].status == 200 && orders[i].pool == "desk")
                    moved = orders[i].machine;
        }
        auto* manager = installation.fleetOwner();
        if (moved.empty() || !manager) {
            record("no move in this round");
            continue;
        }
        installation.fleet->requestWave(wave++, moved);
        record("the manager is entry " + std::to_string(manager->number()));
        std::vector<Entry*> stopped;
        for (size_t distance : { 3, 4 }) { // the next two managers stay as they are
            auto* entry
                = installation.entries[(static_cast<size_t>(manager->number()) - 1 + distance) % entryCount].get();
            if (troubled()) {
                record("entry " + std::to_string(entry->number()) + " gets SIGTERM");
                entry->signal(SIGTERM);
                entry->stoppedAt = elapsedSeconds();
                stopped.push_back(entry);
            }
            sleepFor(1200);
        }
        sleepFor(5500);
        for (auto* entry : stopped) { // the platform starts it again
            entry->killAndReap();
            entry->start();
            entry->startedAt = elapsedSeconds();
        }
        sleepFor(4500);
    }
    int broken = 0;
    std::map<std::string, FleetOrder> last;
    for (const auto& order : installation.fleet->orders()) {
        auto previous = last.find(order.machine);
        bool turn = previous != last.end() && previous->second.holder != order.holder
            && order.at - previous->second.at < leaseSeconds;
        bool inTouch = turn && order.calmFor >= contactSeconds && order.earlierCalmFor >= contactSeconds
            && previous->second.calmFor >= contactSeconds;
        char line[400];
        snprintf(line, sizeof line, "order %.3f %s %s pool=%s holder=%s token=%llu status=%d calm_for=%.1f%s", order.at,
            order.machine.c_str(), order.move ? "move" : "upkeep", order.pool.c_str(), order.holder.c_str(),
            static_cast<unsigned long long>(order.token), order.status, order.calmFor,
            turn ? (inTouch ? " ONE" : " turn, not in touch") : "");
        record(line);
        broken += inTouch ? 1 : 0;
        last[order.machine] = order;
    }
    auto result = std::to_string(installation.fleet->orders().size())
        + " orders; turns of two holders in touch within LeaseMs: " + std::to_string(broken);
    record(result);
    puts(result.c_str());
    return broken > 0 ? 1 : 0;
}
