#include "FreeAddress.h"
#include "Section.h"

#include "shallotdrift/Http.h"
#include "shallotdrift/src/Node/FleetProtocol.h"
#include "shallotdrift/src/Node/GuardedLoop.h"
#include "shallotdrift/src/Node/OwnerContacts.h"
#include "shallotdrift/src/Node/RecentOrders.h"
#include "shallotdrift/src/Node/WorkerSessions.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace shallotdrift {

class NodeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NodeTest);
    CPPUNIT_TEST(handlersThatThrowDoNotEndTheLoop);
    CPPUNIT_TEST(requestsWhoseHandlerThrowsHaveAnOpenOutcome);
    CPPUNIT_TEST(membershipExpiresWhileTheProcessIsPaused);
    CPPUNIT_TEST(itemsThatAreNoStringsAreLeftOut);
    CPPUNIT_TEST(entriesWithoutAConfiguredServiceReplaceNoWorker);
    CPPUNIT_TEST(recentOrdersOutlastTwoHandOvers);
    CPPUNIT_TEST(silentOwnersAreKnownUntilTheyRespond);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one unexpected error that ends the whole process: no handler of the event loop was guarded.
    void handlersThatThrowDoNotEndTheLoop()
    {
        asio::io_context io { 1 };
        int handled = 0;
        std::vector<std::string> errors;
        for (int i = 0; i < 3; ++i) {
            asio::post(io, [] { throw std::runtime_error("odd message"); });
            asio::post(io, [&] { ++handled; });
        }
        internal::runGuarded(io, [&](const std::exception& error) { errors.emplace_back(error.what()); });
        CPPUNIT_ASSERT_EQUAL(3, handled);
        CPPUNIT_ASSERT_EQUAL(size_t { 3 }, errors.size());
        CPPUNIT_ASSERT_EQUAL(std::string("odd message"), errors.front());
    }

    // Guards against a request that gets no response, or is told that it has not run, because its handler threw; and
    // against requests of other connections that suffer with it. Client and server share the loop.
    void requestsWhoseHandlerThrowsHaveAnOpenOutcome()
    {
        asio::io_context io { 1 };
        auto address = freeAddress(io);
        DeadlineQueue deadlines(io);
        HttpServer server(io, deadlines, HttpServerOptions { address },
            [](HttpMessage&& request, const HttpServer::ResponseCallback& respond) {
                if (request.target == "/odd")
                    throw std::runtime_error("odd request");
                respond({ 200 });
            });
        handleError([&] { return server.start(); }, [](const Error& error) { CPPUNIT_FAIL(error.message); });
        HttpClient client(io, deadlines, HttpClientOptions {});
        std::vector<unsigned> statuses;
        size_t errors = 0;
        auto send = [&](const char* target, bool throwing) {
            client.send(
                address, { "GET", target, {}, {}, {} }, Milliseconds { 2000 }, [&, throwing](HttpOutcome&& outcome) {
                    statuses.push_back(outcome.hasResponse ? outcome.response.status : 0);
                    if (statuses.size() == 4)
                        asio::post(io, [&] { io.stop(); });
                    if (throwing)
                        throw std::runtime_error("odd response");
                });
        };
        send("/odd", false);
        send("/", true);
        send("/", false);
        send("/odd", false);
        internal::runGuarded(io, [&](const std::exception&) { ++errors; });
        std::sort(statuses.begin(), statuses.end());
        CPPUNIT_ASSERT(statuses == (std::vector<unsigned> { 200, 200, 504, 504 }));
        CPPUNIT_ASSERT(errors >= 2);
    }

    // Guards against orders of a fleet manager that was paused after the store had accepted their record: meanwhile the
    // store may have made another member the manager.
    void membershipExpiresWhileTheProcessIsPaused()
    {
        Instant joined { Milliseconds { 1000000 } };
        internal::MembershipLease lease { joined, Milliseconds { 2000 } };
        CPPUNIT_ASSERT(lease.valid(joined + Milliseconds { 1999 }));
        CPPUNIT_ASSERT(!lease.valid(joined + Milliseconds { 2000 }));
        CPPUNIT_ASSERT(!internal::MembershipLease {}.valid(joined));
    }

    // Guards against passing every request on to an owner that accepts connections and answers nothing, and against
    // taking an owner that is only idle or slow for a silent one.
    void silentOwnersAreKnownUntilTheyRespond()
    {
        internal::OwnerContacts contacts(Milliseconds { 400 });
        Instant now { Milliseconds { 1000000 } };
        auto later = [&](int milliseconds) { return now += Milliseconds { milliseconds }; };
        CPPUNIT_ASSERT(!contacts.isSilent("a", now));
        {
            Section section("responses keep an owner in contact, also while other requests are open");
            contacts.onSent("a", now);
            contacts.onSent("a", later(300));
            contacts.onResponse("a", later(50));
            CPPUNIT_ASSERT(!contacts.isSilent("a", later(300)));
            contacts.onResponse("a", now);
            CPPUNIT_ASSERT(!contacts.isSilent("a", later(60000)));
        }
        {
            Section section("an owner without a response is silent, also when the requests have timed out");
            contacts.onSent("a", now);
            CPPUNIT_ASSERT(!contacts.isSilent("a", later(399)));
            CPPUNIT_ASSERT(contacts.isSilent("a", later(10)));
            CPPUNIT_ASSERT(!contacts.isSilent("b", now));
            contacts.onNoResponse("a");
            CPPUNIT_ASSERT(contacts.isSilent("a", later(60000)));
        }
        contacts.onSent("a", now); // a probe
        CPPUNIT_ASSERT(contacts.isSilent("a", now));
        contacts.onResponse("a", later(5));
        CPPUNIT_ASSERT(!contacts.isSilent("a", later(60000)));
    }

    // Guards against a stored wave with an item that is no string, which ended every new fleet manager.
    void itemsThatAreNoStringsAreLeftOut()
    {
        auto list = nlohmann::json::parse(R"(["m-1",7,null,["m-2"],"m-3"])");
        CPPUNIT_ASSERT(internal::parseStringSet(list) == (std::set<std::string> { "m-1", "m-3" }));
    }

    // Guards against an order for an instance that another manager has ordered within the cooldown: the manager between
    // the two overwrote the record of the first one's orders with its own.
    void recentOrdersOutlastTwoHandOvers()
    {
        WallTime now { Milliseconds { 1796384956000 } };
        Milliseconds cooldown { 3300 };
        internal::RecentOrders first(cooldown);
        first.add("m-1", now);
        internal::RecentOrders second(cooldown);
        CPPUNIT_ASSERT(second.restore(first.encode(now)));
        second.add("m-2", now + Milliseconds { 1000 });
        internal::RecentOrders third(cooldown);
        CPPUNIT_ASSERT(third.restore(second.encode(now + Milliseconds { 1000 })));
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, third.byInstance().size());
        CPPUNIT_ASSERT(third.byInstance().at("m-1") == now);
        third.encode(now + cooldown + Milliseconds { 1 });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, third.byInstance().size());
        CPPUNIT_ASSERT(!third.restore("[]"));
    }

    // Guards against ending the runs of a worker and starting them elsewhere because another writer left an entry for
    // its instance with a later start.
    void entriesWithoutAConfiguredServiceReplaceNoWorker()
    {
        auto entry = [](const char* id, const char* service, int64_t bootTime) {
            WorkerInfo info;
            info.id = id;
            info.instance = "m-1";
            info.service = service;
            info.bootTime = bootTime;
            return std::make_pair(info.id, info);
        };
        std::map<std::string, ServiceConfiguration> services { { "reports", { "reports", true, false } },
            { "office", { "office", true, true } } };
        auto worker = entry("i-1", "reports", 1000);
        std::map<std::string, WorkerInfo> registry { worker, entry("i-2", "unknown", 2000) };
        CPPUNIT_ASSERT(!internal::LatestIncarnations(registry, services).isReplaced(worker.second));
        registry.insert(entry("i-3", "office", 1500));
        CPPUNIT_ASSERT(internal::LatestIncarnations(registry, services).isReplaced(worker.second));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

} // namespace shallotdrift
