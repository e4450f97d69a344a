#include "FreeAddress.h"
#include "Section.h"

#include "shallotdrift/Http.h"
#include "shallotdrift/src/Http/HttpClient.h"
#include "shallotdrift/src/Http/HttpServer.h"

#include <algorithm>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <vector>

namespace shallotdrift {

namespace {

    constexpr char identifyTarget[] = "/identify";
    constexpr char orderTarget[] = "/order";

    // A client, and a process that can be replaced by another one at its address.
    struct ReplaceableServer {
        ReplaceableServer() { replace(1); }

        void replace(uint64_t process)
        {
            server.reset();
            id = process;
            targets.clear();
            server = std::make_unique<HttpServer>(io, deadlines, HttpServerOptions { address },
                [this](HttpMessage&& request, const HttpServer::ResponseCallback& respond) {
                    targets.push_back(request.target);
                    if (!silent)
                        respond({ 200, std::to_string(id) });
                });
            handleError([&] { return server->start(); }, [](const Error& error) { CPPUNIT_FAIL(error.message); });
        }

        // The outcome of an order for the process; 0: for any process.
        HttpOutcome send(uint64_t process)
        {
            HttpPeer peer;
            peer.id = process;
            peer.identify = [] { return HttpRequest { "GET", identifyTarget, {}, {}, {} }; };
            peer.idOf = [](const HttpMessage& response) { return std::stoull(response.body); };
            std::optional<HttpOutcome> result;
            client.send(
                address, { "POST", orderTarget, {}, {}, {} }, Milliseconds { 300 },
                [&](HttpOutcome&& outcome) { result = std::move(outcome); }, std::make_shared<const HttpPeer>(peer));
            while (!result)
                io.run_for(Milliseconds { 5 });
            return std::move(*result);
        }

        asio::io_context io { 1 };
        std::string address = freeAddress(io);
        DeadlineQueue deadlines { io };
        HttpClient client { io, deadlines, HttpClientOptions {} };
        uint64_t id = 0;
        bool silent = false;
        std::vector<std::string> targets; // of the requests that the current process has received
        std::unique_ptr<HttpServer> server;
    };

    // Sends the bytes of a response one by one to the first connection.
    struct SlowServer {
        explicit SlowServer(std::string bytesToSend)
            : bytes(std::move(bytesToSend))
        {
            acceptor.async_accept(socket, [this](std::error_code) { sendNext(); });
        }

        void sendNext()
        {
            if (sent == bytes.size())
                return;
            std::error_code ignored;
            asio::write(socket, asio::buffer(&bytes[sent++], 1), ignored);
            timer.expires_after(Milliseconds { 10 });
            timer.async_wait([this](std::error_code error) {
                if (!error)
                    sendNext();
            });
        }

        HttpOutcome request(HttpClientOptions options)
        {
            HttpClient client(io, deadlines, options);
            std::optional<HttpOutcome> result;
            client.send(fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port()), { "GET", "/", {}, {}, {} },
                Milliseconds { 200 }, [&](HttpOutcome&& outcome) { result = std::move(outcome); });
            while (!result)
                io.run_for(Milliseconds { 5 });
            return std::move(*result);
        }

        std::string bytes;
        size_t sent = 0;
        asio::io_context io { 1 };
        DeadlineQueue deadlines { io };
        asio::ip::tcp::acceptor acceptor { io, { asio::ip::make_address("127.0.0.1"), 0 } };
        asio::ip::tcp::socket socket { io };
        asio::steady_timer timer { io };
    };

} // namespace

class HttpClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(boundRequestsReachNoOtherProcess);
    CPPUNIT_TEST(requestsToAnyProcessIdentifyIt);
    CPPUNIT_TEST(requestsWithoutIdentificationAreNotSent);
    CPPUNIT_TEST(responsesThatArriveSlowlyAreNotGivenUp);
    CPPUNIT_TEST_SUITE_END();

    using Targets = std::vector<std::string>;

public:
    // Guards against an order that is carried out by the next process at the address of the one that it was meant for.
    void boundRequestsReachNoOtherProcess()
    {
        ReplaceableServer peer;
        {
            Section section("the process identifies itself once on a connection");
            CPPUNIT_ASSERT(peer.send(1).hasResponse);
            CPPUNIT_ASSERT(peer.send(1).hasResponse);
            CPPUNIT_ASSERT(peer.targets == (Targets { identifyTarget, orderTarget, orderTarget }));
        }
        peer.replace(2);
        {
            Section section("the next process does not get the orders for the former one");
            for (int i = 0; i < 3; ++i) {
                auto outcome = peer.send(1);
                CPPUNIT_ASSERT(!outcome.hasResponse);
            }
            CPPUNIT_ASSERT(std::find(peer.targets.begin(), peer.targets.end(), orderTarget) == peer.targets.end());
            CPPUNIT_ASSERT(!peer.send(1).sent);
        }
        Section section("it gets its own");
        CPPUNIT_ASSERT(peer.send(2).hasResponse);
        CPPUNIT_ASSERT_EQUAL(std::string(orderTarget), peer.targets.back());
    }

    void requestsToAnyProcessIdentifyIt()
    {
        ReplaceableServer peer;
        CPPUNIT_ASSERT(peer.send(0).hasResponse);
        CPPUNIT_ASSERT(peer.send(1).hasResponse);
        CPPUNIT_ASSERT(peer.targets == (Targets { orderTarget, orderTarget }));
    }

    // Guards against a large response that is requested again and again, because it takes longer than the timeout.
    void responsesThatArriveSlowlyAreNotGivenUp()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n";
        HttpClientOptions options;
        options.progressTimeout = Milliseconds { 150 };
        {
            Section section("a response whose bytes keep coming arrives");
            CPPUNIT_ASSERT(SlowServer(head + std::string(30, 'x')).request(options).hasResponse);
        }
        {
            Section section("one that stops halfway is given up");
            CPPUNIT_ASSERT(!SlowServer(head + "x").request(options).hasResponse);
        }
        {
            Section section("and so is one that never ends");
            options.maximumExtension = Milliseconds { 100 };
            CPPUNIT_ASSERT(!SlowServer(head + std::string(30, 'x')).request(options).hasResponse);
        }
        Section section("without the option, the timeout stands");
        CPPUNIT_ASSERT(!SlowServer(head + std::string(30, 'x')).request(HttpClientOptions {}).hasResponse);
    }

    void requestsWithoutIdentificationAreNotSent()
    {
        ReplaceableServer peer;
        peer.silent = true;
        auto outcome = peer.send(1);
        CPPUNIT_ASSERT(!outcome.hasResponse);
        CPPUNIT_ASSERT(!outcome.sent);
        CPPUNIT_ASSERT(peer.targets == Targets { identifyTarget });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace shallotdrift
