#pragma once

#include "SchedulerHarness.h"

#include <functional>

namespace shallotdrift {

// Plays a load on the scheduler of one service: jobs arrive, and each task ends on its worker after its true duration,
// which may differ from the estimate. Counts the jobs that end within their latency objective.
class LoadPlay {
public:
    struct Arrival {
        Milliseconds at { 0 };
        std::string kind {}; // under which the job is counted
        std::string account {};
        std::vector<StepSpec> steps {};
        Milliseconds duration { 0 }; // of each task
    };
    struct Count {
        size_t jobs = 0;
        size_t inTime = 0;
        double shareInTime() const { return jobs == 0 ? 0 : static_cast<double>(inTime) / static_cast<double>(jobs); }
    };

    explicit LoadPlay(int workers, Milliseconds latencyTarget = Milliseconds { 600 })
        : latencyTarget_(latencyTarget)
    {
        for (int i = 0; i < workers; ++i)
            harness_.addWorker("w" + std::to_string(i));
    }

    SchedulerHarness& harness() { return harness_; }
    ServiceScheduler& scheduler() { return *harness_.scheduler; }

    // Plays the arrivals, which are in order, for the time given, and returns the counts by kind.
    std::map<std::string, Count> play(const std::vector<Arrival>& arrivals, Milliseconds length)
    {
        auto begin = harness_.now.steady;
        size_t next = 0;
        while (harness_.now.steady - begin < length) {
            harness_.advance(tick);
            for (; next < arrivals.size() && begin + arrivals[next].at <= harness_.now.steady; ++next)
                submit(arrivals[next], next);
            endTasks();
            for (const auto& [id, worker] : scheduler().workers())
                harness_.report(id, progressOn(worker));
            for (const auto& order : harness_.plan()) {
                startedAt_[order.task] = harness_.now.steady;
                ends_.emplace(harness_.now.steady + jobs_.at(order.task.job).duration, order);
            }
        }
        return counts_;
    }

private:
    static constexpr Milliseconds tick { 20 };
    struct PlayedJob {
        std::string kind;
        Milliseconds duration { 0 };
        Instant dueAt {};
    };

    void submit(const Arrival& arrival, size_t number)
    {
        JobSpec spec;
        spec.steps = arrival.steps;
        Job job("job" + std::to_string(number), queueName, serviceName, std::move(spec), harness_.now.wall, 2);
        job.setAccount(arrival.account);
        job.setBeyondShare(!scheduler().shares().take(arrival.account, harness_.now.steady));
        auto objective = latencyTarget_ + 2 * arrival.duration * static_cast<int64_t>(arrival.steps.size());
        jobs_[job.id()] = { arrival.kind, arrival.duration, harness_.now.steady + objective };
        ++counts_[arrival.kind].jobs;
        scheduler().add(std::move(job));
    }

    std::vector<RunProgress> progressOn(const Worker& worker) const
    {
        std::vector<RunProgress> rows;
        for (const auto& [id, run] : worker.runs) {
            auto elapsed = harness_.now.steady - startedAt_.at(id);
            auto percent = static_cast<int32_t>(100 * elapsed / jobs_.at(id.job).duration);
            rows.push_back({ id, run.number, {}, std::min(percent, 99), 0 });
        }
        return rows;
    }

    void endTasks()
    {
        while (!ends_.empty() && ends_.begin()->first <= harness_.now.steady) {
            auto order = ends_.begin()->second;
            ends_.erase(ends_.begin());
            auto rows = progressOn(scheduler().workers().at(order.worker));
            rows.erase(std::remove_if(rows.begin(), rows.end(),
                           [&](const RunProgress& row) { return isSameTask(row.task, order.task); }),
                rows.end());
            harness_.report(order.worker, std::move(rows),
                { { ++harness_.ends[order.worker], order.task, order.runNumber, RunOutcome::Completed, {} } });
            const auto& job = jobs_.at(order.task.job);
            if (scheduler().statusOf(order.task.job) == JobStatus::Completed && harness_.now.steady <= job.dueAt)
                ++counts_[job.kind].inTime;
        }
    }

    SchedulerHarness harness_;
    Milliseconds latencyTarget_;
    std::map<std::string, PlayedJob> jobs_;
    static bool isSameTask(const TaskId& left, const TaskId& right) { return !(left < right) && !(right < left); }

    std::multimap<Instant, StartOrder> ends_;
    std::map<TaskId, Instant> startedAt_;
    std::map<std::string, Count> counts_;
};

} // namespace shallotdrift
