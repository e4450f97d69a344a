#pragma once

#include "shallotdrift/Jobs.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotdrift {

inline constexpr char serviceName[] = "reports";
inline constexpr char queueName[] = "render";
// The longest lease that a worker accepts, 10 s, on a clock that is 2% slow.
inline constexpr Milliseconds longestLease { 10204 };

inline StepSpec makeStep(uint32_t count, int64_t milliCores, std::vector<uint32_t> dependsOn = {})
{
    StepSpec step;
    step.count = count;
    step.taskResources = { milliCores, 1000, 0 };
    step.estimatedDuration = Milliseconds { 800 };
    step.dependsOn = std::move(dependsOn);
    return step;
}

// The scheduler of one service with workers of 16 cores, a store and a simulated clock.
struct SchedulerHarness {
    // The owner of a service that no other has owned recently.
    SchedulerHarness()
    {
        reset();
        advance(Milliseconds { 20000 });
    }

    void reset()
    {
        scheduler = std::make_unique<ServiceScheduler>(serviceName, options, now.steady);
        QueueConfiguration queue;
        queue.name = queueName;
        queue.service = serviceName;
        queue.latencyTarget = Milliseconds { 600 };
        scheduler->setQueues({ { queueName, queue } });
    }

    void addWorker(const std::string& id)
    {
        registerWorker(id);
        report(id);
    }

    // Adds the worker to the registry.
    void registerWorker(const std::string& id, const std::string& rack = "r1", bool draining = false)
    {
        WorkerInfo info;
        info.id = id;
        info.address = "10.0.0.1:80";
        info.service = serviceName;
        info.instance = "m-" + id;
        info.capacity = { 16000, 64000, 0 };
        info.labels = { "a", rack };
        info.rack = rack;
        info.draining = draining;
        scheduler->updateWorker(info, now.steady);
    }

    void advance(Milliseconds time)
    {
        now.steady += time;
        now.wall += time;
    }

    // Passes a worker's report with its active and newly ended runs to the scheduler.
    void report(const std::string& worker, std::vector<RunProgress> running = {}, std::vector<EndedRun> ended = {})
    {
        advance(Milliseconds { 1 });
        WorkerReport workerReport;
        workerReport.clock = std::chrono::duration_cast<Milliseconds>(now.steady.time_since_epoch());
        workerReport.bootTime = bootTimes[worker];
        workerReport.running = std::move(running);
        workerReport.ended = std::move(ended);
        auto known = scheduler->workers().find(worker);
        uint32_t stage = known == scheduler->workers().end() ? 0 : known->second.lease.stage();
        scheduler->onReport(worker, workerReport, { now.steady, stage }, now);
    }

    void end(const StartOrder& order, RunOutcome outcome)
    {
        report(order.worker, runningOn(order.worker, order.task),
            { { ++ends[order.worker], order.task, order.runNumber, outcome, {} } });
    }

    std::vector<RunProgress> runningOn(const std::string& worker, const TaskId& except) const
    {
        std::vector<RunProgress> rows;
        for (const auto& [id, run] : scheduler->workers().at(worker).runs)
            if (id < except || except < id)
                rows.push_back({ id, run.number, {}, 50, 0 });
        return rows;
    }

    // Stores and sends the planned starts; the workers confirm all of them.
    std::vector<StartOrder> plan()
    {
        auto orders = send();
        for (const auto& order : orders)
            scheduler->onStartResponse(order, StartRefusal::None, now);
        return orders;
    }

    // Stores and sends the planned starts; no response has arrived yet.
    std::vector<StartOrder> send()
    {
        auto orders = scheduler->plan(now);
        lastRecords = scheduler->takeChangedRecords(now);
        for (const auto& record : lastRecords)
            store[record.key] = record.value;
        scheduler->onRecordsStored();
        for (const auto& order : orders)
            CPPUNIT_ASSERT(scheduler->beginStart(order, now));
        return orders;
    }

    void add(const std::string& id, std::vector<StepSpec> steps, uint32_t attempts = 2)
    {
        JobSpec spec;
        spec.payload = "payload of " + id;
        spec.steps = std::move(steps);
        scheduler->add(Job(id, queueName, serviceName, std::move(spec), now.wall, attempts));
    }

    // Starts job "a" of one task, which may fail once, on the new worker "w1".
    StartOrder startSingleTask(bool speculationAllowed)
    {
        addWorker("w1");
        auto step = makeStep(1, 1000);
        step.speculationAllowed = speculationAllowed;
        add("a", { step }, 2);
        auto orders = plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, orders.size());
        return orders[0];
    }

    // Time from now on until the owner starts a task again, on the worker "w2", while the others are silent.
    Duration timeUntilNextStart()
    {
        registerWorker("w2");
        auto begin = now.steady;
        do {
            advance(Milliseconds { 50 });
            report("w2");
            scheduler->expireLeases(now);
            CPPUNIT_ASSERT(now.steady < begin + Milliseconds { 60000 });
        } while (send().empty());
        return now.steady - begin;
    }

    size_t pending() const { return scheduler->pendingJobCount(queueName); }

    // Whether an active job is shown as running rather than queued.
    bool shownAsRunning(const std::string& id) const
    {
        bool started = false;
        CPPUNIT_ASSERT(scheduler->statusOf(id, &started) == JobStatus::Active);
        return started;
    }

    // Replaces the scheduler by that of a new owner, which reads the records of the previous owner.
    void failOver()
    {
        reset();
        scheduler->ledger().restore(store[scheduler->ledger().key()], {}, now.steady);
        scheduler->cordons().restore(store[scheduler->cordons().key()], now.steady + Milliseconds { 4000 });
        std::map<std::string, std::pair<std::string, Job::StateParts>> jobs; // id -> specification, state
        for (const auto& [key, value] : store) {
            if (value.empty() || key.find('/') != std::string::npos)
                continue;
            auto jobKey = parseJobKey(key);
            auto& records = jobs[jobKey.job];
            (jobKey.statePart ? records.second[*jobKey.statePart] : records.first) = value;
        }
        for (const auto& [id, records] : jobs) {
            if (records.first.empty()) {
                Job ended(id, {}, {}, {}, now.wall, 1);
                CPPUNIT_ASSERT(ended.decodeState(records.second));
                scheduler->restoreEnded(ended);
                continue;
            }
            auto job = Job::decodeSpec(id, records.first);
            CPPUNIT_ASSERT(job);
            if (!records.second.empty())
                CPPUNIT_ASSERT(job->decodeState(records.second));
            scheduler->restore(std::move(*job));
        }
        scheduler->finishRestore(now);
    }

    Now now { Instant { Milliseconds { 1000000 } }, wallTimeFromUnix(Milliseconds { 1796384956000 }) };
    ServiceSchedulerOptions options;
    std::unique_ptr<ServiceScheduler> scheduler;
    std::map<std::string, std::string> store;
    std::vector<StateRecord> lastRecords; // of the last send()
    std::map<std::string, uint64_t> ends;
    std::map<std::string, int64_t> bootTimes; // 0: not in the reports
};

} // namespace shallotdrift
