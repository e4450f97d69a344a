// Measures the scheduler of one service: the time to process one worker report with an ended run and to produce the
// plan and the records that follow, with all workers full and a backlog of jobs; the size of a job's records and of its
// state in memory; and the time to decode 5,000 jobs. Usage: bench-OwnerBench [SECONDS PER MEASUREMENT]
#include "shallotdrift/Jobs.h"

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <string>
#include <unistd.h>

namespace {

using namespace shallotdrift; // NOLINT(google-build-using-namespace): program without a header

constexpr char serviceName[] = "reports";
constexpr char queueName[] = "render";
constexpr int64_t workerMilliCores = 16000;

JobSpec makeSpec()
{
    JobSpec spec;
    spec.payload = std::string(600, 'p');
    for (uint32_t number = 0; number < 2; ++number) {
        StepSpec step;
        step.count = 8;
        step.taskResources = { 1500, 1000, 0 };
        step.estimatedDuration = Milliseconds { 800 };
        if (number > 0)
            step.dependsOn = { number - 1 };
        spec.steps.push_back(std::move(step));
    }
    return spec;
}

struct Owner {
    explicit Owner(size_t workerCount)
    {
        QueueConfiguration queue;
        queue.name = queueName;
        queue.service = serviceName;
        queue.latencyTarget = Milliseconds { 600 };
        scheduler.setQueues({ { queueName, queue } });
        for (size_t i = 0; i < workerCount; ++i) {
            WorkerInfo info;
            info.id = fmt::format("i-{:08x}", i * 2654435761U);
            info.address = "10.0.0.1:80";
            info.service = serviceName;
            info.instance = "m-" + info.id;
            info.capacity = { workerMilliCores, 64000, 0 };
            scheduler.updateWorker(info, now.steady);
            workerIds.push_back(info.id);
            report(info.id, {});
        }
    }

    void addJobs(size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            scheduler.add(Job(fmt::format("{:016x}", ++jobCount * 11400714819323198485ULL), queueName, serviceName,
                makeSpec(), now.wall, 3));
    }

    void report(const std::string& worker, std::vector<EndedRun> ended)
    {
        WorkerReport workerReport;
        workerReport.clock = std::chrono::duration_cast<Milliseconds>(now.steady.time_since_epoch());
        for (const auto& [id, run] : scheduler.workers().at(worker).runs)
            if (ended.empty() || ended.front().task < id || id < ended.front().task)
                workerReport.running.push_back({ id, run.number, {}, 50, 0 });
        workerReport.ended = std::move(ended);
        scheduler.onReport(worker, workerReport, { now.steady }, now);
    }

    size_t plan()
    {
        auto orders = scheduler.plan(now);
        for (const auto& record : scheduler.takeChangedRecords(now))
            recordBytes += record.value.size();
        for (const auto& order : orders) {
            scheduler.beginStart(order, now);
            scheduler.onStartResponse(order, StartRefusal::None, now);
        }
        return orders.size();
    }

    Now now { Instant { Milliseconds { 1000000 } }, wallTimeFromUnix(Milliseconds { 1796384956000 }) };
    ServiceScheduler scheduler { serviceName, ServiceSchedulerOptions {}, now.steady };
    std::vector<std::string> workerIds;
    std::map<std::string, uint64_t> endedRunCounts; // by worker
    uint64_t jobCount = 0;
    size_t recordBytes = 0;
};

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

// Ends one run after another. Each ended run frees the resources for one task of the backlog.
void measureDecisions(size_t workers, size_t backlog, double seconds)
{
    Owner owner(workers);
    owner.addJobs(workers * 10 / 8 + backlog);
    owner.plan();
    size_t endedRuns = 0;
    size_t starts = 0;
    auto begin = std::chrono::steady_clock::now();
    while (secondsSince(begin) < seconds) {
        const auto& id = owner.workerIds[endedRuns % owner.workerIds.size()];
        auto& runs = owner.scheduler.workers().at(id).runs;
        if (runs.empty())
            break;
        auto first = *runs.begin();
        owner.now.steady += Milliseconds { 1 };
        owner.now.wall += Milliseconds { 1 };
        owner.report(
            id, { { ++owner.endedRunCounts[id], first.first, first.second.number, RunOutcome::Completed, {} } });
        starts += owner.plan();
        if (++endedRuns % 16 == 0)
            owner.addJobs(1);
    }
    std::cout << fmt::format(
        "{:4} workers, backlog {:4} jobs: {:7.0f} ended runs per second, {:6.1f} us each, {} starts\n", workers,
        backlog, static_cast<double>(endedRuns) / secondsSince(begin),
        secondsSince(begin) * 1e6 / static_cast<double>(endedRuns), starts);
}

size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

void measureJobs(size_t count)
{
    std::vector<std::pair<std::string, std::pair<std::string, std::string>>> records;
    size_t specBytes = 0;
    size_t stateBytes = 0;
    for (size_t i = 0; i < count; ++i) {
        Job job(fmt::format("{:016x}", i), queueName, serviceName, makeSpec(), WallTime {}, 3);
        records.push_back({ job.id(), { job.encodeSpec(), job.encodeState(SIZE_MAX).front() } });
        specBytes += records.back().second.first.size();
        stateBytes += records.back().second.second.size();
    }
    auto before = residentBytes();
    auto begin = std::chrono::steady_clock::now();
    std::vector<Job> jobs;
    for (const auto& [id, bytes] : records) {
        auto job = Job::decodeSpec(id, bytes.first);
        if (!job || !job->decodeState(bytes.second))
            std::abort();
        jobs.push_back(std::move(*job));
    }
    std::cout << fmt::format("{} jobs of 16 tasks: {} bytes of specification and {} of state each, {} bytes of memory "
                             "each, decoded in {:.0f} ms\n",
        count, specBytes / count, stateBytes / count, (residentBytes() - before) / count, secondsSince(begin) * 1000);
}

} // namespace

int main(int argc, char** argv)
{
    double seconds = argc > 1 ? std::atof(argv[1]) : 1;
    for (size_t workers : { 85, 260, 730 })
        for (size_t backlog : { 0, 40, 300 })
            measureDecisions(workers, backlog, seconds);
    measureJobs(5000);
    return 0;
}
