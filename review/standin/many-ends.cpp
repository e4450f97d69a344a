// The store is down while many short work items end, so that a worker lists more than 500 ends.
#include "trial.h"

#include <cstdio>

using namespace trial;

static constexpr int jobs = 60;
static constexpr int itemsOfJob = 24;

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    Installation installation(2, 16000);
    if (!installation.waitUntilReady(15))
        return 2;
    auto job = [](int count, int cpu, int milliseconds) {
        return Json { { "Spec", "cpu=" + std::to_string(cpu) + " ms=" + std::to_string(milliseconds) },
            { "Steps", { { { "Count", count }, { "Cpu", cpu }, { "MemMb", 16 }, { "EstimatedMs", milliseconds } } } } };
    };
    if (!submit(installation, jobId(1), job(4, 1000, 200)))
        return 2;
    sleepFor(4000); // until the partitions are spread over all entries
    std::vector<std::thread> clients;
    std::atomic<int> accepted { 0 };
    for (int i = 0; i < 6; ++i)
        clients.emplace_back([&, i] {
            for (int k = i; k < jobs; k += 6)
                accepted
                    += submit(installation, jobId(100 + static_cast<uint64_t>(k)), job(itemsOfJob, 20, 1200)) ? 1 : 0;
        });
    for (auto& client : clients)
        client.join();
    size_t expected = 4 + static_cast<size_t>(jobs) * itemsOfJob;
    auto deadline = after(3000);
    while (installation.ledger.starts() < expected && Clock::now() < deadline)
        sleepFor(5);
    record("accepted jobs: " + std::to_string(accepted) + ", starts: " + std::to_string(installation.ledger.starts())
        + ", running: " + std::to_string(installation.ledger.running()));
    if (accepted != jobs || installation.ledger.starts() != expected)
        return 2;
    if (troubled()) {
        installation.store->setDown(true);
        size_t most = 0;
        for (auto end = after(4000); Clock::now() < end; sleepFor(20))
            for (auto& worker : installation.workers())
                most = std::max(most, worker->unnotedEnds());
        record("most ends on one worker that no owner has taken note of: " + std::to_string(most));
        installation.store->setDown(false);
    }
    deadline = after(30000);
    int completed = 0;
    while (completed < jobs && Clock::now() < deadline) {
        completed = 0;
        for (int k = 0; k < jobs && (completed == k || completed == 0); ++k)
            completed += stateOf(installation, jobId(100 + static_cast<uint64_t>(k))) == "completed" ? 1 : 0;
        sleepFor(20);
    }
    installation.ledger.write();
    auto broken = installation.ledger.twice();
    for (const auto& line : broken)
        record("TWICE " + line);
    auto result = "completed " + std::to_string(completed) + " of " + std::to_string(jobs)
        + " jobs; work items that broke TWICE: " + std::to_string(broken.size());
    record(result);
    puts(result.c_str());
    return broken.empty() ? (completed == jobs ? 0 : 2) : 1;
}
