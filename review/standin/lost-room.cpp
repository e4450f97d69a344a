// The one worker of a kind is cut off for 1.5 s, several times, while it runs work items of which copies are allowed.
// Afterwards a job comes for which that worker, which is idle, has room twice.
#include "trial.h"

#include <cstdio>

using namespace trial;

static constexpr int workerCount = 6;
static constexpr int cuts = 10;
static constexpr int cutMilliseconds = 1500;

static Json job(int count, int cpu, int milliseconds, bool parallel)
{
    Json step { { "Count", count }, { "Cpu", cpu }, { "MemMb", 1000 }, { "EstimatedMs", milliseconds },
        { "RequiredLabel", "b" } };
    if (parallel)
        step["AllowParallel"] = true;
    return { { "Spec", "cpu=" + std::to_string(cpu) + " ms=" + std::to_string(milliseconds) }, { "Steps", { step } } };
}

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    Installation installation(workerCount, 16000, "b");
    auto& worker = *installation.workers().back();
    if (!installation.waitUntilReady(15))
        return 2;
    sleepFor(4000); // until the partitions are spread over all entries
    uint64_t number = 1;
    for (int i = 0; i < cuts; ++i) {
        auto id = jobId(number++);
        if (!submit(installation, id, job(9, 800, 2500, true)))
            return 2;
        sleepFor(500);
        if (troubled())
            worker.cut(true);
        sleepFor(cutMilliseconds);
        if (troubled())
            worker.cut(false);
        for (auto end = after(5000); stateOf(installation, id) != "completed" && Clock::now() < end;)
            sleepFor(100);
        record("job " + id + ": " + stateOf(installation, id));
    }
    sleepFor(4000); // all is calm again
    auto id = jobId(number);
    if (!submit(installation, id, job(1, 7500, 500, false)))
        return 2;
    sleepFor(17000); // finish_s and 3 s
    bool began = installation.ledger.began(id);
    auto result = "free thousandths of a core on the worker: " + std::to_string(worker.freeCpu())
        + "; the job asks for 7500; its state: " + stateOf(installation, id)
        + (began ? ", has begun" : ", nothing of it has begun for 17 s");
    installation.ledger.write();
    record(result);
    puts(result.c_str());
    return began ? 0 : 1;
}
