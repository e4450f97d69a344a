#include "JobDescription.h"

#include <array>
#include <fmt/format.h>

namespace shallotdrift {

static std::string taskText(const TaskId& id, const JobTask& task)
{
    static constexpr std::array<const char*, 4> states { "waiting", "placed", "running", "done" };
    auto text = fmt::format("task {}.{}.{}: {}, run {}, {} failures", id.occurrence, id.step, id.index,
        states[static_cast<size_t>(task.state)], task.runNumber, task.failedRuns.size());
    if (!task.worker.empty())
        text += ", worker " + task.worker;
    if (!task.checkpoint.empty())
        text += ", has a checkpoint";
    return text;
}

std::vector<std::string> describeJob(const Job& job)
{
    static constexpr std::array<const char*, 4> statuses { "active", "completed", "failed", "cancelled" };
    // Keeps the output readable on a terminal.
    static constexpr size_t maximumListedTasks = 100;
    std::vector<std::string> facts;
    if (job.spec().steps.empty()) {
        facts.push_back(fmt::format("{}, ended at Unix time {} ms; the specification is no longer stored",
            statuses[static_cast<size_t>(job.status())], unixMilliseconds(job.endedAt())));
        return facts;
    }
    facts.push_back(fmt::format("queue {}, service {}, {}, accepted at Unix time {} ms{}", job.queue(), job.service(),
        statuses[static_cast<size_t>(job.status())], unixMilliseconds(job.submittedAt()),
        job.active() ? std::string() : fmt::format(", ended at Unix time {} ms", unixMilliseconds(job.endedAt()))));
    facts.push_back(fmt::format("{} steps, {} occurrences, critical path {} ms, at most {} failed attempts per task",
        job.spec().steps.size(), job.occurrenceCount(), job.criticalPath().count(), job.maximumAttempts()));
    size_t done = 0;
    size_t neverPlaced = 0;
    std::vector<std::string> tasks;
    for (const auto& [number, occurrence] : job.openOccurrences())
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step)
            for (uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
                const auto& task = occurrence.steps[step].tasks[index];
                if (task.state == TaskState::Completed)
                    ++done;
                else if (task.runNumber == 0)
                    ++neverPlaced;
                else if (tasks.size() < maximumListedTasks)
                    tasks.push_back(taskText({ job.id(), number, step, index }, task));
            }
    facts.push_back(
        fmt::format("open occurrences: {} tasks are done and {} have never been placed", done, neverPlaced));
    facts.insert(facts.end(), tasks.begin(), tasks.end());
    return facts;
}

} // namespace shallotdrift
