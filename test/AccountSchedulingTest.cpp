#include "LoadPlay.h"
#include "Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace shallotdrift {

namespace {

    ClientAccounts accountWithQuota(const Resources& quota) { return { { "team", { "team", quota, 0 } } }; }

    void lend(ServiceScheduler& scheduler, uint64_t round, const Resources& part, const Resources& quota)
    {
        CPPUNIT_ASSERT(scheduler.quotas().applyParts({ 1, round }, { { "team", part, quota } }));
    }

    void addJob(
        SchedulerHarness& harness, const std::string& id, const std::string& account, std::vector<StepSpec> steps)
    {
        JobSpec spec;
        spec.steps = std::move(steps);
        Job job(id, queueName, serviceName, std::move(spec), harness.now.wall, 2);
        job.setAccount(account);
        harness.scheduler->add(std::move(job));
    }

    int64_t coresUsed(SchedulerHarness& harness)
    {
        harness.scheduler->updateQuotaHoldings(harness.now);
        for (const auto& holding : harness.scheduler->quotas().holdings())
            if (holding.account == "team")
                return holding.used.milliCores;
        return 0;
    }

} // namespace

class AccountSchedulingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AccountSchedulingTest);
    CPPUNIT_TEST(tasksStartWithinTheLentPart);
    CPPUNIT_TEST(newOwnersCountTheRunsOfTheFormerOne);
    CPPUNIT_TEST(gangsStartOnlyAsAWhole);
    CPPUNIT_TEST(accountsOfJobsSurviveFailover);
    CPPUNIT_TEST(floodsOfOneAccountDelayNoOther);
    CPPUNIT_TEST(demandIsBoundedByTheQuota);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starting more than what is lent, and against starting before anything is lent.
    void tasksStartWithinTheLentPart()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        Resources quota { 10000, 0, 0 };
        harness.scheduler->setAccounts(accountWithQuota(quota));
        addJob(harness, "a", "team", { makeStep(6, 1000) });
        addJob(harness, "b", "", { makeStep(2, 1000) });
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, harness.plan().size());
        lend(*harness.scheduler, 1, { 4000, 0, 0 }, quota);
        auto orders = harness.plan();
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, orders.size());
        CPPUNIT_ASSERT_EQUAL(int64_t { 4000 }, coresUsed(harness));
        {
            Section section("an ended run makes room for the next one");
            harness.end(orders[0], RunOutcome::Completed);
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, harness.plan().size());
        }
        {
            Section section("a smaller part stops nothing and starts nothing");
            lend(*harness.scheduler, 2, { 1000, 0, 0 }, quota);
            harness.end(orders[1], RunOutcome::Completed);
            CPPUNIT_ASSERT(harness.plan().empty());
            CPPUNIT_ASSERT_EQUAL(int64_t { 3000 }, coresUsed(harness));
        }
    }

    // Guards against a new owner that takes the quota for free although runs of the former owner may be active.
    void newOwnersCountTheRunsOfTheFormerOne()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        Resources quota { 10000, 0, 0 };
        harness.scheduler->setAccounts(accountWithQuota(quota));
        lend(*harness.scheduler, 1, { 4000, 0, 0 }, quota);
        addJob(harness, "a", "team", { makeStep(6, 1000) });
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, harness.send().size()); // no worker has responded yet
        harness.failOver();
        harness.scheduler->setAccounts(accountWithQuota(quota));
        CPPUNIT_ASSERT_EQUAL(int64_t { 4000 }, coresUsed(harness));
        harness.registerWorker("w1");
        harness.report("w1");
        CPPUNIT_ASSERT(harness.plan().empty());
    }

    // Guards against a gang of which some members are within the quota and the others wait.
    void gangsStartOnlyAsAWhole()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        Resources quota { 10000, 0, 0 };
        harness.scheduler->setAccounts(accountWithQuota(quota));
        auto gang = makeStep(4, 2000);
        gang.gang = true;
        addJob(harness, "a", "team", { gang });
        lend(*harness.scheduler, 1, { 7000, 0, 0 }, quota);
        CPPUNIT_ASSERT(harness.plan().empty());
        harness.scheduler->updateQuotaHoldings(harness.now);
        CPPUNIT_ASSERT_EQUAL(int64_t { 8000 }, harness.scheduler->quotas().holdings().front().unit.milliCores);
        lend(*harness.scheduler, 2, { 8000, 0, 0 }, quota);
        CPPUNIT_ASSERT_EQUAL(size_t { 4 }, harness.plan().size());
    }

    // Guards against a job that, with a new owner, belongs to no account or is open to all of them.
    void accountsOfJobsSurviveFailover()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        addJob(harness, "a", "team", { makeStep(1, 1000) });
        addJob(harness, "b", "team", { makeStep(1, 1000) });
        auto orders = harness.plan();
        harness.end(orders[0], RunOutcome::Completed);
        harness.plan();
        harness.failOver();
        for (const char* id : { "a", "b" }) {
            Section section(id);
            CPPUNIT_ASSERT(harness.scheduler->originOf(id));
            CPPUNIT_ASSERT_EQUAL(std::string("team"), harness.scheduler->originOf(id)->account);
        }
        CPPUNIT_ASSERT(!harness.scheduler->originOf("c"));
    }

    // Load: five accounts use seven eighths of a service; one of them sends six times as much for 5 s.
    void floodsOfOneAccountDelayNoOther()
    {
        std::map<std::string, LoadPlay::Count> counts;
        std::map<bool, double> worst;
        for (bool withShares : { false, true }) {
            LoadPlay play(10);
            ClientAccounts accounts;
            for (int account = 0; account < 5; ++account) {
                auto name = fmt::format("team{}", account);
                accounts[name] = { name, {}, 8 };
            }
            if (withShares)
                play.scheduler().setAccounts(accounts);
            std::vector<LoadPlay::Arrival> arrivals;
            for (int time = 0; time < 12000; time += 20)
                for (int account = 0; account < 5; ++account) {
                    bool flooding = account == 0 && time >= 3000 && time < 8000;
                    if (time % 200 == 0 || (flooding && time % 200 % 40 == 0)) {
                        auto name = fmt::format("team{}", account);
                        arrivals.push_back(
                            { Milliseconds { time }, name, name, { makeStep(7, 1000) }, Milliseconds { 800 } });
                    }
                }
            counts = play.play(arrivals, Milliseconds { 16000 });
            double least = 1;
            for (int account = 1; account < 5; ++account)
                least = std::min(least, counts[fmt::format("team{}", account)].shareInTime());
            worst[withShares] = least;
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} and {} of the others in time", worst[false], worst[true]),
            worst[false] < 0.8 && worst[true] >= 0.95);
    }

    // Guards against instances for work that the quota does not let run.
    void demandIsBoundedByTheQuota()
    {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.scheduler->setAccounts(accountWithQuota({ 6000, 0, 0 }));
        addJob(harness, "a", "team", { makeStep(200, 1000) });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6, harness.scheduler->demand(harness.now).requiredCores, 0.01);
        addJob(harness, "b", "", { makeStep(200, 1000) });
        CPPUNIT_ASSERT(harness.scheduler->demand(harness.now).requiredCores > 50);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountSchedulingTest);

} // namespace shallotdrift
