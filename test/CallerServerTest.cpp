#include "Sockets.h"
#include "Story.h"

#include "shallotdrift/Callers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace shallotdrift {

using testing::eventually;
using testing::RawConnection;

namespace {

    // Keeps requests until the test answers them.
    class Server {
    public:
        explicit Server(CallerServerOptions options = {})
        {
            options.listenAddress = "127.0.0.1:0";
            server_ = std::make_unique<CallerServer>(
                options, [this](CallerRequest&& request) { return requests.tryPush(std::move(request)); },
                [this](uint64_t id) { cancelled.push(id); });
            if (!server_->start())
                throw std::runtime_error("the server did not start");
        }
        ~Server() { server_->stop(); }

        CallerServer* operator->() { return server_.get(); }
        RawConnection connect() { return RawConnection(server_->port()); }
        CallerRequest next() { return requests.popFor(std::chrono::seconds(5)).value(); }
        void answer(const CallerRequest& request, const std::string& body)
        {
            server_->reply(request.id, { ResultCode::Ok, body, "text/plain", {}, {} });
        }

        BoundedRing<CallerRequest> requests { 16 };
        BoundedRing<uint64_t> cancelled { 16 };

    private:
        std::unique_ptr<CallerServer> server_;
    };

    std::string work(const std::string& id, const std::string& body = "", const std::string& headers = "")
    {
        return fmt::format("POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: {}\r\n{}Content-Length: {}\r\n\r\n{}", id,
            headers, body.size(), body);
    }

    void assertAnswer(const HttpMessage& answer, unsigned status, const std::string& code, const std::string& requestId)
    {
        CPPUNIT_ASSERT_EQUAL(status, answer.status);
        CPPUNIT_ASSERT_EQUAL(code, std::string(answer.single("Result-Code")));
        CPPUNIT_ASSERT_EQUAL(requestId, std::string(answer.single("Request-Id")));
        CPPUNIT_ASSERT(digestFromHex(answer.single("Body-Digest")) == digestOf(answer.body));
        auto number = parseNumber(code, 999);
        CPPUNIT_ASSERT(executionFromName(answer.single("Execution")) == executionOf(ResultCode(number.value())));
    }

} // namespace

class CallerServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallerServerTest);
    CPPUNIT_TEST(answersRequestsInOrder);
    CPPUNIT_TEST(routesEveryPath);
    CPPUNIT_TEST(refusesMalformedRequests);
    CPPUNIT_TEST(refusesOversizedRequests);
    CPPUNIT_TEST(boundsTime);
    CPPUNIT_TEST(boundsConnections);
    CPPUNIT_TEST(cancelsWhenTheCallerLeaves);
    CPPUNIT_TEST(drainsWithoutLoss);
    CPPUNIT_TEST(survivesAnyBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers that swap places on a pipelined connection, and against a lost header.
    void answersRequestsInOrder()
    {
        Server server;
        auto caller = server.connect();
        caller.send(work("a", "first", "Idempotency-Key: 1-x\r\nTimeout-Ms: 250\r\nTeam: lab\r\n") + work("b", "second")
            + "POST /v1/nothing HTTP/1.1\r\nRequest-Id: c\r\n\r\n" + work("d"));
        auto first = server.next();
        CPPUNIT_ASSERT_EQUAL(std::string("first"), first.body);
        CPPUNIT_ASSERT_EQUAL(std::string("1-x"), first.key);
        CPPUNIT_ASSERT_EQUAL(std::string("lab"), first.team);
        CPPUNIT_ASSERT(first.timeout == Milliseconds(250));
        CPPUNIT_ASSERT(!server.requests.tryPop());
        server->reply(first.id, { ResultCode::JobFailed, "", "", "receipt 1", "line\r\nInjected: yes" });
        auto answer = caller.receive();
        assertAnswer(answer, 500, "201", "a");
        CPPUNIT_ASSERT_EQUAL(std::string("receipt 1"), std::string(answer.single("Receipt")));
        CPPUNIT_ASSERT(!answer.find("Injected"));
        {
            Section second("the second request follows the first answer, a refused third keeps its place");
            auto request = server.next();
            server.answer(request, "done b");
            answer = caller.receive();
            assertAnswer(answer, 200, "0", "b");
            CPPUNIT_ASSERT_EQUAL(std::string("done b"), answer.body);
            assertAnswer(caller.receive(), 404, "112", "c");
            server.answer(server.next(), std::string(3 << 20, 'x'));
            answer = caller.receive();
            assertAnswer(answer, 200, "0", "d");
            CPPUNIT_ASSERT_EQUAL(size_t { 3 << 20 }, answer.body.size());
        }
        CPPUNIT_ASSERT(eventually([&] { return server->openRequests() == 0; }));
        {
            Section expectation("a caller may ask before it sends its body");
            caller.send("POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: e\r\nExpect: 100-continue\r\nContent-Length: "
                        "2\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL(100U, caller.receive().status);
            caller.send("ab");
            server.answer(server.next(), "expected");
            CPPUNIT_ASSERT_EQUAL(std::string("expected"), caller.receive().body);
        }
    }

    // Guards against a path that reaches the wrong operation.
    void routesEveryPath()
    {
        using Type = CallerRequest::Type;
        Server server;
        auto caller = server.connect();
        const std::vector<std::tuple<std::string, Type, std::string>> cases {
            { "POST /v1/requests/risk.score", Type::Work, "risk.score" },
            { "GET /v1/keys/1700000000000-ab", Type::KeyQuery, "1700000000000-ab" },
            { "POST /v1/tasks/archive", Type::TaskSubmit, "archive" },
            { "GET /v1/tasks/e1:2:3", Type::TaskQuery, "e1:2:3" },
            { "DELETE /v1/tasks/e1:2:3", Type::TaskCancel, "e1:2:3" },
        };
        for (const auto& [line, type, subject] : cases) {
            caller.send(line
                + " HTTP/1.1\r\nRequest-Id: r\r\nDeclared-Cores: 4\r\nDeclared-Memory-Mb: 512\r\n"
                  "Declared-Accelerators: 1\r\nDeclared-Runtime-Ms: 9\r\n\r\n");
            auto request = server.next();
            CPPUNIT_ASSERT(request.type == type);
            CPPUNIT_ASSERT_EQUAL(subject, request.subject);
            CPPUNIT_ASSERT(request.declaredCores == 4 && request.declaredMemoryMegabytes == 512);
            CPPUNIT_ASSERT(request.declaredAccelerators == 1 && request.declaredRuntime == Milliseconds(9));
            server.answer(request, "");
            assertAnswer(caller.receive(), 200, "0", "r");
        }
    }

    // Guards against malformed input that is passed on, closes without an answer or desynchronises the connection.
    void refusesMalformedRequests()
    {
        Server server;
        const std::vector<std::tuple<std::string, unsigned, std::string>> cases {
            { "BREW /v1/requests/quick HTTP/1.1\r\n\r\n", 400, "-" },
            { "\x16\x03\x01 handshake\r\n\r\n", 400, "-" },
            { "POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: r\r\nContent-Length: ten\r\n\r\n", 400, "r" },
            { "POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: r\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                400, "r" },
            { "POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: r\r\nContent-Length: 1\r\nTransfer-Encoding: "
              "chunked\r\n\r\n0\r\n\r\n",
                400, "r" },
            { "POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400,
                "r" },
            { "POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: r\r\nContent-Length : 1\r\n\r\na", 400, "r" },
            { "POST /v1/requests/quick HTTP/3.1\r\nRequest-Id: r\r\n\r\n", 400, "r" },
            { "POST /v1/requests/quick HTTP/1.1\r\n\r\n", 400, "-" },
            { "POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: r\r\nRequest-Id: s\r\n\r\n", 400, "-" },
            { work("a b"), 400, "-" },
            { work(std::string(129, 'r')), 400, "-" },
            { work("r", "", "Timeout-Ms: -5\r\n"), 400, "r" },
            { work("r", "", "Timeout-Ms: 99999999999999999999\r\n"), 400, "r" },
            { "POST /v1/requests/a/b HTTP/1.1\r\nRequest-Id: r\r\n\r\n", 400, "r" },
            { "POST /v1/requests/%0d HTTP/1.1\r\nRequest-Id: r\r\n\r\n", 400, "r" },
            { "GET /v1/requests/quick HTTP/1.1\r\nRequest-Id: r\r\n\r\n", 405, "r" },
            { "GET / HTTP/1.1\r\nRequest-Id: r\r\n\r\n", 404, "r" },
            { "CONNECT host:1 HTTP/1.1\r\nRequest-Id: r\r\n\r\n", 400, "r" },
            { "POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: r\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n", 400,
                "r" },
        };
        for (const auto& [bytes, status, requestId] : cases) {
            Section one("request: " + bytes.substr(0, 60));
            auto caller = server.connect();
            caller.send(bytes);
            assertAnswer(caller.receive(), status, "112", requestId);
        }
        {
            Section truncated("a request that ends early is answered too");
            auto caller = server.connect();
            caller.send("POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: r\r\nContent-Length: 10\r\n\r\nshort");
            caller.shutdownSend();
            assertAnswer(caller.receive(), 400, "112", "r");
            CPPUNIT_ASSERT(caller.closedByPeer());
        }
        CPPUNIT_ASSERT(!server.requests.tryPop());
        CPPUNIT_ASSERT(eventually([&] { return server->openRequests() == 0; }));
    }

    // Guards against memory that a caller can claim without limit, and against an answer that a reset destroys.
    void refusesOversizedRequests()
    {
        CallerServerOptions options;
        options.maximumBodyBytes = 1000;
        options.maximumHeaderBytes = 500;
        Server server(options);
        {
            Section atLimit("a body of the limit passes");
            auto caller = server.connect();
            caller.send(work("r", std::string(1000, 'x')));
            server.answer(server.next(), "");
            assertAnswer(caller.receive(), 200, "0", "r");
        }
        {
            Section announced("a larger announced body is refused before it arrives");
            auto caller = server.connect();
            caller.send(work("r", std::string(1001, 'x')).substr(0, 100));
            assertAnswer(caller.receive(), 413, "118", "r");
            CPPUNIT_ASSERT(caller.closedByPeer());
        }
        {
            Section whileSending("the answer survives although the caller goes on sending");
            auto caller = server.connect();
            caller.send(work("r", std::string(1 << 20, 'x')));
            assertAnswer(caller.receive(), 413, "118", "r");
        }
        {
            Section chunked("chunks cannot pass the limit either");
            auto caller = server.connect();
            caller.send("POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n"
                + std::string(1001, 'x'));
            assertAnswer(caller.receive(), 413, "118", "r");
        }
        {
            Section together("bodies that each are within the limit may not add up without limit");
            options.maximumBufferedBytes = 1500;
            Server small(options);
            auto first = small.connect();
            auto second = small.connect();
            auto request = work("first", std::string(1000, 'x'));
            first.send(request.substr(0, request.size() - 1));
            CPPUNIT_ASSERT(eventually([&] { return small->openRequests() == 1; }));
            second.send(work("second", std::string(1000, 'x')).substr(0, 900));
            assertAnswer(second.receive(), 503, "101", "second");
            first.send("x");
            small.answer(small.next(), "");
            assertAnswer(first.receive(), 200, "0", "first");
        }
        for (const auto& header :
            { "A: " + std::string(600, 'x') + "\r\n", std::string(600, 'N'), "/" + std::string(600, 'u') }) {
            Section large("a large header is refused");
            auto caller = server.connect();
            caller.send(header.front() == '/' ? "GET " + header : work("r", "", header));
            auto answer = caller.receive();
            CPPUNIT_ASSERT_EQUAL(431U, answer.status);
            CPPUNIT_ASSERT_EQUAL(std::string("118"), std::string(answer.single("Result-Code")));
        }
    }

    // Guards against slow senders and idle callers that hold connections for ever.
    void boundsTime()
    {
        CallerServerOptions options;
        options.idleTimeout = Milliseconds(120);
        options.readTimeout = Milliseconds(60);
        Server server(options);
        {
            Section slow("a slow sender is refused at the read limit, each byte notwithstanding");
            auto caller = server.connect();
            auto begin = BootClock::now();
            caller.sendSlowly(work("slow", std::string(200, 'x')), Milliseconds(5));
            auto answer = caller.receive();
            CPPUNIT_ASSERT_EQUAL(408U, answer.status);
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), std::string(answer.single("Execution")));
            CPPUNIT_ASSERT(BootClock::now() - begin < std::chrono::seconds(2));
        }
        {
            Section idle("an idle connection is ended with an answer");
            auto caller = server.connect();
            assertAnswer(caller.receive(), 408, "112", "-");
            CPPUNIT_ASSERT(caller.closedByPeer());
        }
        {
            Section unread("a caller that does not read its answer loses the connection, not the server's memory");
            auto caller = server.connect();
            caller.send(work("r"));
            server.answer(server.next(), std::string(64 << 20, 'x'));
            CPPUNIT_ASSERT(eventually([&] { return server->openRequests() == 0; }));
            CPPUNIT_ASSERT_THROW(caller.receive(), std::runtime_error);
        }
        {
            Section waiting("a caller that waits for its answer is not idle");
            auto caller = server.connect();
            caller.send(work("r"));
            auto request = server.next();
            std::this_thread::sleep_for(Milliseconds(200));
            server.answer(request, "late");
            assertAnswer(caller.receive(), 200, "0", "r");
        }
    }

    // Guards against connections without limit, and a limit that refuses for ever.
    void boundsConnections()
    {
        CallerServerOptions options;
        options.maximumConnections = 2;
        Server server(options);
        auto first = server.connect();
        auto second = server.connect();
        first.send(work("a"));
        second.send(work("b"));
        auto requestA = server.next();
        auto requestB = server.next();
        {
            Section third("the third is refused and not read");
            auto caller = server.connect();
            assertAnswer(caller.receive(), 503, "101", "-");
            CPPUNIT_ASSERT(caller.closedByPeer());
        }
        first.close();
        CPPUNIT_ASSERT_EQUAL(requestA.id, server.cancelled.popFor(std::chrono::seconds(5)).value());
        CPPUNIT_ASSERT(eventually([&] {
            auto caller = server.connect();
            caller.send(work("c"));
            auto request = server.requests.popFor(Milliseconds(50));
            if (request)
                server.answer(*request, "");
            return request && caller.receive().status == 200;
        }));
        server.answer(requestB, "");
        assertAnswer(second.receive(), 200, "0", "b");
    }

    // Guards against work that keeps its place after its caller left, and against a reply that reaches another caller.
    void cancelsWhenTheCallerLeaves()
    {
        Server server;
        auto caller = server.connect();
        caller.send(work("a"));
        auto request = server.next();
        caller.close();
        CPPUNIT_ASSERT_EQUAL(request.id, server.cancelled.popFor(std::chrono::seconds(5)).value());
        auto other = server.connect();
        other.send(work("b"));
        auto next = server.next();
        server.answer(request, "for a");
        server.answer(next, "for b");
        server.answer(next, "twice");
        auto answer = other.receive();
        assertAnswer(answer, 200, "0", "b");
        CPPUNIT_ASSERT_EQUAL(std::string("for b"), answer.body);
        other.send(work("c"));
        server.answer(server.next(), "for c");
        CPPUNIT_ASSERT_EQUAL(std::string("for c"), other.receive().body);
    }

    // Guards against a stop that cuts off a request, and a full ring that drops one silently.
    void drainsWithoutLoss()
    {
        Server server;
        auto busy = server.connect();
        auto idle = server.connect();
        busy.send(work("a"));
        auto request = server.next();
        server->beginDrain();
        server->closeListener();
        assertAnswer(idle.receive(), 503, "109", "-");
        CPPUNIT_ASSERT(idle.closedByPeer());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, server->openRequests());
        server.answer(request, "finished");
        auto answer = busy.receive();
        assertAnswer(answer, 200, "0", "a");
        CPPUNIT_ASSERT(!answer.keepAlive);
        CPPUNIT_ASSERT(busy.closedByPeer());
        CPPUNIT_ASSERT(eventually([&] { return server->openRequests() == 0; }));
        {
            Section full("a full ring is answered with 101");
            Server other;
            other.requests.close();
            auto caller = other.connect();
            caller.send(work("r"));
            assertAnswer(caller.receive(), 503, "101", "r");
        }
    }

    // Guards against reader state that depends on how the bytes are cut, and against limits that some input passes.
    void survivesAnyBytes()
    {
        constexpr HttpLimits limits { 200, 100 };
        CPPUNIT_ASSERT(rc::check("any cut of a request gives the same message", [&] {
            auto body = *rc::gen::resize(120, rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
            auto bytes = work("id", body);
            HttpReader reader(HttpReader::Type::Request, limits);
            size_t position = 0;
            while (reader.state() == HttpReader::State::Reading && position < bytes.size()) {
                auto length = *rc::gen::inRange<size_t>(1, 40);
                position += reader.feed(std::string_view(bytes).substr(position, length));
            }
            bool fits = body.size() <= limits.maximumBodyBytes;
            RC_ASSERT((reader.state() == HttpReader::State::Complete) == fits);
            if (fits) {
                RC_ASSERT(position == bytes.size());
                RC_ASSERT(reader.take().body == body);
            } else {
                RC_ASSERT(reader.failure() == HttpReader::Failure::BodyTooLarge);
            }
        }));
        CPPUNIT_ASSERT(rc::check("nothing passes the limits", [&] {
            auto names = *rc::gen::container<std::vector<std::string>>(
                rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))));
            std::string bytes = "POST /v1/requests/quick HTTP/1.1\r\n";
            size_t minimum = 0;
            for (const auto& name : names) {
                bytes += name + ": v\r\n";
                minimum += name.size() + 5;
            }
            HttpReader reader(HttpReader::Type::Request, limits);
            reader.feed(bytes + "\r\n");
            bool passed = reader.state() == HttpReader::State::Complete;
            RC_ASSERT(!passed || minimum <= limits.maximumHeaderBytes);
        }));
        CPPUNIT_ASSERT(rc::check("random bytes end as read or as failed", [&] {
            auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
            HttpReader reader(HttpReader::Type::Request, limits);
            RC_ASSERT(reader.feed(bytes) <= bytes.size());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerServerTest);

} // namespace shallotdrift
