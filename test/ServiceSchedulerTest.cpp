#include "SchedulerHarness.h"
#include "Section.h"

#include "shallotdrift/Jobs.h"
#include "shallotdrift/src/Node/FleetProtocol.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallotdrift {

class ServiceSchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServiceSchedulerTest);
    CPPUNIT_TEST(stepsWaitForTheirDependencies);
    CPPUNIT_TEST(jobFailsAfterMaximumAttempts);
    CPPUNIT_TEST(endedJobsSurviveFailover);
    CPPUNIT_TEST(runsSurviveFailover);
    CPPUNIT_TEST(tasksOfLostWorkersWaitForLeaseExpiry);
    CPPUNIT_TEST(uncertainStartsAreStoppedBeforeTheNextRun);
    CPPUNIT_TEST(uncertainStartsAreNotRepeatedOnDrainingWorkers);
    CPPUNIT_TEST(leaseExpiryOfUnresponsiveWorkersSurvivesFailover);
    CPPUNIT_TEST(recordedLeaseExpiryHoldsUntilItsRemovalIsStored);
    CPPUNIT_TEST(recordedLeaseExpiryDoesNotDependOnTheTimeOfDay);
    CPPUNIT_TEST(startsForAFormerIncarnationAreStoppedFirst);
    CPPUNIT_TEST(nextOwnersAllowForTheLeaseOfARestartedWorker);
    CPPUNIT_TEST(runsOfAnUnseenIncarnationOutlastTheLeaseOfTheKnownOne);
    CPPUNIT_TEST(nextOwnersAllowForAnOwnerThatStillExtendsLeases);
    CPPUNIT_TEST(nextOwnersAllowForALongLeaseAfterTheFirstReport);
    CPPUNIT_TEST(removedWorkersAreStillKnownToTheirOwner);
    CPPUNIT_TEST(doubtEndsWhenTheStartCannotArriveAnyMore);
    CPPUNIT_TEST(completedRunsCountAfterTheirTaskWasStartedAgain);
    CPPUNIT_TEST(cancelledJobsAreNotStarted);
    CPPUNIT_TEST(runsOfCompletedGangsAreStoppedAfterARestart);
    CPPUNIT_TEST(failuresCountAfterTheLeaseOfTheirWorkerHasExpired);
    CPPUNIT_TEST(cordonsExemptTheNewServiceOfAnInstance);
    CPPUNIT_TEST(cordonedInstancesAreEmptyOnceNextOwnersKnowTheCordon);
    CPPUNIT_TEST(formerManagersEndNoCordons);
    CPPUNIT_TEST(dueOccurrencesAreOpenedWithinALimit);
    CPPUNIT_TEST(failuresOfSupersededRunsCount);
    CPPUNIT_TEST(failuresAreCountedOnceAroundAHandOver);
    CPPUNIT_TEST(failedRunsOfAGangCountOnce);
    CPPUNIT_TEST(failedRunsOfAGangCountOnceInOlderRecords);
    CPPUNIT_TEST(jobsArePendingUntilAWorkerHasStartedATask);
    CPPUNIT_TEST(startsWithoutAResponseCountOnceTheyAreReported);
    CPPUNIT_TEST(startedJobsSurviveFailover);
    CPPUNIT_TEST(jobsWithPlacedTasksKeepTheirOrder);
    CPPUNIT_TEST(workersThatWereOnlySilentKeepTheirRuns);
    CPPUNIT_TEST(evictionsWaitForStopsOfThePreviousOwner);
    CPPUNIT_TEST(lateResponseDoesNotCancelSpeculation);
    CPPUNIT_TEST(supersededRunsKeepTheirRoomUntilTheyEnd);
    CPPUNIT_TEST(startsAfterLeaseExpiryAreRepeated);
    CPPUNIT_TEST(unexpectedRunsAreStopped);
    CPPUNIT_TEST(truncatedListsOfEndsEndNoOtherRuns);
    CPPUNIT_TEST(evictionsRespectMaximumUnavailable);
    CPPUNIT_TEST(statesOfLargeJobsAreSplit);
    CPPUNIT_TEST(jobsWhoseRecordsAreRefusedFail);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starting a task before the steps that it depends on are completed.
    void stepsWaitForTheirDependencies()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(2, 1000), makeStep(1, 1000, { 0 }) });
        Section section("the task of the second step waits for both tasks of the first step");
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

    // Guards against more failed runs of a task than the queue allows.
    void jobFailsAfterMaximumAttempts()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) }, 2);
        for (uint32_t run = 1; run <= 2; ++run) {
            auto orders = harness.plan();
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, orders.size());
            CPPUNIT_ASSERT_EQUAL(run, orders[0].runNumber);
            harness.end(orders[0], RunOutcome::Failed);
            harness.advance(Milliseconds { 500 });
        }
        CPPUNIT_ASSERT(harness.plan().empty());
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against a new owner that does not know an ended job: it took a retried submission for a new job and ran
    // the job again.
    void endedJobsSurviveFailover()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(2, 1000), makeStep(1, 1000, { 0 }) }, 1);
        auto orders = harness.plan();
        harness.end(orders[0], RunOutcome::Completed);
        harness.end(orders[1], RunOutcome::Failed);
        harness.plan();
        harness.failOver();
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against a new owner that starts a second run of a task while the run of the previous owner may be active,
    // or that misses the end of such a run.
    void runsSurviveFailover()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(2, 1000) });
        auto orders = harness.plan();
        harness.failOver();
        harness.registerWorker("w1");
        {
            Section section("the new owner waits for the worker's report");
            CPPUNIT_ASSERT(harness.plan().empty());
        }
        Section section("a run that is reported neither as running nor as ended is repeated with a higher number");
        harness.report("w1", { { orders[0].task, 1, {}, 10, 0 } });
        auto again = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(orders[1].task.index, again[0].task.index);
        CPPUNIT_ASSERT_EQUAL(2U, again[0].runNumber);
    }

    // Guards against two simultaneous runs of a task: a lost worker may continue a run until its lease expires.
    void tasksOfLostWorkersWaitForLeaseExpiry()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto orders = harness.plan();
        harness.scheduler->workers().at("w1").lease.extend(harness.now.steady);
        harness.scheduler->unregisterWorker("w1");
        harness.addWorker("w2");
        harness.advance(Milliseconds { 4070 }); // a lease of 4 s on a clock that is 2% slow has not expired
        harness.scheduler->expireLeases(harness.now);
        harness.report("w2");
        CPPUNIT_ASSERT(harness.plan().empty());
        harness.advance(Milliseconds { 250 });
        harness.scheduler->expireLeases(harness.now);
        harness.report("w2");
        auto again = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), again[0].worker);
    }

    // Guards against new owners that each wait for a whole lease of an unresponsive worker, although previous owners
    // have waited for part of it: the job was lost when failovers followed each other.
    void leaseExpiryOfUnresponsiveWorkersSurvivesFailover()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        harness.plan();
        harness.scheduler->workers().at("w1").lease.extend(harness.now.steady);
        harness.scheduler->markUnresponsive("w1");
        for (int owner = 0; owner < 3; ++owner) {
            for (int cycle = 0; cycle < 19; ++cycle) {
                harness.plan();
                harness.advance(Milliseconds { 100 });
            }
            harness.failOver();
        }
        harness.addWorker("w2");
        harness.scheduler->expireLeases(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.plan().size());
    }

    // Guards against starting a task on a worker that has been draining for long: a start without a response was sent
    // to it again and again.
    void uncertainStartsAreNotRepeatedOnDrainingWorkers()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto first = harness.send().at(0);
        harness.scheduler->onNoStartResponse(first, harness.now);
        harness.registerWorker("w1", "r1", true);
        harness.addWorker("w2");
        harness.advance(Milliseconds { 500 });
        CPPUNIT_ASSERT(harness.send().empty());
        auto stops = harness.scheduler->stopsDue(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), stops[0].worker);
        harness.scheduler->onStopResponse(stops[0], harness.now);
        harness.report("w1");
        CPPUNIT_ASSERT(harness.plan().empty()); // the start may still reach another incarnation
        harness.advance(LeaseOptions {}.lateCallLimit);
        harness.report("w1");
        harness.report("w2");
        auto second = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, second.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), second[0].worker);
    }

    // Guards against two simultaneous runs of a task: a worker was silent, so its lease expiry was stored. It responded
    // again and its lease was extended, but the owner lost the store before it could remove the record, and the next
    // owner started the task elsewhere at the recorded time.
    void recordedLeaseExpiryHoldsUntilItsRemovalIsStored()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto first = harness.plan().at(0);
        std::vector<RunProgress> running { { first.task, first.runNumber, {}, 50, 0 } };
        harness.report("w1", running);
        harness.scheduler->workers().at("w1").lease.extend(harness.now.steady);
        Instant previousExpiry;
        auto respondAgain = [&] {
            harness.advance(Milliseconds { 1000 });
            harness.report("w1", running);
            auto& worker = harness.scheduler->workers().at("w1");
            if (worker.mayExtendLease())
                worker.lease.extend(harness.now.steady);
            previousExpiry = worker.lease.expiresAt();
            harness.scheduler->takeChangedRecords(harness.now); // never stored
        };
        auto nextOwnerWaits = [&] {
            harness.failOver();
            harness.registerWorker("w2");
            for (;;) {
                harness.advance(Milliseconds { 50 });
                harness.report("w2");
                harness.scheduler->expireLeases(harness.now);
                if (!harness.send().empty())
                    break;
                CPPUNIT_ASSERT(harness.now.steady < previousExpiry + Milliseconds { 8000 });
            }
            CPPUNIT_ASSERT(harness.now.steady >= previousExpiry);
        };
        harness.scheduler->markUnresponsive("w1");
        harness.send();
        auto stored = harness.store;
        {
            Section section("after the owner that stored the record");
            respondAgain();
            nextOwnerWaits();
        }
        harness.store = stored;
        {
            Section section("after an owner that only read the record");
            harness.failOver();
            harness.registerWorker("w1");
            respondAgain();
            nextOwnerWaits();
        }
        Section section("the lease is extended again once the removal is stored");
        harness.store = stored;
        harness.failOver();
        harness.registerWorker("w1");
        harness.report("w1", running);
        CPPUNIT_ASSERT(!harness.scheduler->workers().at("w1").mayExtendLease());
        harness.send();
        CPPUNIT_ASSERT(harness.scheduler->workers().at("w1").mayExtendLease());
    }

    // Guards against two simultaneous runs of a task: the expiry of a lease was stored as time of day, and the clock of
    // the next owner was ahead, so it started the task elsewhere too early.
    void recordedLeaseExpiryDoesNotDependOnTheTimeOfDay()
    {
        for (auto clockStep : { Milliseconds { -3000 }, Milliseconds { 3000 } }) {
            Section section(fmt::format("clock step of {} ms", clockStep.count()));
            SchedulerHarness harness;
            harness.addWorker("w1");
            harness.add("a", { makeStep(1, 1000) });
            harness.plan();
            auto& lease = harness.scheduler->workers().at("w1").lease;
            lease.extend(harness.now.steady);
            auto expiry = lease.expiresAt();
            harness.scheduler->markUnresponsive("w1");
            harness.send();
            harness.now.wall += clockStep;
            harness.failOver();
            harness.registerWorker("w2");
            do {
                harness.advance(Milliseconds { 50 });
                harness.report("w2");
                harness.scheduler->expireLeases(harness.now);
                CPPUNIT_ASSERT(harness.now.steady < expiry + Milliseconds { 200 });
            } while (harness.send().empty());
            CPPUNIT_ASSERT(harness.now.steady >= expiry);
        }
    }

    // Guards against two simultaneous runs of a task: a worker lost its power and started again under its id. It
    // accepted starts that were meant for its former incarnation, while the owner took all runs of that incarnation for
    // ended and started their tasks elsewhere.
    void startsForAFormerIncarnationAreStoppedFirst()
    {
        SchedulerHarness harness;
        harness.bootTimes["w1"] = 1;
        harness.addWorker("w1");
        harness.add("a", { makeStep(4, 1000) });
        auto orders = harness.send();
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, orders.size());
        auto& scheduler = *harness.scheduler;
        scheduler.onStartResponse(orders[0], StartRefusal::None, harness.now);
        for (size_t i = 1; i < 3; ++i)
            scheduler.onNoStartResponse(orders[i], harness.now);
        harness.report("w1", { { orders[0].task, 1, {}, 10, 0 } });
        scheduler.markUnresponsive("w1");
        harness.addWorker("w2");
        {
            Section section("no start is sent again while the worker does not respond");
            harness.advance(Milliseconds { 600 });
            harness.report("w2");
            CPPUNIT_ASSERT(harness.send().empty());
        }
        harness.bootTimes["w1"] = 2;
        std::vector<RunProgress> running { { orders[1].task, 1, {}, 10, 0 } };
        harness.report("w1", running);
        auto heardOfAt = harness.now.steady;
        {
            Section section("only the task of the run that had begun is started again at once");
            auto again = harness.plan();
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
            CPPUNIT_ASSERT_EQUAL(orders[0].task.index, again[0].task.index);
            if (again[0].worker == "w1")
                running.push_back({ again[0].task, again[0].runNumber, {}, 10, 0 });
        }
        {
            Section section("the run that the new incarnation has begun continues, the others are stopped");
            auto stops = scheduler.stopsDue(harness.now);
            CPPUNIT_ASSERT_EQUAL(size_t { 2 }, stops.size());
            for (size_t i = 0; i < 2; ++i) {
                CPPUNIT_ASSERT_EQUAL(orders[i + 2].task.index, stops[i].task.index);
                scheduler.onStopResponse(stops[i], harness.now);
            }
            harness.report("w1", running);
            CPPUNIT_ASSERT(harness.plan().empty()); // a start may still reach another incarnation
            harness.advance(LeaseOptions {}.lateCallLimit);
            for (auto& run : running)
                run.progressPercent = 20; // without progress the worker would be quarantined
            harness.report("w1", running);
            auto again = harness.plan();
            CPPUNIT_ASSERT_EQUAL(size_t { 2 }, again.size());
            for (const auto& order : again)
                CPPUNIT_ASSERT_EQUAL(2U, order.runNumber);
        }
        Section section("the new incarnation may have taken a lease end of the former clock");
        CPPUNIT_ASSERT(scheduler.workers().at("w1").lease.expiresAt() > heardOfAt + Milliseconds { 10000 });
    }

    // Guards against two simultaneous runs of a task: a worker started again under its id and took a lease end that was
    // meant for its former incarnation. The owner knew of the longer lease, but the next owner did not.
    void nextOwnersAllowForTheLeaseOfARestartedWorker()
    {
        SchedulerHarness harness;
        harness.bootTimes["w1"] = 1;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        harness.plan();
        harness.bootTimes["w1"] = 2;
        auto leaseEnd = harness.now.steady + longestLease;
        harness.report("w1");
        auto again = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        harness.scheduler->workers().at("w1").lease.extend(harness.now.steady);
        harness.report("w1", { { again[0].task, again[0].runNumber, {}, 10, 0 } });
        harness.advance(Milliseconds { 1000 });
        harness.failOver();
        CPPUNIT_ASSERT(harness.timeUntilNextStart() > Milliseconds { 0 });
        CPPUNIT_ASSERT(harness.now.steady >= leaseEnd);
    }

    // Guards against two simultaneous runs of a task: a start without a response was carried out by the next
    // incarnation of its worker, which the owner did not hear of. The lease of the former incarnation says nothing
    // about that run.
    void runsOfAnUnseenIncarnationOutlastTheLeaseOfTheKnownOne()
    {
        static constexpr Milliseconds executionDelay { 1000 };
        for (bool ownerChanges : { false, true }) {
            Section section(ownerChanges ? "the next owner" : "the owner that sent the start");
            SchedulerHarness harness;
            harness.bootTimes["w1"] = 1;
            harness.addWorker("w1");
            harness.add("a", { makeStep(1, 1000) });
            auto order = harness.send().at(0);
            harness.scheduler->workers().at("w1").lease.extend(harness.now.steady);
            auto leaseEnd = harness.now.steady + executionDelay + longestLease;
            harness.advance(Milliseconds { 700 });
            harness.scheduler->onNoStartResponse(order, harness.now);
            harness.scheduler->markUnresponsive("w1");
            harness.send();
            if (ownerChanges) {
                harness.advance(Milliseconds { 1500 });
                harness.send();
                harness.failOver();
            }
            harness.timeUntilNextStart();
            CPPUNIT_ASSERT(harness.now.steady >= leaseEnd);
        }
    }

    // Guards against two simultaneous runs of a task: the store assigned all partitions anew while an owner was cut off
    // from it. That owner extended leases until 3.5 s after its last confirmed join.
    void nextOwnersAllowForAnOwnerThatStillExtendsLeases()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        harness.plan();
        harness.send();
        auto& formerLease = harness.scheduler->workers().at("w1").lease;
        auto extendedAt = harness.now.steady + Milliseconds { 3500 };
        formerLease.sampleClock(std::chrono::duration_cast<Milliseconds>(extendedAt.time_since_epoch()), extendedAt);
        formerLease.extend(extendedAt);
        auto leaseEnd = formerLease.expiresAt();
        harness.failOver();
        harness.timeUntilNextStart();
        CPPUNIT_ASSERT(harness.now.steady >= leaseEnd);
    }

    // Guards against two simultaneous runs of a task: a new owner heard of a worker once, whose former owner had not
    // noticed that it had started again. The worker held the longest lease, of a call for its former incarnation.
    void nextOwnersAllowForALongLeaseAfterTheFirstReport()
    {
        SchedulerHarness harness;
        harness.bootTimes["w1"] = 1;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto order = harness.send().at(0);
        harness.scheduler->onNoStartResponse(order, harness.now);
        harness.bootTimes["w1"] = 2;
        auto leaseEnd = harness.now.steady + longestLease;
        harness.failOver();
        harness.registerWorker("w1");
        harness.report("w1", { { order.task, order.runNumber, {}, 10, 0 } });
        harness.timeUntilNextStart();
        CPPUNIT_ASSERT(harness.now.steady >= leaseEnd);
    }

    // Guards against a run of a cancelled job that no stop ends: its task was completed when the run began.
    void runsOfCompletedGangsAreStoppedAfterARestart()
    {
        SchedulerHarness harness;
        harness.bootTimes["w1"] = 1;
        harness.bootTimes["w2"] = 1;
        harness.addWorker("w1");
        harness.addWorker("w2");
        auto gang = makeStep(2, 9000);
        gang.gang = true;
        harness.add("a", { gang, makeStep(1, 16000, { 0 }) });
        auto orders = harness.send();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, orders.size());
        auto& scheduler = *harness.scheduler;
        scheduler.onStartResponse(orders[0], StartRefusal::None, harness.now);
        scheduler.onNoStartResponse(orders[1], harness.now);
        harness.advance(Milliseconds { 500 });
        auto repeated = harness.send();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, repeated.size());
        scheduler.onStartResponse(repeated[0], StartRefusal::None, harness.now);
        harness.end(orders[0], RunOutcome::Completed);
        harness.bootTimes[orders[1].worker] = 2;
        harness.report(orders[1].worker, { { orders[1].task, orders[1].runNumber, {}, 0, 0 } });
        CPPUNIT_ASSERT(scheduler.cancel("a", harness.now));
        auto stops = scheduler.stopsDue(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        CPPUNIT_ASSERT_EQUAL(orders[1].worker, stops[0].worker);
    }

    // Guards against a start after the last permitted failure, which a worker reports after its lease has expired.
    void failuresCountAfterTheLeaseOfTheirWorkerHasExpired()
    {
        SchedulerHarness harness;
        auto order = harness.startSingleTask(false);
        auto& scheduler = *harness.scheduler;
        scheduler.markUnresponsive("w1");
        harness.advance(Milliseconds { 20000 });
        scheduler.expireLeases(harness.now);
        CPPUNIT_ASSERT(scheduler.find("a")->findTask(order.task)->worker.empty());
        harness.report("w1", {}, { { 1, order.task, order.runNumber, RunOutcome::Failed, {} } });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, scheduler.find("a")->findTask(order.task)->failedRuns.size());
    }

    // Guards against an owner that is fenced by itself, or that takes a long lease for expired: it forgot a worker that
    // was missing in the registry for some seconds.
    void removedWorkersAreStillKnownToTheirOwner()
    {
        SchedulerHarness harness;
        harness.bootTimes["w1"] = 1;
        harness.addWorker("w1");
        harness.bootTimes["w1"] = 2;
        harness.report("w1");
        auto& scheduler = *harness.scheduler;
        auto stage = scheduler.workers().at("w1").lease.stage();
        CPPUNIT_ASSERT_EQUAL(1U, stage);
        scheduler.workers().at("w1").lease.extend(harness.now.steady);
        auto longest = harness.now.steady + longestLease;
        scheduler.unregisterWorker("w1");
        while (scheduler.workers().count("w1") != 0) {
            harness.advance(Milliseconds { 100 });
            scheduler.expireLeases(harness.now);
        }
        CPPUNIT_ASSERT(harness.now.steady >= longest);
        harness.registerWorker("w1");
        CPPUNIT_ASSERT_EQUAL(stage, scheduler.workers().at("w1").lease.stage());
    }

    // Guards against a lasting task that is started again too late: its first start order got no response, so it
    // counted as possibly started by an unknown incarnation for good.
    void doubtEndsWhenTheStartCannotArriveAnyMore()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto order = harness.send().at(0);
        harness.scheduler->onNoStartResponse(order, harness.now);
        std::vector<RunProgress> running { { order.task, order.runNumber, {}, 10, 0 } };
        const auto& run = harness.scheduler->workers().at("w1").runs.at(order.task);
        harness.report("w1", running);
        CPPUNIT_ASSERT(run.doubtful());
        harness.advance(LeaseOptions {}.lateCallLimit);
        harness.report("w1", running);
        CPPUNIT_ASSERT(!run.doubtful());
    }

    // Guards against a start after a run has completed: the run's lease was taken for expired, so its end was ignored.
    void completedRunsCountAfterTheirTaskWasStartedAgain()
    {
        SchedulerHarness harness;
        auto first = harness.startSingleTask(false);
        harness.addWorker("w2");
        harness.scheduler->markUnresponsive("w1");
        harness.advance(Milliseconds { 20000 });
        harness.report("w2");
        harness.scheduler->expireLeases(harness.now);
        auto second = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, second.size());
        harness.report("w1", {}, { { 1, first.task, first.runNumber, RunOutcome::Completed, {} } });
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Completed);
        auto stops = harness.scheduler->stopsDue(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        CPPUNIT_ASSERT_EQUAL(second[0].worker, stops[0].worker);
    }

    // Guards against a start without a response that takes effect late, beside another run of the same task.
    void uncertainStartsAreStoppedBeforeTheNextRun()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto orders = harness.send();
        harness.scheduler->onNoStartResponse(orders[0], harness.now);
        harness.advance(Milliseconds { 500 });
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
        harness.advance(Milliseconds { 4000 });
        harness.report("w1");
        auto again = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(2U, again[0].runNumber);
    }

    // Guards against tasks that stay placed forever because the worker refused their starts, which were sent with a
    // lease end that had already passed. After an outage of the store, 25 tasks were lost in this way.
    void startsAfterLeaseExpiryAreRepeated()
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

    // Guards against a task that counts as running and is not placed again. Its worker became unresponsive, so the
    // task was released for a speculative run; the worker's response to the first start arrived only afterwards.
    void lateResponseDoesNotCancelSpeculation()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        auto step = makeStep(1, 1000);
        step.speculationAllowed = true;
        harness.add("a", { step });
        auto orders = harness.send();
        harness.scheduler->markUnresponsive("w1");
        harness.advance(Milliseconds { 1000 });
        CPPUNIT_ASSERT(harness.scheduler->plan(harness.now).empty());
        harness.scheduler->onStartResponse(orders[0], StartRefusal::None, harness.now);
        harness.addWorker("w2");
        auto speculative = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, speculative.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), speculative[0].worker);
    }

    // Guards against room on a worker that is never free again, so that a job stays queued beside an idle worker: a
    // task was released for a speculative run, which was placed on the same worker and replaced the entry of the
    // first run.
    void supersededRunsKeepTheirRoomUntilTheyEnd()
    {
        SchedulerHarness harness;
        auto first = harness.startSingleTask(true);
        harness.scheduler->markUnresponsive("w1");
        harness.advance(Milliseconds { 1000 });
        CPPUNIT_ASSERT(harness.plan().empty());
        harness.report("w1", { { first.task, first.runNumber, {}, 50, 0 } });
        CPPUNIT_ASSERT(harness.plan().empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.scheduler->stopsDue(harness.now).size());
        harness.end(first, RunOutcome::Stopped);
        auto second = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, second.size());
        harness.end(second[0], RunOutcome::Completed);
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Completed);
        CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, harness.scheduler->workers().at("w1").allocated.milliCores);
    }

    // Guards against unneeded runs that are not stopped: runs that started late, belong to an unknown job or have
    // been superseded.
    void unexpectedRunsAreStopped()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        {
            Section section("a run of an unknown job");
            harness.report("w1", { { { "b", 0, 0, 0 }, 1, {}, 10, 0 } });
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.scheduler->stopsDue(harness.now).size());
            harness.report("w1");
            CPPUNIT_ASSERT(harness.scheduler->workers().at("w1").runs.empty());
        }
        Section section("an older run beside a newer one of the same task");
        harness.add("a", { makeStep(1, 1000) }, 5);
        harness.end(harness.plan().at(0), RunOutcome::Failed);
        harness.advance(Milliseconds { 500 });
        auto second = harness.plan().at(0);
        CPPUNIT_ASSERT_EQUAL(2U, second.runNumber);
        harness.report("w1", { { second.task, 1, {}, 10, 0 }, { second.task, 2, {}, 10, 0 } });
        auto stops = harness.scheduler->stopsDue(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        CPPUNIT_ASSERT_EQUAL(1U, stops[0].runNumber);
    }

    // Guards against starting completed tasks again: while the store was down, more runs ended on a worker than one
    // report lists, and those that it left out were taken for stopped.
    void truncatedListsOfEndsEndNoOtherRuns()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(3, 1000) });
        auto orders = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, orders.size());
        WorkerReport report;
        auto apply = [&] {
            harness.advance(Milliseconds { 10 });
            report.clock = std::chrono::duration_cast<Milliseconds>(harness.now.steady.time_since_epoch());
            harness.scheduler->onReport("w1", report, { harness.now.steady }, harness.now);
        };
        for (size_t i = 0; i < 2; ++i)
            report.ended.push_back({ i + 1, orders[i].task, orders[i].runNumber, RunOutcome::Completed, {} });
        report.endsTruncated = true;
        apply();
        CPPUNIT_ASSERT(harness.plan().empty());
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Active);
        report.ended = { { 3, orders[2].task, orders[2].runNumber, RunOutcome::Completed, {} } };
        report.endsTruncated = false;
        apply();
        CPPUNIT_ASSERT(harness.plan().empty());
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Completed);
    }

    // Guards against evicting a long-running task while another task of its step is unavailable, because that task
    // is being stopped or its worker is unresponsive.
    void evictionsRespectMaximumUnavailable()
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
            Section section("a task on an unresponsive worker is unavailable");
            harness.scheduler->markUnresponsive("w3");
            harness.plan();
            CPPUNIT_ASSERT(harness.scheduler->stopsDue(harness.now).empty());
            auto onThird = std::find_if(
                orders.begin(), orders.end(), [](const StartOrder& order) { return order.worker == "w3"; });
            harness.report("w3", { { onThird->task, 1, {}, 100, 0 } });
        }
        Section section("tasks are evicted one at a time");
        harness.plan();
        auto stops = harness.scheduler->stopsDue(harness.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, stops.size());
        harness.report(stops[0].worker, { { stops[0].task, 1, {}, 100, 0 } });
        harness.plan();
        CPPUNIT_ASSERT(harness.scheduler->stopsDue(harness.now).empty());
    }

    // Guards against evicting a second task of a step while the first one is being stopped. The previous owner
    // ordered that stop, and reports do not show it yet.
    void evictionsWaitForStopsOfThePreviousOwner()
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
        harness.failOver();
        for (const char* id : { "w1", "w2", "w3", "w4" }) {
            harness.registerWorker(id);
            auto placed = std::find_if(
                orders.begin(), orders.end(), [&](const StartOrder& order) { return order.worker == id; });
            if (placed == orders.end())
                harness.report(id);
            else
                harness.report(id, { { placed->task, 1, {}, 100, 0 } }); // including the run that is being stopped
        }
        CPPUNIT_ASSERT(cordon(orders[1].worker).empty());
        Section settled("the task is evicted once reports show the earlier stop");
        harness.advance(Milliseconds { 1500 });
        for (const auto& order : orders)
            harness.report(order.worker, { { order.task, 1, {}, 100, 0 } });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, cordon(orders[1].worker).size());
    }

    // Guards against more failed runs than the queue allows: a run on an unresponsive worker may fail after the
    // speculative run of its task has started, and has to count.
    void failuresOfSupersededRunsCount()
    {
        SchedulerHarness harness;
        auto first = harness.startSingleTask(true);
        harness.scheduler->markUnresponsive("w1");
        harness.advance(Milliseconds { 1000 });
        harness.addWorker("w2");
        auto speculative = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, speculative.size());
        harness.report("w1", {}, { { 1, first.task, first.runNumber, RunOutcome::Failed, {} } });
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Active);
        harness.end(speculative[0], RunOutcome::Failed);
        harness.advance(Milliseconds { 5000 });
        CPPUNIT_ASSERT(harness.plan().empty());
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against starting the runs of a worker again elsewhere, or giving them up, because the worker was
    // silent or its registry entry missing for less than its lease.
    void workersThatWereOnlySilentKeepTheirRuns()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        auto longRunning = makeStep(1, 1000);
        longRunning.longRunning = true;
        harness.add("a", { makeStep(2, 1000) });
        harness.add("b", { longRunning });
        auto orders = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, orders.size());
        std::vector<RunProgress> running;
        running.reserve(orders.size());
        for (const auto& order : orders)
            running.push_back({ order.task, order.runNumber, {}, 50, 0 });
        harness.report("w1", running);
        harness.scheduler->workers().at("w1").lease.extend(harness.now.steady);
        harness.addWorker("w2");
        harness.scheduler->markUnresponsive("w1");
        harness.scheduler->unregisterWorker("w1");
        for (int i = 0; i < 30; ++i) {
            harness.advance(Milliseconds { 100 });
            harness.report("w2");
            harness.scheduler->expireLeases(harness.now);
            CPPUNIT_ASSERT(harness.plan().empty());
            CPPUNIT_ASSERT(harness.scheduler->stopsDue(harness.now).empty());
        }
        harness.registerWorker("w1");
        harness.report("w1", running);
        CPPUNIT_ASSERT(harness.plan().empty());
        CPPUNIT_ASSERT(harness.scheduler->stopsDue(harness.now).empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, harness.scheduler->workers().at("w1").runs.size());
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Active);
    }

    // Guards against a job that is shown as failed after fewer failed runs than the queue allows: an owner stored a
    // failure and was replaced before it had acknowledged it, so the worker reported the failure to the next owner,
    // which counted it again. The owner is cut off at each step of that exchange.
    void failuresAreCountedOnceAroundAHandOver()
    {
        enum class Cut : uint8_t { BeforeReport, BeforeStore, AfterStore, AfterNextStart };
        for (bool speculationAllowed : { false, true })
            for (auto cut : { Cut::BeforeReport, Cut::BeforeStore, Cut::AfterStore, Cut::AfterNextStart }) {
                Section section(fmt::format("cut {}, speculation {}", static_cast<int>(cut), speculationAllowed));
                SchedulerHarness harness;
                auto first = harness.startSingleTask(speculationAllowed);
                std::vector<EndedRun> unacknowledged { { 1, first.task, 1, RunOutcome::Failed, {} } };
                if (cut != Cut::BeforeReport)
                    harness.report("w1", {}, unacknowledged);
                std::vector<RunProgress> running;
                if (cut == Cut::AfterStore)
                    harness.send(); // the task still waits for its backoff
                if (cut == Cut::AfterNextStart) {
                    harness.advance(Milliseconds { 500 });
                    CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.plan().size());
                    running.push_back({ first.task, 2, {}, 50, 0 });
                }
                harness.failOver();
                harness.registerWorker("w1");
                harness.report("w1", running, unacknowledged);
                CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Active);
                harness.advance(Milliseconds { 500 });
                auto second = harness.plan();
                CPPUNIT_ASSERT_EQUAL(size_t { running.empty() ? 1U : 0U }, second.size());
                harness.report("w1", {}, { { 2, first.task, 2, RunOutcome::Failed, {} } });
                CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Failed);
            }
    }

    // Guards against a job that is shown as failed after its gang has failed once: each member that reported the
    // same run as failed counted as an attempt.
    void failedRunsOfAGangCountOnce()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        auto gang = makeStep(3, 1000);
        gang.gang = true;
        harness.add("a", { gang }, 3);
        auto failNextRun = [&](uint32_t number, const std::vector<RunOutcome>& outcomes) {
            harness.advance(Milliseconds { 7000 }); // past the backoff and the quarantine of the worker
            harness.report("w1");
            auto orders = harness.plan();
            CPPUNIT_ASSERT_EQUAL(outcomes.size(), orders.size());
            for (size_t index = 0; index < orders.size(); ++index) {
                CPPUNIT_ASSERT_EQUAL(number, orders[index].runNumber);
                harness.end(orders[index], outcomes[index]);
            }
        };
        {
            Section section("a run that all members report as failed is one attempt");
            failNextRun(1, { RunOutcome::Failed, RunOutcome::Failed, RunOutcome::Failed });
            CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Active);
        }
        {
            Section section("a run that one member reports as failed is one attempt");
            failNextRun(2, { RunOutcome::GangBroken, RunOutcome::Failed, RunOutcome::GangBroken });
            CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Active);
        }
        {
            Section section("a next owner counts the failed runs as before");
            harness.plan();
            harness.failOver();
            harness.addWorker("w1");
            failNextRun(3, { RunOutcome::GangBroken, RunOutcome::GangBroken, RunOutcome::Failed });
            CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Failed);
        }
    }

    // Guards against members of a gang that count the same failed run more than once, where an older record has
    // only the number of failures of each member.
    void failedRunsOfAGangCountOnceInOlderRecords()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        auto gang = makeStep(2, 1000);
        gang.gang = true;
        harness.add("a", { gang }, 3);
        auto orders = harness.plan();
        harness.end(orders[0], RunOutcome::Failed);
        harness.end(orders[1], RunOutcome::Failed);
        harness.send();
        auto& record = harness.store["a~"];
        auto state = nlohmann::json::from_msgpack(record);
        for (auto& task : state[7])
            for (size_t column : { 9, 8 }) // the number of the start and those of the failed runs
                task.erase(column);
        record.clear();
        nlohmann::json::to_msgpack(state, nlohmann::detail::output_adapter<char>(record));
        harness.failOver();
        harness.addWorker("w1");
        for (uint32_t number = 2; number <= 3; ++number) {
            CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Active);
            harness.advance(Milliseconds { 7000 });
            harness.report("w1");
            orders = harness.plan();
            CPPUNIT_ASSERT_EQUAL(size_t { 2 }, orders.size());
            CPPUNIT_ASSERT_EQUAL(number, orders[0].runNumber);
            harness.end(orders[0], RunOutcome::Failed);
            harness.end(orders[1], RunOutcome::Failed);
        }
        CPPUNIT_ASSERT(harness.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against jobs that count as started although none of their tasks has begun: they were placed on a
    // worker that refused the starts, and Pending was 0 while six jobs had waited for 5 s.
    void jobsArePendingUntilAWorkerHasStartedATask()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(2, 1000) });
        auto orders = harness.send();
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, orders.size());
        {
            Section section("placed tasks, no response yet");
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.pending());
            CPPUNIT_ASSERT(!harness.shownAsRunning("a"));
        }
        for (auto refusal : { StartRefusal::Unhealthy, StartRefusal::StaleRun }) {
            Section section(fmt::format("refusal {}", static_cast<int>(refusal)));
            harness.scheduler->onStartResponse(
                orders[refusal == StartRefusal::Unhealthy ? 0 : 1], refusal, harness.now);
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.pending());
            CPPUNIT_ASSERT(!harness.shownAsRunning("a"));
        }
        {
            Section section("the second run is started");
            harness.addWorker("w2");
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.plan().size());
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, harness.pending());
            CPPUNIT_ASSERT(harness.shownAsRunning("a"));
        }
    }

    // Guards against jobs that count as waiting although a worker has started them, since the response to the start
    // was lost or late.
    void startsWithoutAResponseCountOnceTheyAreReported()
    {
        for (bool ended : { false, true })
            for (bool expired : { false, true }) {
                Section section(fmt::format("ended {}, lease expired {}", ended, expired));
                SchedulerHarness harness;
                harness.addWorker("w1");
                harness.add("a", { makeStep(2, 1000) });
                auto orders = harness.send();
                harness.scheduler->onNoStartResponse(orders[0], harness.now);
                CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.pending());
                if (expired) { // the run is not expected any more
                    harness.scheduler->endAllRuns("w1", harness.now);
                    CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.pending());
                }
                if (ended)
                    harness.report("w1", {}, { { 1, orders[0].task, 1, RunOutcome::GangBroken, {} } });
                else
                    harness.report("w1", { { orders[0].task, 1, {}, 0, 0 } });
                CPPUNIT_ASSERT_EQUAL(size_t { 0 }, harness.pending());
                CPPUNIT_ASSERT(harness.shownAsRunning("a"));
            }
        {
            Section section("the response arrives after the lease has expired");
            SchedulerHarness harness;
            harness.addWorker("w1");
            harness.add("a", { makeStep(1, 1000) });
            auto orders = harness.send();
            harness.scheduler->endAllRuns("w1", harness.now);
            harness.scheduler->onStartResponse(orders[0], StartRefusal::None, harness.now);
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, harness.pending());
        }
    }

    // Guards against a next owner that counts a waiting job as started because it was placed, or shows a job as
    // queued that has run.
    void startedJobsSurviveFailover()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.add("a", { makeStep(1, 1000) });
        auto orders = harness.send();
        auto failOver = [&] {
            harness.failOver();
            harness.registerWorker("w1");
        };
        {
            Section section("the first report decides on a placed job");
            failOver();
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.pending());
            CPPUNIT_ASSERT(harness.shownAsRunning("a"));
            {
                Section nested("not on the worker");
                harness.report("w1");
                CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.pending());
                CPPUNIT_ASSERT(!harness.shownAsRunning("a"));
                orders = harness.send();
                CPPUNIT_ASSERT_EQUAL(size_t { 1 }, orders.size());
                CPPUNIT_ASSERT(!harness.shownAsRunning("a"));
            }
            failOver();
            {
                Section nested("running");
                harness.report("w1", { { orders[0].task, orders[0].runNumber, {}, 0, 0 } });
                CPPUNIT_ASSERT_EQUAL(size_t { 0 }, harness.pending());
                CPPUNIT_ASSERT(harness.shownAsRunning("a"));
            }
        }
        {
            Section section("a job that has run and waits again");
            harness.report("w1", {}, { { 1, orders[0].task, orders[0].runNumber, RunOutcome::LeaseExpired, {} } });
            harness.scheduler->unregisterWorker("w1");
            harness.send();
            failOver();
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, harness.pending());
            CPPUNIT_ASSERT(harness.shownAsRunning("a"));
        }
        {
            Section section("an older record, in which placed jobs count as started");
            for (bool failed : { false, true }) {
                Section nested(fmt::format("failed {}", failed));
                harness = {};
                harness.addWorker("w1");
                harness.add("a", { makeStep(1, 1000) });
                orders = harness.send();
                if (failed)
                    harness.end(orders[0], RunOutcome::Failed);
                else
                    harness.scheduler->onStartResponse(orders[0], StartRefusal::Unhealthy, harness.now);
                harness.send();
                auto& record = harness.store["a~"];
                auto state = nlohmann::json::from_msgpack(record);
                state.erase(8); // whether a worker has started a task
                record.clear();
                nlohmann::json::to_msgpack(state, nlohmann::detail::output_adapter<char>(record));
                harness.failOver();
                CPPUNIT_ASSERT_EQUAL(size_t { failed ? 0U : 1U }, harness.pending());
            }
        }
    }

    // Guards against a change of the placement order: jobs of which a task was placed come first, also before any
    // worker has started it and at a next owner.
    void jobsWithPlacedTasksKeepTheirOrder()
    {
        for (bool handOver : { false, true }) {
            Section section(fmt::format("hand-over {}", handOver));
            SchedulerHarness harness;
            harness.addWorker("w1");
            auto large = makeStep(2, 10000);
            large.estimatedDuration = Milliseconds { 900 }; // its soft deadline is later than that of the other job
            harness.add("b", { large });
            auto orders = harness.send(); // the worker has room for one of the two tasks
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, orders.size());
            harness.add("a", { makeStep(1, 10000) });
            harness.send();
            if (handOver)
                harness.failOver();
            harness.addWorker("w2");
            orders = harness.send();
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, orders.size());
            CPPUNIT_ASSERT_EQUAL(std::string("b"), orders[0].task.job);
        }
    }

    // Guards against a new worker that stays idle because the order that moved its instance to this service still
    // cordons the instance.
    void cordonsExemptTheNewServiceOfAnInstance()
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

    // Guards against a move that ends runs: a former owner reported the instance as empty while the next owner, which
    // did not know of the cordon, placed runs there.
    void cordonedInstancesAreEmptyOnceNextOwnersKnowTheCordon()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.scheduler->setCordons({ { "m-w1", "elsewhere" } }, {}, harness.now.steady + Cordons::lifetime);
        auto reportedAsCordoned
            = [&] { return internal::makePoolReport(*harness.scheduler, harness.now).workers.at(0).cordoned; };
        {
            Section section("the cordon is reported when it is stored");
            CPPUNIT_ASSERT(!reportedAsCordoned());
            harness.send();
            CPPUNIT_ASSERT(reportedAsCordoned());
        }
        {
            Section section("the next owner places nothing on the instance");
            harness.failOver();
            harness.addWorker("w1");
            harness.add("a", { makeStep(1, 1000) });
            CPPUNIT_ASSERT(harness.plan().empty());
        }
        Section section("until the former owner's report is too old for an order");
        harness.advance(Milliseconds { 4001 });
        harness.scheduler->expireLeases(harness.now);
        harness.report("w1");
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.plan().size());
    }

    // Guards against a move that ends runs: a fleet manager that had been replaced ended the cordon of its successor.
    void formerManagersEndNoCordons()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        auto until = harness.now.steady + Milliseconds { 60000 };
        auto set = [&](uint64_t managerToken, bool cordoned) {
            std::map<std::string, std::string> cordons;
            if (cordoned)
                cordons["m-w1"];
            return harness.scheduler->setCordons(cordons, {}, until, managerToken);
        };
        auto isCordoned = [&] { return harness.scheduler->workers().at("w1").cordoned; };
        CPPUNIT_ASSERT(set(4, false));
        CPPUNIT_ASSERT(set(5, true));
        CPPUNIT_ASSERT(!set(4, false));
        CPPUNIT_ASSERT(isCordoned());
        {
            Section section("also at the next owner");
            harness.send();
            harness.failOver();
            harness.addWorker("w1");
            CPPUNIT_ASSERT(!set(4, false));
            CPPUNIT_ASSERT(isCordoned());
        }
        {
            Section section("the manager itself and later ones end them");
            CPPUNIT_ASSERT(set(5, false));
            CPPUNIT_ASSERT(!isCordoned());
            CPPUNIT_ASSERT(set(6, true));
        }
        Section section("as do managers of earlier versions, which send no token");
        CPPUNIT_ASSERT(set(0, false));
        CPPUNIT_ASSERT(!isCordoned());
    }

    // Guards against a single job that exhausts the memory of its owner, and of each next one: 100,000 occurrences
    // that are all due at once were opened together.
    void dueOccurrencesAreOpenedWithinALimit()
    {
        JobSpec spec;
        spec.steps = { makeStep(2000, 1000) };
        spec.occurrences = 100000;
        Job job("a", queueName, serviceName, spec, WallTime { Milliseconds { 1000 } }, 2);
        CPPUNIT_ASSERT_EQUAL(size_t { 8 }, job.openOccurrences().size());
        for (uint32_t index = 0; index < 2000; ++index)
            job.markCompleted({ "a", 0, 0, index }, WallTime { Milliseconds { 1000 } });
        CPPUNIT_ASSERT_EQUAL(size_t { 7 }, job.openOccurrences().size());
        job.openDueOccurrences(WallTime { Milliseconds { 1000 } });
        CPPUNIT_ASSERT_EQUAL(size_t { 8 }, job.openOccurrences().size());
        CPPUNIT_ASSERT(job.openOccurrences().count(8) != 0);
        CPPUNIT_ASSERT(job.hasFutureOccurrences());
    }

    // Guards against a job whose state exceeds a record of the store, so that its service could store nothing more.
    void statesOfLargeJobsAreSplit()
    {
        static constexpr size_t maximumRecordBytes = 2000;
        static constexpr uint32_t taskCount = 600;
        SchedulerHarness fleet;
        fleet.options.maximumRecordBytes = maximumRecordBytes;
        fleet.reset();
        fleet.addWorker("w1");
        auto step = makeStep(taskCount, 10);
        step.taskResources.memoryMegabytes = 1;
        fleet.add("a", { step });
        auto orders = fleet.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { taskCount }, orders.size());
        auto recordsFit = [&] {
            return std::all_of(fleet.lastRecords.begin(), fleet.lastRecords.end(), [](const StateRecord& record) {
                return 1 + record.key.size() + record.value.size() <= maximumRecordBytes;
            });
        };
        CPPUNIT_ASSERT(recordsFit());
        CPPUNIT_ASSERT(fleet.lastRecords.size() > 4);
        fleet.end(orders[2], RunOutcome::Completed);
        fleet.plan(); // all parts show now that the job has started
        {
            Section section("only the part that has changed is stored again");
            fleet.end(orders[0], RunOutcome::Completed);
            fleet.plan();
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, fleet.lastRecords.size());
        }
        {
            Section section("a new owner has all runs");
            fleet.failOver();
            CPPUNIT_ASSERT_EQUAL(size_t { taskCount - 2 }, fleet.scheduler->workers().at("w1").runs.size());
            fleet.registerWorker("w1");
            fleet.report("w1", fleet.runningOn("w1", {}));
            CPPUNIT_ASSERT(fleet.plan().empty());
            fleet.end(orders[1], RunOutcome::Completed);
            CPPUNIT_ASSERT(fleet.plan().empty());
            CPPUNIT_ASSERT(recordsFit());
        }
        Section section("the parts are removed when the job has ended");
        for (size_t i = 2; i < orders.size(); ++i)
            fleet.end(orders[i], RunOutcome::Completed);
        fleet.plan();
        CPPUNIT_ASSERT(fleet.scheduler->statusOf("a") == JobStatus::Completed);
        for (const auto& [key, value] : fleet.store)
            if (key != fleet.scheduler->ledger().key())
                CPPUNIT_ASSERT_EQUAL(key == stateKey("a"), !value.empty());
    }

    // Guards against a job that holds up its whole service, since its state can never be stored.
    void jobsWhoseRecordsAreRefusedFail()
    {
        SchedulerHarness fleet;
        fleet.addWorker("w1");
        fleet.add("a", { makeStep(2, 1000) });
        auto started = fleet.plan();
        fleet.add("b", { makeStep(1, 1000) });
        auto orders = fleet.scheduler->plan(fleet.now);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, orders.size());
        fleet.scheduler->takeChangedRecords(fleet.now);
        fleet.scheduler->failUnstorable("a", fleet.now);
        fleet.scheduler->failUnstorable("b", fleet.now);
        {
            Section section("a start that waits for the records is not sent");
            CPPUNIT_ASSERT(!fleet.scheduler->beginStart(orders[0], fleet.now));
            fleet.send();
            CPPUNIT_ASSERT(fleet.scheduler->statusOf("b") == JobStatus::Failed);
            CPPUNIT_ASSERT(!fleet.scheduler->find("b"));
        }
        Section section("active runs are stopped, after which the small state of an ended job is stored");
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, fleet.scheduler->stopsDue(fleet.now).size());
        for (const auto& order : started)
            fleet.end(order, RunOutcome::Stopped);
        fleet.send();
        CPPUNIT_ASSERT(!fleet.scheduler->find("a"));
        fleet.failOver();
        CPPUNIT_ASSERT(fleet.scheduler->statusOf("a") == JobStatus::Failed);
    }

    // Guards against starting a task whose job was cancelled while the record of the start was being stored.
    void cancelledJobsAreNotStarted()
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
