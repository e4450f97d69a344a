#include "FreeAddress.h"
#include "Section.h"

#include "shallotdrift/Http.h"
#include "shallotdrift/src/Http/HttpServer.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace shallotdrift {

namespace {

    constexpr size_t budgetBytes = 100 << 10;
    constexpr size_t crowdSize = 16;

    // A server whose head handler refuses the path "/no" and whose handler answers with the size of the body, and a
    // client that sends raw bytes.
    struct TestServer {
        TestServer()
        {
            HttpServerOptions options { address };
            options.maximumConnections = 20;
            options.budget = budget;
            server = std::make_unique<HttpServer>(
                io, deadlines, options,
                [this](HttpMessage&& request, const HttpServer::ResponseCallback& respond) {
                    ++handled;
                    respond({ 200, std::to_string(request.body.size()) });
                },
                [](const HttpMessage& head) {
                    return head.target == "/no" ? std::optional(HttpResponse { 404 }) : std::nullopt;
                });
            handleError([&] { return server->start(); }, [](const Error& error) { CPPUNIT_FAIL(error.message); });
        }

        std::unique_ptr<asio::ip::tcp::socket> connect()
        {
            auto socket = std::make_unique<asio::ip::tcp::socket>(io);
            auto endpoint = handleError([&]() -> Result<asio::ip::tcp::endpoint> { return parseAddress(address); },
                [](const Error&) { return asio::ip::tcp::endpoint(); });
            socket->connect(endpoint);
            return socket;
        }

        // Runs until the condition holds.
        template <typename Condition> void runUntil(Condition&& condition)
        {
            for (int round = 0; round < 1000 && !condition(); ++round)
                io.run_for(Milliseconds { 5 });
            CPPUNIT_ASSERT(condition());
        }

        // Sends the bytes and returns what is received then.
        std::string exchange(asio::ip::tcp::socket& socket, const std::string& bytes)
        {
            asio::write(socket, asio::buffer(bytes));
            runUntil([&socket] { return socket.available() > 0; });
            return receive(socket);
        }

        static std::string receive(asio::ip::tcp::socket& socket)
        {
            std::array<char, 4096> buffer {};
            std::error_code error;
            auto length = socket.read_some(asio::buffer(buffer), error);
            return { buffer.data(), length };
        }

        asio::io_context io { 1 };
        std::string address = freeAddress(io);
        DeadlineQueue deadlines { io };
        std::shared_ptr<ConnectionBudget> budget = std::make_shared<ConnectionBudget>(budgetBytes);
        int handled = 0;
        std::unique_ptr<HttpServer> server;
    };

    bool hasStatus(const std::string& response, const std::string& status)
    {
        return response.compare(0, 9 + status.size(), "HTTP/1.1 " + status) == 0;
    }

    std::string post(const std::string& path, size_t declared, size_t sent)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(declared) + "\r\n\r\n"
            + std::string(sent, 'x');
    }

} // namespace

class HttpServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(refusedHeadsKeepNoBody);
    CPPUNIT_TEST(ordinaryRequestsAreServedBesideACrowd);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bodies that are kept for a path that takes none.
    void refusedHeadsKeepNoBody()
    {
        TestServer test;
        auto socket = test.connect();
        {
            Section section("a body that has arrived is dropped, and the connection stays");
            CPPUNIT_ASSERT(hasStatus(test.exchange(*socket, post("/no", 10, 10)), "404"));
            CPPUNIT_ASSERT(hasStatus(test.exchange(*socket, post("/yes", 10, 10)), "200"));
            CPPUNIT_ASSERT_EQUAL(1, test.handled);
        }
        {
            Section section("the response does not wait for a body");
            auto response = test.exchange(*socket, post("/no", 60000, 10));
            CPPUNIT_ASSERT(hasStatus(response, "404"));
            CPPUNIT_ASSERT(response.find("Connection: close\r\n") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(1, test.handled);
        }
        {
            Section section("a body of a GET is dropped");
            auto other = test.connect();
            auto response = test.exchange(*other, "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
            CPPUNIT_ASSERT(hasStatus(response, "200"));
            CPPUNIT_ASSERT_EQUAL('0', response.back());
        }
    }

    // Guards against a crowd of unfinished bodies that keeps the memory of the connections.
    void ordinaryRequestsAreServedBesideACrowd()
    {
        TestServer test;
        std::vector<std::unique_ptr<asio::ip::tcp::socket>> crowd;
        auto shedCount = [&test] { return test.budget->shedCount(ConnectionBudget::ShedReason::Memory); };
        for (size_t i = 0; i < crowdSize; ++i) {
            crowd.push_back(test.connect());
            asio::write(*crowd.back(), asio::buffer(post("/yes", 20000, 19999)));
            test.runUntil([&] { return test.budget->connections() > i; });
            CPPUNIT_ASSERT(test.budget->usedBytes() <= budgetBytes);
        }
        test.runUntil([&] { return shedCount() >= crowdSize - budgetBytes / 20000; });
        CPPUNIT_ASSERT(test.budget->usedBytes() <= budgetBytes);
        {
            Section section("a shed request is refused as not run");
            test.runUntil([&] { return crowd.front()->available() > 0; });
            CPPUNIT_ASSERT(hasStatus(TestServer::receive(*crowd.front()), "503"));
            CPPUNIT_ASSERT_EQUAL(0, test.handled);
        }
        {
            Section section("an ordinary one is served");
            auto socket = test.connect();
            CPPUNIT_ASSERT(hasStatus(test.exchange(*socket, post("/yes", 5000, 5000)), "200"));
            CPPUNIT_ASSERT_EQUAL(1, test.handled);
        }
        {
            Section section("all is released with the connections");
            crowd.clear();
            test.server.reset();
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, test.budget->usedBytes());
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, test.budget->connections());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace shallotdrift
