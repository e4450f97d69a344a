#include "Section.h"

#include "shallotdrift/Jobs.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

namespace {

    constexpr char serviceName[] = "reports";
    constexpr char queueName[] = "render";

    StepSpec makeStep(uint32_t count, int64_t milliCores, std::vector<uint32_t> after = {})
    {
        StepSpec step;
        step.count = count;
        step.taskResources = { milliCores, 1000, 0 };
        step.estimatedDuration = Milliseconds { 800 };
        step.dependsOn = std::move(after);
        return step;
    }

    // One service with workers of 16 cores, and a clock that is moved by hand.
    struct SchedulerHarness {
        SchedulerHarness() { reset(); }

        void reset()
        {
            scheduler = std::make_unique<ServiceScheduler>(serviceName, ServiceSchedulerOptions {}, now.steady);
            QueueConfiguration queue;
            queue.name = queueName;
            queue.service = serviceName;
            queue.latencyTarget = Milliseconds { 600 };
            scheduler->setQueues({ { queueName, queue } });
        }

        void addWorker(const std::string& id)
        {
            list(id);
            report(id);
        }

        void list(const std::string& id, const std::string& rack = "r1")
        {
            WorkerInfo info;
            info.id = id;
            info.address = "10.0.0.1:80";
            info.service = serviceName;
            info.instance = "m-" + id;
            info.capacity = { 16000, 64000, 0 };
            info.labels = { "a", rack };
            info.rack = rack;
            scheduler->updateWorker(info, now.steady);
        }

        void pass(Milliseconds time)
        {
            now.steady += time;
            now.wall += time;
        }

        // What the worker shows of its runs and of new ends.
        void report(const std::string& worker, std::vector<RunProgress> running = {}, std::vector<EndedRun> ended = {})
        {
            pass(Milliseconds { 1 });
            WorkerReport lists;
            lists.clock = std::chrono::duration_cast<Milliseconds>(now.steady.time_since_epoch());
            lists.running = std::move(running);
            lists.ended = std::move(ended);
            scheduler->onReport(worker, lists, now.steady, now);
        }

        void end(const StartOrder& order, RunOutcome how)
        {
            report(order.worker, runningOn(order.worker, order.task),
                { { ++ends[order.worker], order.task, order.runNumber, how, {} } });
        }

        std::vector<RunProgress> runningOn(const std::string& worker, const TaskId& except) const
        {
            std::vector<RunProgress> rows;
            for (const auto& [id, run] : scheduler->workers().at(worker).runs)
                if (id < except || except < id)
                    rows.push_back({ id, run.number, {}, 50, 0 });
            return rows;
        }

        std::vector<StartOrder> plan()
        {
            auto orders = send();
            for (const auto& order : orders)
                scheduler->onStartResponse(order, StartRefusal::None, now);
            return orders;
        }

        // Stores and sends the planned starts; no answer has come yet.
        std::vector<StartOrder> send()
        {
            auto orders = scheduler->plan(now);
            for (const auto& record : scheduler->takeChangedRecords(now))
                store[record.key] = record.value;
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

        // A new owner reads what the earlier one has stored.
        void takeOver()
        {
            reset();
            for (const auto& [key, value] : store) {
                if (value.empty() || ServiceScheduler::isStateKey(key) || key == scheduler->unresponsiveKey())
                    continue;
                auto job = Job::decodeSpec(key, value);
                CPPUNIT_ASSERT(job);
                for (const auto& [stateKey, state] : store)
                    if (ServiceScheduler::isStateKey(stateKey) && ServiceScheduler::jobIdOfKey(stateKey) == key)
                        CPPUNIT_ASSERT(job->decodeState(state));
                scheduler->restore(std::move(*job));
            }
            for (const auto& [key, value] : store) {
                auto id = ServiceScheduler::jobIdOfKey(key);
                if (value.empty() || !ServiceScheduler::isStateKey(key) || scheduler->find(id))
                    continue;
                Job ended(id, {}, {}, {}, now.wall, 1);
                CPPUNIT_ASSERT(ended.decodeState(value));
                scheduler->restoreEnded(id, ended.status(), ended.started(), ended.endedAt());
            }
            scheduler->finishRestore(now);
            if (auto silent = store.find(scheduler->unresponsiveKey()); silent != store.end())
                scheduler->restoreUnresponsive(silent->second, now);
        }

        Now now { Instant { Milliseconds { 1000000 } }, wallTimeFromUnix(Milliseconds { 1796384956000 }) };
        std::unique_ptr<ServiceScheduler> scheduler;
        std::map<std::string, std::string> store;
        std::map<std::string, uint64_t> ends;
    };

} // namespace

class ServiceSchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServiceSchedulerTest);
    CPPUNIT_TEST(stepsRunInOrder);
    CPPUNIT_TEST(failedAttemptsEndTheJob);
    CPPUNIT_TEST(endedJobsSurviveAChangeOfOwner);
    CPPUNIT_TEST(runsSurviveAChangeOfOwner);
    CPPUNIT_TEST(lostWorkersAreWaitedOut);
    CPPUNIT_TEST(unansweredStartsAreStoppedBeforeAnotherRun);
    CPPUNIT_TEST(silentWorkersAreNotWaitedForTwice);
    CPPUNIT_TEST(cancelledJobsStartNothing);
    CPPUNIT_TEST(instancesOnTheirWayHereAreUsed);
    CPPUNIT_TEST(failuresOfCopiesCount);
    CPPUNIT_TEST(newOwnersWaitForEarlierStops);
    CPPUNIT_TEST(copiesSurviveTheAnswerToTheFirstStart);
    CPPUNIT_TEST(lateStartsAreMadeAgain);
    CPPUNIT_TEST(runsThatNobodyWantsAreStopped);
    CPPUNIT_TEST(evacuationsKeepTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starting a task before the steps that it comes after have ended.
    void stepsRunInOrder()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(2, 1000), makeStep(1, 1000, { 0 }) });
        Section section("two tasks come before a third");
        auto first = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, first.size());
        harness.end(first[0], RunOutcome::Completed);
        CPPUNIT_ASSERT(harness.plan().empty());
        harness.end(first[1], RunOutcome::Completed);
        auto last = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, last.size());
        CPPUNIT_ASSERT_EQUAL(1U, last[0].task.step);
        harness.end(last[0], RunOutcome::Completed);
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Completed);
    }

    // Guards against more runs than the queue allows.
    void failedAttemptsEndTheJob()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) }, 2);
        for (uint32_t run = 1; run <= 2; ++run) {
            auto orders = harness.plan();
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, orders.size());
            CPPUNIT_ASSERT_EQUAL(run, orders[0].runNumber);
            harness.end(orders[0], RunOutcome::Failed);
            harness.pass(Milliseconds { 500 });
        }
        CPPUNIT_ASSERT(harness.plan().empty());
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against a new owner that does not know an ended job: it took a repeated request for a new job and ran it
    // again (journal 20261204T1400, trouble-3: TWICE, BUDGET and LOST).
    void endedJobsSurviveAChangeOfOwner()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(2, 1000), makeStep(1, 1000, { 0 }) }, 1);
        auto orders = harness.plan();
        harness.end(orders[0], RunOutcome::Completed);
        harness.end(orders[1], RunOutcome::Failed);
        harness.plan();
        harness.takeOver();
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against a second run of a task that the earlier owner has started, and against forgetting its ends.
    void runsSurviveAChangeOfOwner()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(2, 1000) });
        auto orders = harness.plan();
        harness.takeOver();
        harness.list("w1");
        {
            Section section("the new owner waits for the worker's lists");
            CPPUNIT_ASSERT(harness.plan().empty());
        }
        Section section("a run that is neither listed as running nor as ended is started again with a higher number");
        harness.report("w1", { { orders[0].task, 1, {}, 10, 0 } });
        auto again = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(orders[1].task.index, again[0].task.index);
        CPPUNIT_ASSERT_EQUAL(2U, again[0].runNumber);
    }

    // Guards against two runs at once while a worker that cannot be reached may still be at work.
    void lostWorkersAreWaitedOut()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto orders = harness.plan();
        harness.scheduler->workers().at("w1").lease.extend(harness.now.steady);
        harness.scheduler->unregisterWorker("w1");
        harness.addWorker("w2");
        harness.pass(Milliseconds { 4070 }); // a lease of 4 s on a clock that is 2% slow has not lapsed
        harness.scheduler->expireLeases(harness.now);
        harness.report("w2");
        CPPUNIT_ASSERT(harness.plan().empty());
        harness.pass(Milliseconds { 250 });
        harness.scheduler->expireLeases(harness.now);
        harness.report("w2");
        auto again = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), again[0].worker);
    }

    // Guards against waiting for a silent worker anew with each change of the owner (hunt-8360-19 of the Chamber:
    // LOST).
    void silentWorkersAreNotWaitedForTwice()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        harness.plan();
        harness.scheduler->workers().at("w1").lease.extend(harness.now.steady);
        harness.scheduler->markUnresponsive("w1");
        for (int owner = 0; owner < 3; ++owner) {
            harness.plan();
            harness.pass(Milliseconds { 1900 });
            harness.takeOver();
        }
        harness.addWorker("w2");
        harness.scheduler->expireLeases(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.plan().size());
    }

    // Guards against a start that is carried out late beside another run of its task.
    void unansweredStartsAreStoppedBeforeAnotherRun()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto orders = harness.send();
        harness.scheduler->onNoStartResponse(orders[0], harness.now);
        harness.pass(Milliseconds { 500 });
        auto repeated = harness.scheduler->plan(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, repeated.size());
        CPPUNIT_ASSERT(repeated[0].resend);
        CPPUNIT_ASSERT_EQUAL(orders[0].runNumber, repeated[0].runNumber);
        CPPUNIT_ASSERT(harness.scheduler->beginStart(repeated[0], harness.now));
        harness.scheduler->onStartResponse(repeated[0], StartRefusal::Unhealthy, harness.now);
        CPPUNIT_ASSERT(harness.scheduler->plan(harness.now).empty());
        auto stops = harness.scheduler->stopsDue(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        harness.scheduler->onStopResponse(stops[0], harness.now);
        harness.report("w1");
        harness.pass(Milliseconds { 4000 });
        harness.report("w1");
        auto again = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(2U, again[0].runNumber);
    }

    // Guards against a task that stays placed for ever after its start came too late for its lease (mix 604465624989 of
    // the Chamber: LOST 25 after an outage of the store).
    void lateStartsAreMadeAgain()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto orders = harness.send();
        harness.scheduler->onStartResponse(orders[0], StartRefusal::LeaseExpired, harness.now);
        auto again = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(2U, again[0].runNumber);
    }

    // Guards against a task that counts as running without a run: it was copied away from a silent worker, whose answer
    // came afterwards (mix 189658212218 of Karoo: LOST).
    void copiesSurviveTheAnswerToTheFirstStart()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        auto step = makeStep(1, 1000);
        step.speculationAllowed = true;
        harness.add("a", { step });
        auto orders = harness.send();
        harness.scheduler->markUnresponsive("w1");
        harness.pass(Milliseconds { 1000 });
        CPPUNIT_ASSERT(harness.scheduler->plan(harness.now).empty());
        harness.scheduler->onStartResponse(orders[0], StartRefusal::None, harness.now);
        harness.addWorker("w2");
        auto copy = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, copy.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), copy[0].worker);
    }

    // Guards against runs that go on although no job asks for them: started late, of an unknown job, or given up.
    void runsThatNobodyWantsAreStopped()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        {
            Section section("of a job that is not known");
            harness.report("w1", { { { "b", 0, 0, 0 }, 1, {}, 10, 0 } });
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.scheduler->stopsDue(harness.now).size());
            harness.report("w1");
            CPPUNIT_ASSERT(harness.scheduler->workers().at("w1").runs.empty());
        }
        Section section("an older run beside a newer one of the same task");
        harness.add("a", { makeStep(1, 1000) }, 5);
        harness.end(harness.plan().at(0), RunOutcome::Failed);
        harness.pass(Milliseconds { 500 });
        auto second = harness.plan().at(0);
        CPPUNIT_ASSERT_EQUAL(2U, second.runNumber);
        harness.report("w1", { { second.task, 1, {}, 10, 0 }, { second.task, 2, {}, 10, 0 } });
        auto stops = harness.scheduler->stopsDue(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        CPPUNIT_ASSERT_EQUAL(1U, stops[0].runNumber);
    }

    // Guards against taking a lasting task away while another of its step is away: stopped before, or on a worker that
    // does not answer (journal 20261204T1412, trouble-2: AVAIL).
    void evacuationsKeepTheBudget()
    {
        SchedulerHarness harness;
        for (const char* worker : { "w1", "w2", "w3" })
            harness.addWorker(worker);
        auto step = makeStep(3, 1000);
        step.longRunning = true;
        step.maximumUnavailable = 1;
        step.maximumTasksPerWorker = 1;
        harness.add("a", { step });
        auto orders = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, orders.size());
        for (const auto& order : orders)
            harness.report(order.worker, { { order.task, 1, {}, 100, 0 } });
        harness.addWorker("w4");
        harness.addWorker("w5");
        harness.scheduler->setCordons(
            { { "m-w1", {} }, { "m-w2", "elsewhere" } }, {}, harness.now.steady + Milliseconds { 60000 });
        {
            Section section("a silent worker counts as a task that is away");
            harness.scheduler->markUnresponsive("w3");
            harness.plan();
            CPPUNIT_ASSERT(harness.scheduler->stopsDue(harness.now).empty());
            auto onThird = std::find_if(
                orders.begin(), orders.end(), [](const StartOrder& order) { return order.worker == "w3"; });
            harness.report("w3", { { onThird->task, 1, {}, 100, 0 } });
        }
        Section section("one task leaves at a time");
        harness.plan();
        auto stops = harness.scheduler->stopsDue(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        harness.report(stops[0].worker, { { stops[0].task, 1, {}, 100, 0 } });
        harness.plan();
        CPPUNIT_ASSERT(harness.scheduler->stopsDue(harness.now).empty());
    }

    // Guards against a second task of a step that leaves while the stop of the first, ordered by the earlier owner, is
    // under way and does not show yet.
    void newOwnersWaitForEarlierStops()
    {
        SchedulerHarness harness;
        for (const char* id : { "w1", "w2", "w3", "w4" })
            harness.addWorker(id);
        auto step = makeStep(2, 1000);
        step.longRunning = true;
        step.maximumUnavailable = 1;
        step.maximumTasksPerWorker = 1;
        harness.add("a", { step });
        auto orders = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, orders.size());
        for (const auto& order : orders)
            harness.report(order.worker, { { order.task, 1, {}, 100, 0 } });
        auto cordon = [&](const std::string& worker) {
            harness.scheduler->setCordons({ { "m-" + worker, {} } }, {}, harness.now.steady + Milliseconds { 60000 });
            harness.plan();
            return harness.scheduler->stopsDue(harness.now);
        };
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, cordon(orders[0].worker).size());
        harness.takeOver();
        for (const char* id : { "w1", "w2", "w3", "w4" }) {
            harness.list(id);
            auto placed = std::find_if(
                orders.begin(), orders.end(), [&](const StartOrder& order) { return order.worker == id; });
            if (placed == orders.end())
                harness.report(id);
            else
                harness.report(id, { { placed->task, 1, {}, 100, 0 } }); // also the one that is being stopped
        }
        CPPUNIT_ASSERT(cordon(orders[1].worker).empty());
        Section later("once the earlier stop would show, the task may leave");
        harness.pass(Milliseconds { 1500 });
        for (const auto& order : orders)
            harness.report(order.worker, { { order.task, 1, {}, 100, 0 } });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, cordon(orders[1].worker).size());
    }

    // Guards against starts beyond the attempts, where a run fails on a silent worker after its task has been copied.
    void failuresOfCopiesCount()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        auto step = makeStep(1, 1000);
        step.speculationAllowed = true;
        harness.add("a", { step }, 2);
        auto first = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, first.size());
        harness.scheduler->markUnresponsive("w1");
        harness.pass(Milliseconds { 1000 });
        harness.addWorker("w2");
        auto copy = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, copy.size());
        harness.report("w1", {}, { { 1, first[0].task, first[0].runNumber, RunOutcome::Failed, {} } });
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Active);
        harness.end(copy[0], RunOutcome::Failed);
        harness.pass(Milliseconds { 5000 });
        CPPUNIT_ASSERT(harness.plan().empty());
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against a new worker that stands idle because the order that brought it here still cordons its instance.
    void instancesOnTheirWayHereAreUsed()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto until = harness.now.steady + Milliseconds { 60000 };
        harness.scheduler->setCordons({ { "m-w1", "elsewhere" } }, {}, until);
        CPPUNIT_ASSERT(harness.plan().empty());
        harness.scheduler->setCordons({ { "m-w1", harness.scheduler->service() } }, {}, until);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.plan().size());
    }

    // Guards against a start whose job was cancelled while its record was being stored.
    void cancelledJobsStartNothing()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto orders = harness.scheduler->plan(harness.now);
        harness.scheduler->cancel("a", harness.now);
        CPPUNIT_ASSERT(!harness.scheduler->beginStart(orders[0], harness.now));
        CPPUNIT_ASSERT(harness.scheduler->workers().at("w1").runs.empty());
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Cancelled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceSchedulerTest);

} // namespace shallotdrift
