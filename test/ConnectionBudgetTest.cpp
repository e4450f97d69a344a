#include "Section.h"

#include "shallotdrift/src/Http/ConnectionBudget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace shallotdrift {

namespace {

    using Activity = ConnectionBudget::Activity;
    using ShedReason = ConnectionBudget::ShedReason;

    constexpr size_t budgetBytes = 1000;
    constexpr char crowdAddress[] = "10.0.0.66";
    constexpr char callerAddress[] = "10.0.0.7";

    // Connection that gives up everything when it is shed.
    class TestAccount : public ConnectionBudget::Account {
    public:
        using Account::Account;
        std::vector<ShedReason> shedFor;

    private:
        void shed(ShedReason reason) override
        {
            shedFor.push_back(reason);
            if (reason == ShedReason::Connections)
                close();
            else
                settle(0);
        }
    };

    // Two listeners: one whose memory is all shared, and one with a reserve.
    struct Listeners {
        ConnectionBudget budget { budgetBytes };
        ConnectionBudget::Part callers { budget, { "callers", 0, 4 } };
        ConnectionBudget::Part ready { budget, { "ready", 200, 2 } };
        Instant now = BootClock::now();

        std::unique_ptr<TestAccount> reading(
            ConnectionBudget::Part& part, const char* address, size_t bytes, Milliseconds age = Milliseconds { 0 })
        {
            auto account = std::make_unique<TestAccount>(part, address, now - age);
            account->setActivity(Activity::Reading, now - age);
            CPPUNIT_ASSERT(account->resize(bytes, now));
            return account;
        }
    };

} // namespace

class ConnectionBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionBudgetTest);
    CPPUNIT_TEST(memoryIsReleasedOnEveryPath);
    CPPUNIT_TEST(theExpensiveAndSlowYieldFirst);
    CPPUNIT_TEST(acceptedRequestsAreNeverShed);
    CPPUNIT_TEST(reservesCannotBeTaken);
    CPPUNIT_TEST(connectionsAreLimited);
    CPPUNIT_TEST(anyOrderOfUseKeepsTheBounds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against memory that stays charged after its connection has ended.
    void memoryIsReleasedOnEveryPath()
    {
        Listeners listeners;
        auto account = listeners.reading(listeners.callers, callerAddress, 300);
        CPPUNIT_ASSERT_EQUAL(size_t { 300 }, listeners.budget.usedBytes());
        {
            Section section("by shrinking");
            CPPUNIT_ASSERT(account->resize(100, listeners.now));
            CPPUNIT_ASSERT_EQUAL(size_t { 100 }, listeners.budget.usedBytes());
        }
        {
            Section section("by closing");
            account->close();
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, listeners.budget.usedBytes());
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, listeners.budget.connections());
            {
                Section nested("a closed account is granted nothing");
                CPPUNIT_ASSERT(!account->resize(100, listeners.now));
                account->settle(100);
                CPPUNIT_ASSERT_EQUAL(size_t { 0 }, listeners.budget.usedBytes());
            }
        }
        {
            Section section("by destruction");
            account = listeners.reading(listeners.callers, callerAddress, 300);
            account.reset();
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, listeners.budget.usedBytes());
        }
        {
            Section section("memory that is allocated already is counted even above the limit");
            account = listeners.reading(listeners.callers, callerAddress, 300);
            account->settle(2 * budgetBytes);
            CPPUNIT_ASSERT_EQUAL(2 * budgetBytes, listeners.budget.usedBytes());
            CPPUNIT_ASSERT(!account->resize(2 * budgetBytes + 1, listeners.now));
        }
    }

    // Guards against a crowd that holds the memory which an ordinary request needs.
    void theExpensiveAndSlowYieldFirst()
    {
        Listeners listeners; // 800 bytes are shared
        {
            Section section("at one address");
            auto large = listeners.reading(listeners.callers, crowdAddress, 400, Milliseconds { 1000 });
            auto small = listeners.reading(listeners.callers, crowdAddress, 100, Milliseconds { 1000 });
            auto fresh = listeners.reading(listeners.callers, crowdAddress, 300);
            auto caller = listeners.reading(listeners.callers, crowdAddress, 200);
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, large->shedFor.size());
            CPPUNIT_ASSERT(large->shedFor.front() == ShedReason::Memory);
            CPPUNIT_ASSERT(small->shedFor.empty() && fresh->shedFor.empty());
            CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, listeners.budget.shedCount(ShedReason::Memory));
            {
                Section nested("progress protects");
                small->onReceived(100 << 10, listeners.now);
                auto next = listeners.reading(listeners.callers, crowdAddress, 1, Milliseconds { 500 });
                CPPUNIT_ASSERT(!next->resize(400, listeners.now));
                CPPUNIT_ASSERT(small->shedFor.empty() && fresh->shedFor.empty());
            }
            {
                Section nested("a few bytes are no progress");
                small->setActivity(Activity::Reading, listeners.now - Milliseconds { 1000 });
                small->onReceived(10, listeners.now);
                CPPUNIT_ASSERT(small->progressAt() < listeners.now);
            }
        }
        {
            Section section("the address that holds most yields first");
            auto first = listeners.reading(listeners.callers, crowdAddress, 250, Milliseconds { 10 });
            auto second = listeners.reading(listeners.callers, crowdAddress, 250, Milliseconds { 20 });
            auto old = listeners.reading(listeners.callers, callerAddress, 290, Milliseconds { 5000 });
            auto other = listeners.reading(listeners.callers, callerAddress, 100);
            CPPUNIT_ASSERT(old->shedFor.empty() && first->shedFor.empty());
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, second->shedFor.size());
        }
        {
            Section section("the request that asks is refused if it would yield itself");
            auto other = listeners.reading(listeners.callers, callerAddress, 100);
            auto large = listeners.reading(listeners.callers, crowdAddress, 500, Milliseconds { 100 });
            CPPUNIT_ASSERT(!large->resize(900, listeners.now));
            CPPUNIT_ASSERT_EQUAL(size_t { 500 }, large->bytes());
            CPPUNIT_ASSERT(other->shedFor.empty());
        }
        {
            Section section("without shedding");
            auto large = listeners.reading(listeners.callers, crowdAddress, 700, Milliseconds { 100 });
            auto other = listeners.reading(listeners.callers, callerAddress, 50);
            CPPUNIT_ASSERT(!other->resizeIfFree(200));
            CPPUNIT_ASSERT(other->resizeIfFree(100));
            CPPUNIT_ASSERT(large->shedFor.empty());
        }
    }

    // Guards against a request that is closed after it may have taken effect.
    void acceptedRequestsAreNeverShed()
    {
        Listeners listeners;
        auto accepted = listeners.reading(listeners.callers, crowdAddress, 800, Milliseconds { 60000 });
        accepted->setActivity(Activity::Accepted, listeners.now - Milliseconds { 60000 });
        auto caller = listeners.reading(listeners.callers, callerAddress, 0);
        CPPUNIT_ASSERT(!caller->resize(1, listeners.now));
        CPPUNIT_ASSERT(accepted->shedFor.empty());
        {
            Section section("nor for its place");
            std::vector<std::unique_ptr<TestAccount>> others;
            for (int i = 0; i < 2; ++i) {
                others.push_back(std::make_unique<TestAccount>(listeners.callers, crowdAddress, listeners.now));
                others.back()->setActivity(Activity::Accepted, listeners.now - Milliseconds { 60000 });
            }
            CPPUNIT_ASSERT(!listeners.callers.admit(listeners.now));
        }
        {
            Section section("a response that is not read yields after the stall timeout");
            accepted->setActivity(Activity::Writing, listeners.now);
            CPPUNIT_ASSERT(!caller->resize(1, listeners.now));
            listeners.now += listeners.budget.stallTimeout();
            CPPUNIT_ASSERT(caller->resize(1, listeners.now));
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, accepted->shedFor.size());
        }
    }

    // Guards against clients that take the memory of the readiness checks.
    void reservesCannotBeTaken()
    {
        Listeners listeners;
        auto crowd = listeners.reading(listeners.callers, crowdAddress, 800);
        crowd->setActivity(Activity::Accepted, listeners.now);
        auto more = listeners.reading(listeners.callers, crowdAddress, 0);
        CPPUNIT_ASSERT(!more->resize(1, listeners.now));
        auto probe = listeners.reading(listeners.ready, callerAddress, 200);
        CPPUNIT_ASSERT(!probe->resize(201, listeners.now));
        {
            Section section("memory within a reserve does not yield to another listener");
            auto stalled = std::move(probe);
            stalled->setActivity(Activity::Reading, listeners.now - Milliseconds { 60000 });
            CPPUNIT_ASSERT(!more->resize(1, listeners.now));
            CPPUNIT_ASSERT(stalled->shedFor.empty());
        }
        {
            Section section("memory above it does");
            crowd->close();
            auto probes = listeners.reading(listeners.ready, crowdAddress, 900, Milliseconds { 1000 });
            CPPUNIT_ASSERT(more->resize(500, listeners.now));
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, probes->shedFor.size());
        }
    }

    // Guards against a crowd that holds all places.
    void connectionsAreLimited()
    {
        Listeners listeners;
        std::vector<std::unique_ptr<TestAccount>> open;
        for (auto* address : { crowdAddress, crowdAddress, crowdAddress, callerAddress }) {
            CPPUNIT_ASSERT(listeners.callers.admit(listeners.now));
            open.push_back(std::make_unique<TestAccount>(listeners.callers, address, listeners.now));
        }
        CPPUNIT_ASSERT(!listeners.callers.admit(listeners.now));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, listeners.budget.shedCount(ShedReason::Closed));
        {
            Section section("other listeners have their own");
            CPPUNIT_ASSERT(listeners.ready.admit(listeners.now));
        }
        {
            Section section("the address with most connections yields its oldest one");
            listeners.now += Milliseconds { 5000 };
            open[0]->setActivity(Activity::Idle, listeners.now - Milliseconds { 1000 });
            CPPUNIT_ASSERT(listeners.callers.admit(listeners.now));
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, open[1]->shedFor.size());
            CPPUNIT_ASSERT(open[1]->shedFor.front() == ShedReason::Connections);
            CPPUNIT_ASSERT_EQUAL(size_t { 3 }, listeners.budget.connections());
        }
    }

    // Guards against an account that drifts from the sum of what its connections hold.
    void anyOrderOfUseKeepsTheBounds()
    {
        for (uint32_t seed = 1; seed <= 20; ++seed) {
            Section section("seed " + std::to_string(seed));
            Listeners listeners;
            std::mt19937 random(seed);
            auto below
                = [&random](size_t limit) { return std::uniform_int_distribution<size_t>(0, limit - 1)(random); };
            std::vector<std::unique_ptr<TestAccount>> open;
            for (int step = 0; step < 2000; ++step) {
                listeners.now += Milliseconds { below(300) };
                auto& part = below(3) == 0 ? listeners.ready : listeners.callers;
                if (open.empty() || below(4) == 0) {
                    if (part.admit(listeners.now))
                        open.push_back(std::make_unique<TestAccount>(
                            part, below(2) == 0 ? crowdAddress : callerAddress, listeners.now));
                    continue;
                }
                auto& account = open[below(open.size())];
                switch (below(4)) {
                case 0:
                    account->setActivity(static_cast<Activity>(below(4)), listeners.now);
                    break;
                case 1:
                    account.swap(open.back());
                    open.pop_back();
                    break;
                default:
                    account->resize(below(400), listeners.now);
                }
                size_t held = 0;
                for (const auto& each : open)
                    held += each->bytes();
                CPPUNIT_ASSERT_EQUAL(held, listeners.budget.usedBytes());
                CPPUNIT_ASSERT(held <= budgetBytes);
                CPPUNIT_ASSERT(listeners.budget.connections() <= 6);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionBudgetTest);

} // namespace shallotdrift
