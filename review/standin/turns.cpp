// Two planned stops of the fleet manager, 1.2 s apart, right after it has moved a machine.
#include "trial.h"

#include <csignal>
#include <cstdio>

using namespace trial;

static constexpr int rounds = 5;
static constexpr double leaseSeconds = 3.0; // LeaseMs
static constexpr double contactSeconds = 3.0; // ContactMs

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    Installation installation(2, 16000, "a", 24);
    if (!installation.waitUntilReady(15))
        return 2;
    Json job { { "Spec", "cpu=2000 ms=700" },
        { "Steps", { { { "Count", 30 }, { "Cpu", 2000 }, { "MemMb", 100 }, { "EstimatedMs", 700 } } } } };
    uint64_t number = 1;
    uint64_t wave = 1;
    sleepFor(6000);
    for (int round = 0; round < rounds && elapsedSeconds() < 95; ++round) {
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
        if (moved.empty()) {
            record("no move in this round");
            continue;
        }
        installation.fleet->requestWave(wave++, moved);
        auto* first = installation.fleetOwner();
        if (troubled() && first) {
            record("the manager, entry " + std::to_string(first->number()) + ", gets SIGTERM");
            first->signal(SIGTERM);
            first->stoppedAt = elapsedSeconds();
        }
        sleepFor(1200);
        auto* second = installation.fleetOwner();
        if (troubled() && second && second != first) {
            record("the manager, entry " + std::to_string(second->number()) + ", gets SIGTERM");
            second->signal(SIGTERM);
            second->stoppedAt = elapsedSeconds();
        }
        sleepFor(6500);
        if (troubled())
            for (auto* entry : { first, second })
                if (entry && entry->stoppedAt > 0 && elapsedSeconds() - entry->stoppedAt < 9) {
                    entry->killAndReap();
                    entry->start();
                    entry->startedAt = elapsedSeconds();
                }
        sleepFor(4000);
    }
    auto orders = installation.fleet->orders();
    int broken = 0;
    std::map<std::string, const FleetOrder*> last;
    for (const auto& order : orders) {
        auto& previous = last[order.machine];
        bool turn = previous && previous->holder != order.holder && order.at - previous->at < leaseSeconds;
        bool inTouch = order.calmFor >= contactSeconds && (!previous || previous->calmFor >= contactSeconds);
        char line[300];
        snprintf(line, sizeof line, "order %.3f %s %s pool=%s holder=%s token=%llu status=%d calm_for=%.1f%s", order.at,
            order.machine.c_str(), order.move ? "move" : "upkeep", order.pool.c_str(), order.holder.c_str(),
            static_cast<unsigned long long>(order.token), order.status, order.calmFor,
            turn ? (inTouch ? " ONE" : " turn, not in touch") : "");
        record(line);
        broken += turn && inTouch ? 1 : 0;
        previous = &order;
    }
    auto result = std::to_string(orders.size()) + " orders; turns of two holders within LeaseMs: " + std::to_string(broken);
    record(result);
    puts(result.c_str());
    return broken > 0 ? 1 : 0;
}
