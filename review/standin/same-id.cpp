// Workers lose power for 2.5 s and start again under the id that they had, while jobs go on.
#include "trial.h"

#include <cstdio>

using namespace trial;

static constexpr int workerCount = 8;
static constexpr double trafficSeconds = 85;
static constexpr int crashMilliseconds = 2500;

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    Installation installation(workerCount, 16000);
    if (!installation.waitUntilReady(15))
        return 2;
    std::atomic<bool> over { false };
    std::atomic<uint64_t> next { 1 };
    std::atomic<int> accepted { 0 };
    std::vector<std::thread> clients;
    Json job { { "Spec", "cpu=880 ms=800" },
        { "Steps", { { { "Count", 6 }, { "Cpu", 880 }, { "MemMb", 2500 }, { "EstimatedMs", 800 } } } } };
    for (int i = 0; i < 8; ++i)
        clients.emplace_back([&] {
            while (!over) {
                accepted += submit(installation, jobId(next++), job) ? 1 : 0;
                sleepFor(450);
            }
        });
    sleepFor(4000);
    for (int victim = 0; elapsedSeconds() < trafficSeconds; ++victim) {
        auto& worker = *installation.workers()[static_cast<size_t>(victim % workerCount)];
        if (troubled())
            worker.crash();
        sleepFor(crashMilliseconds);
        if (troubled())
            worker.restart();
        sleepFor(900);
    }
    over = true;
    for (auto& client : clients)
        client.join();
    sleepFor(10000);
    int completed = 0;
    for (uint64_t number = 1; number < next; ++number)
        completed += stateOf(installation, jobId(number)) == "completed" ? 1 : 0;
    installation.ledger.write();
    auto broken = installation.ledger.twice();
    for (const auto& line : broken)
        record("TWICE " + line);
    auto result = "accepted " + std::to_string(accepted) + " jobs, completed " + std::to_string(completed)
        + "; work items that broke TWICE: " + std::to_string(broken.size());
    record(result);
    puts(result.c_str());
    return broken.empty() ? (completed == accepted ? 0 : 2) : 1;
}
