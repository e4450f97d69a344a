#include "Story.h"

#include "shallotdrift/Policy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <rapidcheck.h>
#include <set>

namespace shallotdrift {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    Instant at(int64_t ms) { return Instant { milliseconds { ms } }; }

    FleetConfiguration sharedPool()
    {
        FleetConfiguration configuration;
        configuration.pools["damp"].name = "damp";
        auto add = [&configuration](const std::string& name, Urgency urgency, double share) {
            auto& kind = configuration.kinds[name];
            kind.name = name;
            kind.pool = "damp";
            kind.urgency = urgency;
            kind.guaranteedShare = share;
            kind.expectedRuntime = Milliseconds { 100 };
            kind.queueLimit = 20;
        };
        add("archive", Urgency::Bulk, 0.25);
        add("assessment", Urgency::Urgent, 0.5);
        add("risk", Urgency::Normal, 0);
        configuration.teams["north"] = { "north", 2 };
        return configuration;
    }

    std::vector<UsableInstance> instances(unsigned count, uint32_t slots, const std::string& zone = "a")
    {
        std::vector<UsableInstance> result;
        for (unsigned i = 0; i < count; ++i)
            result.push_back({ "w" + std::to_string(i), "damp", zone, 1, slots });
        return result;
    }

    // A scheduler with its effects of the last call.
    struct Bench {
        explicit Bench(unsigned count = 1, uint32_t slots = 1)
            : scheduler(SchedulerOptions {})
        {
            scheduler.setConfiguration(sharedPool(), at(0));
            scheduler.setInstances(instances(count, slots), at(0), effects);
        }

        void submit(uint64_t id, const std::string& kind, int64_t now, int64_t deadline, bool resendAllowed = true,
            const std::string& team = "")
        {
            effects = {};
            WorkRequest request;
            request.id = id;
            request.kind = kind;
            request.team = team;
            request.deadline = at(deadline);
            request.resendAllowed = resendAllowed;
            scheduler.submit(request, at(now), effects);
        }

        void report(uint64_t attempt, ResultCode code, int64_t now, bool bytesSent = true, int64_t runtime = 100)
        {
            effects = {};
            scheduler.report({ attempt, code, bytesSent, milliseconds { runtime } }, at(now), effects);
        }

        void tick(int64_t now)
        {
            effects = {};
            scheduler.tick(at(now), effects);
        }

        const Dispatch& dispatched(size_t index = 0) const
        {
            CPPUNIT_ASSERT(effects.dispatches.size() > index);
            return effects.dispatches[index];
        }

        ResultCode refusal() const
        {
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, effects.refusals.size());
            CPPUNIT_ASSERT(!effects.refusals[0].reason.empty());
            return effects.refusals[0].code;
        }

        ResultCode completion() const
        {
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, effects.completions.size());
            return effects.completions[0].code;
        }

        Scheduler scheduler;
        SchedulerEffects effects;
    };

} // namespace

class SchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SchedulerTest);
    CPPUNIT_TEST(ordersByShareUrgencyAndDeadline);
    CPPUNIT_TEST(refusesEarlyWithFigures);
    CPPUNIT_TEST(boundsQueuesAndQuotas);
    CPPUNIT_TEST(freesCancelledPlaces);
    CPPUNIT_TEST(resendsOnlyWhatIsSafe);
    CPPUNIT_TEST(neverCallsExecutedWorkNotRun);
    CPPUNIT_TEST(endsJobsThatCannotRunWithoutBlame);
    CPPUNIT_TEST(ejectsFailingInstancesUpToAThird);
    CPPUNIT_TEST(probesEjectedInstances);
    CPPUNIT_TEST(boundsRetriesByBudget);
    CPPUNIT_TEST(learnsRunTimes);
    CPPUNIT_TEST(sharesSlotsByDemand);
    CPPUNIT_TEST(refusesRemovedKinds);
    CPPUNIT_TEST(endsEveryRequestOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bulk work that starves, and against urgent work that waits behind work that is due earlier.
    void ordersByShareUrgencyAndDeadline()
    {
        Bench bench(1, 4);
        Section full("urgent work holds all four slots");
        std::vector<uint64_t> attempts;
        for (uint64_t id = 1; id <= 4; ++id) {
            bench.submit(id, "assessment", 0, 9000);
            attempts.push_back(bench.dispatched().attempt);
        }
        bench.submit(5, "assessment", 2000, 9000);
        bench.submit(6, "assessment", 2000, 8000);
        bench.submit(7, "risk", 2000, 3000);
        bench.submit(8, "archive", 2000, 9000);
        {
            Section share("the first free slot goes to the archive, which is below its share of one slot");
            bench.report(attempts[0], ResultCode::Ok, 2100);
            CPPUNIT_ASSERT_EQUAL(uint64_t { 8 }, bench.dispatched().request);
        }
        {
            Section urgency("then urgent work follows by deadline, before normal work that is due earlier");
            bench.report(attempts[1], ResultCode::Ok, 2110);
            CPPUNIT_ASSERT_EQUAL(uint64_t { 6 }, bench.dispatched().request);
            bench.report(attempts[2], ResultCode::Ok, 2120);
            CPPUNIT_ASSERT_EQUAL(uint64_t { 5 }, bench.dispatched().request);
            bench.report(attempts[3], ResultCode::Ok, 2130);
            CPPUNIT_ASSERT_EQUAL(uint64_t { 7 }, bench.dispatched().request);
        }
    }

    // Guards against work that is admitted only to end late, and against refusals that do not say why.
    void refusesEarlyWithFigures()
    {
        Bench bench;
        bench.submit(1, "risk", 0, 1000);
        bench.submit(2, "risk", 0, 1000);
        bench.submit(3, "risk", 0, 150);
        Section late("100 ms of run time do not fit behind another 100 ms within 90 ms");
        bench.submit(4, "risk", 10, 100);
        CPPUNIT_ASSERT(bench.refusal() == ResultCode::WouldBeLate);
        CPPUNIT_ASSERT(bench.effects.refusals[0].reason.find("90 ms left") != std::string::npos);
        {
            Section waited("waiting work is refused once its run time no longer fits");
            bench.tick(60);
            CPPUNIT_ASSERT(bench.refusal() == ResultCode::WouldBeLate);
            CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, bench.effects.refusals[0].request);
        }
    }

    // Guards against queues without bound and teams above their quota.
    void boundsQueuesAndQuotas()
    {
        Bench bench;
        Section quota("a team with a quota of two holds two");
        bench.submit(1, "risk", 0, 100000, true, "north");
        bench.submit(2, "risk", 0, 100000, true, "north");
        bench.submit(3, "risk", 0, 100000, true, "north");
        CPPUNIT_ASSERT(bench.refusal() == ResultCode::QuotaExceeded);
        {
            Section queue("the queue takes 20 and no more");
            for (uint64_t id = 10; id < 29; ++id) {
                bench.submit(id, "risk", 0, 100000);
                CPPUNIT_ASSERT(bench.effects.refusals.empty());
            }
            bench.submit(29, "risk", 0, 100000);
            CPPUNIT_ASSERT(bench.refusal() == ResultCode::QueueFull);
        }
        {
            Section freed("a cancelled request frees the team's place");
            bench.effects = {};
            bench.scheduler.cancel(2, at(1), bench.effects);
            bench.submit(30, "risk", 2, 100000, true, "north");
            CPPUNIT_ASSERT(bench.effects.refusals.empty());
        }
    }

    // Guards against slots that stay taken after the caller went away.
    void freesCancelledPlaces()
    {
        Bench bench;
        bench.submit(1, "risk", 0, 1000);
        uint64_t first = bench.dispatched().attempt;
        bench.submit(2, "risk", 0, 1000);
        bench.submit(3, "risk", 0, 1000);
        Section queued("waiting work was not run");
        bench.effects = {};
        bench.scheduler.cancel(2, at(1), bench.effects);
        CPPUNIT_ASSERT(bench.refusal() == ResultCode::Cancelled);
        {
            Section running("running work is abandoned and the next request takes its slot at once");
            bench.effects = {};
            bench.scheduler.cancel(1, at(2), bench.effects);
            CPPUNIT_ASSERT(bench.effects.cancelledAttempts == std::vector<uint64_t> { first });
            CPPUNIT_ASSERT(bench.completion() == ResultCode::OutcomeUnknown);
            CPPUNIT_ASSERT_EQUAL(uint64_t { 3 }, bench.dispatched().request);
        }
        {
            Section dropped("the late answer has no effect");
            bench.report(first, ResultCode::Ok, 3);
            CPPUNIT_ASSERT(bench.effects.completions.empty());
        }
    }

    // Guards against non-idempotent work that runs twice (P5).
    void resendsOnlyWhatIsSafe()
    {
        Bench bench(3, 1);
        bench.submit(1, "risk", 0, 1000, false);
        Section busy("a busy answer and an unsent request are sent elsewhere");
        std::string busyInstance = bench.dispatched().instance;
        bench.report(bench.dispatched().attempt, ResultCode::TargetBusy, 1);
        CPPUNIT_ASSERT(bench.dispatched().instance != busyInstance);
        bench.report(bench.dispatched().attempt, ResultCode::ConnectionLost, 2, false);
        uint64_t third = bench.dispatched().attempt;
        {
            Section lost("a lost connection after bytes left is final");
            bench.report(third, ResultCode::ConnectionLost, 3);
            CPPUNIT_ASSERT(bench.completion() == ResultCode::ConnectionLost);
            CPPUNIT_ASSERT(bench.effects.dispatches.empty());
        }
        {
            Section failed("so is a failed run");
            bench.submit(2, "risk", 10, 1000, false);
            bench.report(bench.dispatched().attempt, ResultCode::JobFailed, 11);
            CPPUNIT_ASSERT(bench.completion() == ResultCode::JobFailed);
        }
    }

    // Guards against "not run" for work of which an attempt ran (P4).
    void neverCallsExecutedWorkNotRun()
    {
        Bench bench(2, 1);
        bench.submit(1, "risk", 0, 1000);
        bench.submit(2, "risk", 0, 9000);
        bench.submit(3, "assessment", 0, 9000);
        bench.submit(4, "assessment", 0, 9000);
        bench.scheduler.report({ 1, ResultCode::ConnectionLost, true, milliseconds(5) }, at(5), bench.effects);
        Section expired("the retry of a lost attempt still waits when its deadline passes");
        bench.tick(1000);
        CPPUNIT_ASSERT(bench.effects.refusals.empty());
        CPPUNIT_ASSERT(bench.completion() == ResultCode::ConnectionLost);
    }

    // Guards against jobs that can never run taking the workers out of service.
    void endsJobsThatCannotRunWithoutBlame()
    {
        Bench bench(6, 8);
        Section poison("each bad job fails on three different instances");
        for (uint64_t id = 1; id <= 10; ++id) {
            std::set<std::string> tried;
            bench.submit(id, "risk", static_cast<int64_t>(id), 100000);
            for (int i = 0; i < 3; ++i) {
                tried.insert(bench.dispatched().instance);
                bench.report(bench.dispatched().attempt, ResultCode::JobFailed, static_cast<int64_t>(id));
            }
            CPPUNIT_ASSERT(bench.completion() == ResultCode::CannotRun);
            CPPUNIT_ASSERT_EQUAL(size_t { 3 }, tried.size());
        }
        {
            Section blameless("and all instances still take work");
            std::set<std::string> used;
            for (uint64_t id = 100; id < 148; ++id) {
                bench.submit(id, "risk", 100, 100000);
                used.insert(bench.dispatched().instance);
            }
            CPPUNIT_ASSERT_EQUAL(size_t { 6 }, used.size());
        }
    }

    // Guards against a pool that is emptied by its own ejections.
    void ejectsFailingInstancesUpToAThird()
    {
        Bench bench(6, 8);
        Section failing("every non-resendable request fails everywhere");
        for (uint64_t id = 1; id <= 200; ++id) {
            bench.submit(id, "risk", static_cast<int64_t>(id), 100000, false);
            bench.report(bench.dispatched().attempt, ResultCode::ConnectionLost, static_cast<int64_t>(id));
        }
        {
            Section floor("four of six instances still take work");
            std::set<std::string> used;
            for (uint64_t id = 300; id < 332; ++id) {
                bench.submit(id, "risk", 300, 100000);
                used.insert(bench.dispatched().instance);
            }
            CPPUNIT_ASSERT_EQUAL(size_t { 4 }, used.size());
            bench.submit(400, "risk", 300, 100000);
            CPPUNIT_ASSERT(bench.effects.dispatches.empty());
        }
    }

    // Guards against ejected instances that never return, and against more than one probe at a time.
    void probesEjectedInstances()
    {
        Bench bench(3, 8);
        uint64_t id = 1;
        std::set<uint64_t> open;
        Section eject("w1 loses every connection while the others answer");
        for (int round = 0; round < 10; ++round) {
            std::vector<Dispatch> dispatches;
            for (int i = 0; i < 16; ++i) {
                bench.submit(id++, "risk", 0, 100000);
                dispatches.insert(dispatches.end(), bench.effects.dispatches.begin(), bench.effects.dispatches.end());
            }
            while (!dispatches.empty()) {
                auto dispatch = dispatches.back();
                dispatches.pop_back();
                bool bad = dispatch.instance == "w1";
                bench.report(dispatch.attempt, bad ? ResultCode::TargetUnreachable : ResultCode::Ok, 1, !bad);
                dispatches.insert(dispatches.end(), bench.effects.dispatches.begin(), bench.effects.dispatches.end());
            }
        }
        auto usedAt = [&](int64_t now) {
            std::multiset<std::string> used;
            std::vector<uint64_t> attempts;
            for (int i = 0; i < 12; ++i) {
                bench.submit(id++, "risk", now, 100000);
                used.insert(bench.dispatched().instance);
                attempts.push_back(bench.dispatched().attempt);
                if (bench.dispatched().instance == "w1")
                    open.insert(bench.dispatched().attempt);
            }
            for (auto attempt : attempts) {
                if (!open.count(attempt))
                    bench.report(attempt, ResultCode::Ok, now + 1);
            }
            return used.count("w1");
        };
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, usedAt(4000));
        {
            Section probe("one probe after 5 s");
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, usedAt(5100));
            bench.report(*open.begin(), ResultCode::ConnectionLost, 5200);
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, usedAt(15000));
        }
        {
            Section back("the next after another 10 s; it succeeds, and the instance returns");
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, usedAt(15300));
            bench.report(*open.rbegin(), ResultCode::Ok, 15400);
            CPPUNIT_ASSERT(usedAt(15500) > 1);
        }
    }

    // Guards against retries that multiply the load of a pool where everything fails.
    void boundsRetriesByBudget()
    {
        Bench bench(6, 8);
        unsigned sends = 0;
        for (uint64_t id = 1; id <= 300; ++id) {
            bench.submit(id, "risk", static_cast<int64_t>(id), 100000);
            while (!bench.effects.dispatches.empty()) {
                ++sends;
                bench.report(bench.dispatched().attempt, ResultCode::ConnectionLost, static_cast<int64_t>(id));
            }
        }
        CPPUNIT_ASSERT(sends <= 300 + 20);
    }

    // Guards against run times that stay at a wrong declaration or setting.
    void learnsRunTimes()
    {
        Bench bench(1, 1);
        Section learn("work that is set to 100 ms takes 1 s");
        for (uint64_t id = 1; id <= 30; ++id) {
            auto now = static_cast<int64_t>(id * 1000);
            bench.submit(id, "risk", now - 1000, now + 9000);
            bench.report(bench.dispatched().attempt, ResultCode::Ok, now, true, 1000);
        }
        {
            Section refused("a request with 500 ms left is refused although the setting would fit");
            bench.submit(100, "risk", 40000, 40500);
            CPPUNIT_ASSERT(bench.refusal() == ResultCode::WouldBeLate);
        }
        {
            Section forgotten("after ten minutes without work the setting counts again");
            bench.submit(101, "risk", 800000, 800500);
            CPPUNIT_ASSERT(bench.effects.refusals.empty());
        }
    }

    // Guards against entries that hold on to slots which others need.
    void sharesSlotsByDemand()
    {
        Bench bench(1, 8);
        for (uint64_t id = 1; id <= 8; ++id)
            bench.submit(id, "risk", 0, 100000);
        Section borrowed("without contention one entry fills the instance, never above its slots");
        for (uint64_t id = 9; id <= 14; ++id) {
            bench.submit(id, "risk", 0, 100000);
            CPPUNIT_ASSERT(bench.effects.dispatches.empty());
        }
        bench.scheduler.setPeerDemand({ { "damp", 1000.0 } }, 8, at(10));
        {
            Section busy("after a busy answer the limit is the seven in flight, and it rises with time");
            bench.report(1, ResultCode::TargetBusy, 20);
            CPPUNIT_ASSERT(bench.effects.dispatches.empty());
            bench.report(2, ResultCode::Ok, 22);
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, bench.effects.dispatches.size());
            bench.tick(23);
            CPPUNIT_ASSERT(bench.effects.dispatches.empty());
            bench.tick(121);
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, bench.effects.dispatches.size());
        }
    }

    // Guards against requests that wait for ever after their kind was removed.
    void refusesRemovedKinds()
    {
        Bench bench;
        bench.submit(1, "risk", 0, 100000);
        bench.submit(2, "risk", 0, 100000);
        auto configuration = sharedPool();
        configuration.kinds.erase("risk");
        bench.scheduler.setConfiguration(configuration, at(1));
        bench.tick(2);
        CPPUNIT_ASSERT(bench.refusal() == ResultCode::UnknownKind);
        bench.report(1, ResultCode::Ok, 3);
        CPPUNIT_ASSERT(bench.completion() == ResultCode::Ok);
    }

    // Guards against lost and doubled answers, and against attempts above an instance's slots, under random events.
    void endsEveryRequestOnce();
};

namespace {

    // Applies random events and keeps the books that the property checks.
    class RandomRun {
    public:
        RandomRun()
            : scheduler_(SchedulerOptions { 7, "a", AdmissionRule::SharesAndUrgency, PlacementRule::ExpectedWait })
        {
            scheduler_.setConfiguration(sharedPool(), at(0));
            setInstances(3);
        }

        void step()
        {
            now_ += *rc::gen::inRange(0, 40);
            switch (*rc::gen::inRange(0, 12)) {
            case 0:
                setInstances(*rc::gen::inRange(0U, 5U));
                break;
            case 1:
                scheduler_.cancel(*rc::gen::inRange<uint64_t>(1, nextId_ + 1), at(now_), effects_);
                break;
            case 2:
                scheduler_.setPeerDemand({ { "damp", *rc::gen::inRange(0, 50) } }, 8, at(now_));
                break;
            case 3:
                scheduler_.tick(at(now_), effects_);
                break;
            case 4:
            case 5:
            case 6:
            case 7:
                reportOne();
                break;
            default:
                submitOne();
            }
            check();
        }

        void finish()
        {
            while (!open_.empty()) {
                auto attempt = open_.begin()->first;
                open_.erase(attempt);
                scheduler_.report({ attempt, ResultCode::Ok, true, milliseconds(10) }, at(now_), effects_);
                check();
            }
            scheduler_.tick(at(now_ + 1000000), effects_);
            check();
            RC_ASSERT(ended_.size() == nextId_ - 1);
            for (const auto& load : scheduler_.load(at(now_)))
                RC_ASSERT(load.running == 0U && load.queued == 0U);
        }

    private:
        static constexpr unsigned slotsEach = 2;

        struct Open {
            std::string instance;
            uint64_t request = 0;
        };

        void setInstances(unsigned count) { scheduler_.setInstances(instances(count, slotsEach), at(now_), effects_); }

        void submitOne()
        {
            WorkRequest request;
            request.id = nextId_++;
            request.kind = *rc::gen::element<std::string>("archive", "assessment", "risk");
            request.team = *rc::gen::element<std::string>("", "north");
            request.deadline = at(now_ + *rc::gen::inRange(-5, 900));
            request.declaredRuntime = Milliseconds { *rc::gen::inRange(0, 5000) };
            request.resendAllowed = *rc::gen::arbitrary<bool>();
            resendable_[request.id] = request.resendAllowed;
            scheduler_.submit(request, at(now_), effects_);
        }

        void reportOne()
        {
            if (open_.empty())
                return;
            auto position = std::next(open_.begin(), *rc::gen::inRange<long>(0, static_cast<long>(open_.size())));
            auto code = *rc::gen::element(ResultCode::Ok, ResultCode::Ok, ResultCode::TargetBusy, ResultCode::JobFailed,
                ResultCode::ConnectionLost, ResultCode::TargetUnreachable, ResultCode::AnswerTimeout);
            bool notRun = executionOf(code) == Execution::NotRun;
            bool bytesSent = !notRun && (code != ResultCode::ConnectionLost || *rc::gen::arbitrary<bool>());
            if (!notRun && bytesSent)
                executed_.insert(position->second.request);
            uint64_t attempt = position->first;
            open_.erase(position);
            scheduler_.report(
                { attempt, code, bytesSent, milliseconds(*rc::gen::inRange(1, 500)) }, at(now_), effects_);
        }

        void check()
        {
            for (const auto& refusal : effects_.refusals) {
                RC_ASSERT(ended_.insert(refusal.request).second);
                RC_ASSERT(!executed_.count(refusal.request));
                RC_ASSERT(executionOf(refusal.code) == Execution::NotRun);
            }
            for (const auto& completion : effects_.completions)
                RC_ASSERT(ended_.insert(completion.request).second);
            for (auto attempt : effects_.cancelledAttempts)
                open_.erase(attempt);
            for (const auto& dispatch : effects_.dispatches) {
                RC_ASSERT(resendable_.at(dispatch.request) || !executed_.count(dispatch.request));
                RC_ASSERT(open_.emplace(dispatch.attempt, Open { dispatch.instance, dispatch.request }).second);
            }
            effects_ = {};
            std::map<std::string, unsigned> inFlight;
            std::set<uint64_t> running;
            for (const auto& [attempt, open] : open_) {
                ++inFlight[open.instance];
                RC_ASSERT(running.insert(open.request).second);
            }
            for (const auto& [instance, count] : inFlight)
                RC_ASSERT(count <= slotsEach);
            for (const auto& load : scheduler_.load(at(now_)))
                RC_ASSERT(load.running == open_.size());
        }

        Scheduler scheduler_;
        SchedulerEffects effects_;
        int64_t now_ = 0;
        uint64_t nextId_ = 1;
        std::map<uint64_t, Open> open_;
        std::map<uint64_t, bool> resendable_;
        std::set<uint64_t> executed_;
        std::set<uint64_t> ended_;
    };

} // namespace

void SchedulerTest::endsEveryRequestOnce()
{
    bool passed = rc::check("one refusal or completion for each request", [] {
        RandomRun run;
        int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i)
            run.step();
        run.finish();
    });
    CPPUNIT_ASSERT(passed);
}

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerTest);

} // namespace shallotdrift
