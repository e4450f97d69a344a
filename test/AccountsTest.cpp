#include "Section.h"

#include "shallotdrift/Accounts.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <fmt/format.h>
#include <memory>
#include <random>

namespace shallotdrift {

namespace {

    constexpr int64_t quotaCores = 40000; // thousandths of a core

    ClientAccounts accountsWithQuota(int64_t milliCores)
    {
        return { { "team", { "team", { milliCores, 0, 0 }, 10 } } };
    }

    // Owners and allocators of one account's quota, connected by messages that are lost, delayed and overtaken. Owners
    // are replaced while the former one goes on until the store fences it, and allocators while the former one goes on.
    class QuotaSimulation {
    public:
        explicit QuotaSimulation(uint64_t seed)
            : random_(seed)
        {
            for (int i = 0; i < 3; ++i)
                services_[fmt::format("s{}", i)].unit = int64_t { 1000 } * (i + 1);
            for (auto& [name, service] : services_)
                service.ledger->setAccounts(accountsWithQuota(quota()));
            replaceAllocator();
        }

        void step()
        {
            auto event = pick(48);
            if (event == 0)
                replaceAllocator();
            else if (event == 1)
                replaceOwner(anyService());
            else if (event == 2)
                changeQuota();
            else if (event == 3)
                changeServices();
            else if (event < 8)
                endRun(anyService());
            else if (event < 18)
                startRun(anyService());
            else if (event < 22)
                exchange(*allocators_.back());
            else if (event == 22)
                exchange(*allocators_[pick(allocators_.size())]); // also a former one that goes on
            else
                for (int i = 0; i < 2; ++i)
                    deliver();
            for (auto& [name, service] : services_)
                count(service);
        }

        int64_t used() const
        {
            int64_t sum = 0;
            for (const auto& [name, service] : services_)
                sum += service.runs * service.unit;
            return sum;
        }
        // The highest quota that may be in force: from the oldest version that anyone still has to the newest.
        int64_t highestQuota() const
        {
            size_t oldest = quotas_.size() - 1;
            for (const auto& [name, service] : services_)
                oldest = std::min(oldest, service.version);
            for (const auto& allocator : allocators_)
                oldest = std::min(oldest, allocator->version);
            return *std::max_element(quotas_.begin() + static_cast<ptrdiff_t>(oldest), quotas_.end());
        }
        bool startedOverQuota() const { return startedOverQuota_; }

        // Messages arrive again and nobody is replaced any more; all services want more than the quota. Runs end and
        // others start, until for the last rounds none ends.
        void settle()
        {
            messages_.clear();
            allocators_.front().swap(allocators_.back());
            allocators_.resize(1);
            auto& allocator = *allocators_.back();
            allocator.version = quotas_.size() - 1;
            allocator.allocator.setAccounts(accountsWithQuota(quota()));
            allocator.allocator.setServices(serviceNames());
            for (auto& [name, service] : services_) {
                service.version = quotas_.size() - 1;
                service.ledger->setAccounts(accountsWithQuota(quota()));
            }
            for (int round = 0; round < 300; ++round) {
                exchange(allocator);
                while (!messages_.empty())
                    deliver(true);
                for (auto& [name, service] : services_) {
                    if (round < 270 && round % 2 == 0)
                        endRun(service);
                    for (int i = 0; i < 3; ++i)
                        startRun(service);
                }
            }
        }
        bool eachServiceRuns() const
        {
            return std::all_of(
                services_.begin(), services_.end(), [](const auto& entry) { return entry.second.runs > 0; });
        }
        size_t starts() const { return starts_; }
        static constexpr int64_t largestUnit = 3000;
        int64_t quota() const { return quotas_.back(); }

    private:
        struct Service {
            std::unique_ptr<QuotaLedger> ledger = std::make_unique<QuotaLedger>();
            uint64_t ownerToken = 1;
            int64_t unit = 1000; // thousandths of a core for each run
            int64_t runs = 0; // as stored; the next owner reads them
            size_t version = 0; // of the quota that the owner has heard of
        };
        struct Allocator {
            QuotaAllocator allocator;
            uint64_t token = 0;
            size_t version = 0;
        };
        struct Message {
            Allocator* allocator = nullptr;
            std::string service;
            uint64_t round = 0;
            QuotaAllocator::Offer offer;
            std::optional<QuotaAllocator::Report> report; // set: the response
        };

        size_t pick(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random_); }
        Service& anyService() { return services_.at(fmt::format("s{}", pick(services_.size()))); }

        void count(Service& service)
        {
            auto& ledger = *service.ledger;
            auto account = ledger.indexOf("team");
            ledger.clearUsed();
            ledger.addUsed(account, { service.runs * service.unit, 0, 0 });
            ledger.clearWanted();
            ledger.addWanted(account, { 30 * service.unit, 0, 0 }, { service.unit, 0, 0 });
        }

        void startRun(Service& service)
        {
            count(service);
            if (!service.ledger->mayStart(service.ledger->indexOf("team"), { service.unit, 0, 0 }))
                return;
            ++service.runs;
            ++starts_;
            startedOverQuota_ = startedOverQuota_ || used() > highestQuota();
            count(service);
        }
        void endRun(Service& service) { service.runs = std::max<int64_t>(0, service.runs - 1); }

        void replaceOwner(Service& service)
        {
            service.ledger = std::make_unique<QuotaLedger>();
            service.version = quotas_.size() - 1;
            service.ledger->setAccounts(accountsWithQuota(quota()));
            ++service.ownerToken;
            count(service);
        }

        void replaceAllocator()
        {
            allocators_.push_back(std::make_unique<Allocator>());
            auto& allocator = *allocators_.back();
            allocator.token = allocators_.size();
            allocator.version = quotas_.size() - 1;
            allocator.allocator.setServices(serviceNames());
            allocator.allocator.setAccounts(accountsWithQuota(quota()));
            if (allocators_.size() > 3)
                former_.push_back(std::move(allocators_.front())), allocators_.erase(allocators_.begin());
        }

        std::set<std::string> serviceNames() const
        {
            std::set<std::string> names;
            for (const auto& [name, service] : services_)
                names.insert(name);
            return names;
        }

        // A service leaves the configuration, or comes back. Its owner goes on with the jobs that it has.
        void changeServices()
        {
            auto names = serviceNames();
            if (pick(2) == 0)
                names.erase(fmt::format("s{}", pick(services_.size())));
            allocators_.back()->allocator.setServices(names);
        }

        // Some hear of the change at once, the others later.
        void changeQuota()
        {
            quotas_.push_back(static_cast<int64_t>(10 + pick(60)) * 1000);
            for (auto& [name, service] : services_)
                if (pick(2) == 0) {
                    service.version = quotas_.size() - 1;
                    service.ledger->setAccounts(accountsWithQuota(quota()));
                }
            for (auto& allocator : allocators_)
                if (pick(2) == 0) {
                    allocator->version = quotas_.size() - 1;
                    allocator->allocator.setAccounts(accountsWithQuota(quota()));
                }
        }

        void exchange(Allocator& allocator)
        {
            auto offers = allocator.allocator.makeOffers();
            for (auto& [name, service] : services_)
                messages_.push_back({ &allocator, name, allocator.allocator.round(), offers[name], {} });
        }

        // Delivers any message, which may be lost or delivered again later.
        void deliver(bool reliable = false)
        {
            if (messages_.empty())
                return;
            auto position = messages_.begin() + static_cast<ptrdiff_t>(reliable ? 0 : pick(messages_.size()));
            auto message = *position;
            if (reliable || pick(4) != 0)
                messages_.erase(position);
            if (!reliable && pick(5) == 0)
                return;
            if (message.report) {
                message.allocator->allocator.onReport(*message.report);
                return;
            }
            auto& service = services_.at(message.service);
            auto& ledger = *service.ledger;
            auto managerToken = message.allocator->token;
            if (managerToken < ledger.lastRound().managerToken)
                return; // owners reject a manager that has been replaced
            bool addressed = message.offer.ownerToken == service.ownerToken;
            ledger.applyParts(
                { managerToken, message.round }, addressed ? message.offer.parts : std::vector<QuotaPart> {});
            count(service);
            const auto& round = ledger.lastRound();
            message.report = QuotaAllocator::Report { message.service, service.ownerToken,
                round.managerToken == managerToken ? round.number : 0, ledger.holdings() };
            messages_.push_back(message);
        }

        std::mt19937_64 random_;
        std::vector<int64_t> quotas_ { quotaCores }; // by version
        std::map<std::string, Service> services_;
        std::vector<std::unique_ptr<Allocator>> allocators_;
        std::vector<std::unique_ptr<Allocator>> former_;
        std::deque<Message> messages_;
        bool startedOverQuota_ = false;
        size_t starts_ = 0;
    };

} // namespace

class AccountsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AccountsTest);
    CPPUNIT_TEST(keysBelongToOneAccount);
    CPPUNIT_TEST(quotasHoldThroughLossAndReplacement);
    CPPUNIT_TEST(idlePartsMoveToWhereTasksWait);
    CPPUNIT_TEST(loweredQuotasStartNothing);
    CPPUNIT_TEST(newAllocatorsLendNothingUntilAllServicesHaveReported);
    CPPUNIT_TEST(partsFitWholeTasks);
    CPPUNIT_TEST_SUITE_END();

    static QuotaAllocator::Report report(const std::string& service, uint64_t round, int64_t lent, int64_t used,
        int64_t wanted, int64_t unit = 1000, uint64_t owner = 1)
    {
        return { service, owner, round,
            { { "team", { lent, 0, 0 }, { used, 0, 0 }, { wanted, 0, 0 }, { unit, 0, 0 } } } };
    }

    static QuotaAllocator allocatorOf(const std::set<std::string>& services)
    {
        QuotaAllocator allocator;
        allocator.setAccounts(accountsWithQuota(quotaCores));
        allocator.setServices(services);
        return allocator;
    }

public:
    // Guards against a key that admits its holder to another account, and against one that is accepted after it was
    // given to two accounts.
    void keysBelongToOneAccount()
    {
        AccountKeys keys;
        keys.add("first-key", "north");
        keys.add("second-key", "north");
        keys.add("third-key", "south");
        CPPUNIT_ASSERT_EQUAL(std::string("north"), *keys.findAccount("second-key"));
        CPPUNIT_ASSERT_EQUAL(std::string("south"), *keys.findAccount("third-key"));
        CPPUNIT_ASSERT(!keys.findAccount("third-ke"));
        CPPUNIT_ASSERT(!keys.findAccount(""));
        keys.add("first-key", "north");
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, keys.ambiguousKeys());
        keys.add("first-key", "south");
        CPPUNIT_ASSERT(!keys.findAccount("first-key"));
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, keys.ambiguousKeys());
    }

    // Guards against more tasks of an account than its quota allows, through the loss of owners and allocators, former
    // ones that go on, messages that are lost, late or repeated, and changes of the quota; and against parts that stay
    // with nobody afterwards.
    void quotasHoldThroughLossAndReplacement()
    {
        size_t starts = 0;
        for (uint64_t seed = 1; seed <= 2000; ++seed) {
            Section section(fmt::format("seed {}", seed));
            QuotaSimulation simulation(seed);
            for (int step = 0; step < 400; ++step)
                simulation.step();
            starts += simulation.starts();
            CPPUNIT_ASSERT(!simulation.startedOverQuota());
            simulation.settle();
            CPPUNIT_ASSERT(!simulation.startedOverQuota());
            CPPUNIT_ASSERT(simulation.used() <= simulation.quota());
            CPPUNIT_ASSERT(simulation.used() >= simulation.quota() - 2 * QuotaSimulation::largestUnit);
            CPPUNIT_ASSERT(simulation.eachServiceRuns());
        }
        CPPUNIT_ASSERT(
            starts > size_t { 2000 } * 10); // before the settlement, so parts were lent amid the disturbances
    }

    // Guards against a part that lies idle at one owner while tasks wait at another.
    void idlePartsMoveToWhereTasksWait()
    {
        auto allocator = allocatorOf({ "a", "b" });
        allocator.makeOffers();
        allocator.onReport(report("a", 1, 0, 0, 0));
        allocator.onReport(report("b", 1, 0, 0, 0));
        auto offers = allocator.makeOffers();
        auto inAdvance = offers.at("a").parts.front().lent.milliCores;
        CPPUNIT_ASSERT(inAdvance > 0);
        allocator.onReport(report("a", 2, inAdvance, 0, 0));
        allocator.onReport(report("b", 2, inAdvance, inAdvance, quotaCores));
        {
            Section section("what nobody holds is lent at once, and the idle part shrinks");
            offers = allocator.makeOffers();
            CPPUNIT_ASSERT_EQUAL(quotaCores - inAdvance, offers.at("b").parts.front().lent.milliCores);
            CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, offers.at("a").parts.front().lent.milliCores);
        }
        {
            Section section("the idle part counts until its owner has confirmed the smaller one");
            CPPUNIT_ASSERT_EQUAL(inAdvance, allocator.boundOf("a", "team").milliCores);
            allocator.onReport(report("a", 3, 0, 0, 0));
            CPPUNIT_ASSERT_EQUAL(int64_t { 0 }, allocator.boundOf("a", "team").milliCores);
            offers = allocator.makeOffers();
            CPPUNIT_ASSERT_EQUAL(quotaCores, offers.at("b").parts.front().lent.milliCores);
        }
    }

    // Guards against starts beyond a quota that was lowered, before the allocator has lent smaller parts.
    void loweredQuotasStartNothing()
    {
        QuotaLedger ledger;
        ledger.setAccounts(accountsWithQuota(quotaCores));
        auto account = ledger.indexOf("team");
        CPPUNIT_ASSERT(!ledger.mayStart(account, { 1000, 0, 0 }));
        CPPUNIT_ASSERT(ledger.applyParts({ 1, 1 }, { { "team", { 20000, 0, 0 }, { quotaCores, 0, 0 } } }));
        ledger.addUsed(account, { 12000, 0, 0 });
        CPPUNIT_ASSERT(ledger.mayStart(account, { 8000, 0, 0 }));
        CPPUNIT_ASSERT(!ledger.mayStart(account, { 8001, 0, 0 }));
        ledger.setAccounts(accountsWithQuota(quotaCores / 2));
        CPPUNIT_ASSERT(!ledger.mayStart(account, { 1, 0, 0 }));
        {
            Section section("a higher quota allows no more than what was lent");
            ledger.setAccounts(accountsWithQuota(quotaCores * 2));
            CPPUNIT_ASSERT(!ledger.mayStart(account, { 8001, 0, 0 }));
        }
        {
            Section section("an account without a quota has no limit");
            ledger.setAccounts({});
            CPPUNIT_ASSERT(ledger.mayStart(account, { 80000, 0, 0 }));
        }
        {
            Section section("messages of former managers and earlier ones are ignored");
            ledger.setAccounts(accountsWithQuota(quotaCores));
            CPPUNIT_ASSERT(!ledger.applyParts({ 0, 9 }, { { "team", { 90000, 0, 0 }, { quotaCores, 0, 0 } } }));
            CPPUNIT_ASSERT(!ledger.applyParts({ 1, 1 }, { { "team", { 90000, 0, 0 }, { quotaCores, 0, 0 } } }));
            CPPUNIT_ASSERT(!ledger.mayStart(account, { 8001, 0, 0 }));
        }
    }

    // Guards against lending what a former allocator has lent already.
    void newAllocatorsLendNothingUntilAllServicesHaveReported()
    {
        auto allocator = allocatorOf({ "a", "b" });
        allocator.makeOffers();
        allocator.onReport(report("a", 1, 0, 0, quotaCores));
        CPPUNIT_ASSERT(allocator.makeOffers().empty());
        allocator.onReport(report("b", 1, 30000, 30000, 0));
        auto offers = allocator.makeOffers();
        CPPUNIT_ASSERT_EQUAL(int64_t { 10000 }, offers.at("a").parts.front().lent.milliCores);
        {
            Section section("the part of a lost owner counts until the next one has reported");
            CPPUNIT_ASSERT_EQUAL(int64_t { 30000 }, allocator.boundOf("b", "team").milliCores);
            allocator.onReport(report("b", 0, 0, 5000, 0, 1000, 2));
            CPPUNIT_ASSERT_EQUAL(int64_t { 5000 }, allocator.boundOf("b", "team").milliCores);
        }
        {
            Section section("a late report of the lost owner is ignored");
            allocator.onReport(report("b", 1, 30000, 0, 0));
            CPPUNIT_ASSERT_EQUAL(int64_t { 5000 }, allocator.boundOf("b", "team").milliCores);
        }
    }

    // Guards against dividing a small quota into parts of which none is large enough for a task.
    void partsFitWholeTasks()
    {
        auto allocator = allocatorOf({ "a", "b", "c", "d" });
        allocator.makeOffers();
        for (const char* service : { "a", "b", "c", "d" })
            allocator.onReport(report(service, 1, 0, 0, 26000, 13000));
        auto offers = allocator.makeOffers();
        int64_t tasks = 0;
        for (const auto& [service, offer] : offers)
            tasks += offer.parts.front().lent.milliCores / 13000;
        CPPUNIT_ASSERT_EQUAL(int64_t { 3 }, tasks);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountsTest);

} // namespace shallotdrift
