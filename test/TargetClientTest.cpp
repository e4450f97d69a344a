#include "Sockets.h"
#include "Story.h"

#include "shallotdrift/Targets.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace shallotdrift {

using testing::eventually;
using testing::FakeTarget;
using testing::targetAnswer;
using testing::TargetScript;

namespace {

    constexpr Milliseconds shortTime { 60 };
    constexpr Milliseconds longTime { 5000 };

    class Client {
    public:
        explicit Client(TargetClientOptions options = {})
            : client_(
                options, [this](AttemptResult&& result) { results.push(std::move(result)); },
                [this](const TargetAttempt&) { return sendAllowed.load(); })
        {
            client_.start();
        }

        TargetClient* operator->() { return &client_; }

        void send(const std::string& address, uint64_t attempt, Milliseconds time = longTime, bool reuse = true,
            const std::string& body = "body")
        {
            client_.send({ attempt, "t1", address, "quick", fmt::format("request-{}", attempt), "assess", 3,
                BootClock::now() + time, body, reuse });
        }

        AttemptResult next() { return results.popFor(std::chrono::seconds(8)).value(); }

        void assertNext(uint64_t attempt, ResultCode code, bool bytesSent)
        {
            auto result = next();
            CPPUNIT_ASSERT_EQUAL(attempt, result.attempt);
            CPPUNIT_ASSERT_EQUAL(std::string(infoOf(code).name), std::string(infoOf(result.code).name));
            CPPUNIT_ASSERT_EQUAL(bytesSent, result.bytesSent);
        }

        BoundedRing<AttemptResult> results { 64 };
        std::atomic<bool> sendAllowed { true };

    private:
        TargetClient client_;
    };

    TargetScript silence(const HttpMessage&, int) { return {}; }

    TargetScript echo(const HttpMessage& request, int)
    {
        return { targetAnswer(request, "answer to " + std::string(request.single("Request-Id"))) };
    }

} // namespace

class TargetClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TargetClientTest);
    CPPUNIT_TEST(reusesConnections);
    CPPUNIT_TEST(mapsTheTargetsStatements);
    CPPUNIT_TEST(rejectsAnswersThatDoNotFit);
    CPPUNIT_TEST(lateAnswersReachNobody);
    CPPUNIT_TEST(reportsWhatMayHaveBeenSeen);
    CPPUNIT_TEST(retiresIdleConnectionsOfASilentTarget);
    CPPUNIT_TEST(boundsConnectionsAndWaiting);
    CPPUNIT_TEST(checksBeforeTheWrite);
    CPPUNIT_TEST(everyAttemptEndsOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a connection for each attempt, lost headers, and reuse for work that must not be sent twice.
    void reusesConnections()
    {
        std::atomic<bool> headersRight { true };
        FakeTarget target([&](const HttpMessage& request, int index) {
            if (request.single("Pool") != "assess" || request.single("Epoch") != "3" || request.target != "/run/quick")
                headersRight = false;
            return echo(request, index);
        });
        Client client;
        for (uint64_t attempt = 1; attempt <= 5; ++attempt) {
            client.send(target.address(), attempt);
            auto result = client.next();
            CPPUNIT_ASSERT(result.code == ResultCode::Ok && result.bytesSent);
            CPPUNIT_ASSERT_EQUAL(fmt::format("answer to request-{}", attempt), result.body);
            CPPUNIT_ASSERT(result.elapsed > Duration::zero());
        }
        CPPUNIT_ASSERT_EQUAL(1, target.connections());
        CPPUNIT_ASSERT(headersRight);
        {
            Section fresh("a new connection on demand, then after closeIdle");
            client.send(target.address(), 6, longTime, false);
            client.assertNext(6, ResultCode::Ok, true);
            CPPUNIT_ASSERT_EQUAL(2, target.connections());
            client->closeIdle("t1");
            client.send(target.address(), 7);
            client.assertNext(7, ResultCode::Ok, true);
            CPPUNIT_ASSERT_EQUAL(3, target.connections());
        }
        {
            Section moved("another address closes the connections to the old one");
            FakeTarget other(echo);
            client.send(other.address(), 8);
            client.assertNext(8, ResultCode::Ok, true);
            CPPUNIT_ASSERT_EQUAL(1, other.connections());
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t { 4 }, client->counters().connectionsOpened);
    }

    // Guards against a refusal that is taken for a failure, and a failure that is taken for a refusal.
    void mapsTheTargetsStatements()
    {
        struct Case {
            unsigned status;
            const char* execution;
            ResultCode code;
        };
        const std::vector<Case> cases {
            { 200, "ran", ResultCode::Ok },
            { 500, "ran", ResultCode::JobFailed },
            { 503, "ran", ResultCode::JobFailed },
            { 503, "not-run", ResultCode::TargetBusy },
            { 409, "not-run", ResultCode::NoInstance },
            { 400, "not-run", ResultCode::BadRequest },
            { 404, "not-run", ResultCode::UnknownKind },
            { 413, "not-run", ResultCode::TooLarge },
            { 500, "may-have-run", ResultCode::OutcomeUnknown },
            { 200, "not-run", ResultCode::AnswerInvalid },
            { 200, "perhaps", ResultCode::AnswerInvalid },
            { 200, "", ResultCode::AnswerInvalid },
        };
        FakeTarget target([&](const HttpMessage& request, int index) {
            const auto& one = cases.at(static_cast<size_t>(index));
            return TargetScript { targetAnswer(request, "x", one.status, one.execution) };
        });
        Client client;
        for (size_t i = 0; i < cases.size(); ++i) {
            Section one(fmt::format("{} {}", cases[i].status, cases[i].execution));
            client.send(target.address(), i + 1);
            client.assertNext(i + 1, cases[i].code, true);
        }
    }

    // Guards against an answer of another request, a damaged or a malformed one that reaches a caller.
    void rejectsAnswersThatDoNotFit()
    {
        using Edit = std::function<void(std::string&)>;
        auto replace = [](std::string from, std::string to) {
            return [from = std::move(from), to = std::move(to)](
                       std::string& answer) { answer.replace(answer.find(from), from.size(), to); };
        };
        const std::vector<std::pair<ResultCode, Edit>> cases {
            { ResultCode::AnswerInvalid, replace("Request-Id: request-", "Request-Id: other-") },
            { ResultCode::AnswerInvalid, replace("Attempt-Id: ", "Attempt-Id: 9") },
            { ResultCode::AnswerInvalid, replace("Attempt-Id", "Attempt-Id: 1\r\nAttempt-Id") },
            { ResultCode::AnswerInvalid, replace("Attempt-Id", "Other-Id") },
            { ResultCode::AnswerInvalid, replace("whole", "whale") },
            { ResultCode::AnswerInvalid, replace("Body-Digest", "No-Digest") },
            { ResultCode::AnswerInvalid, replace("Content-Length: 5", "Transfer-Encoding: chunked") },
            { ResultCode::AnswerInvalid, replace("Content-Length: 5", "Content-Length: 4") },
            { ResultCode::AnswerInvalid, replace("Content-Length: 5", "Content-Length: 99999999999") },
            { ResultCode::AnswerInvalid, replace("Content-Length: 5\r\n", "") },
            { ResultCode::AnswerInvalid, replace("HTTP/1.1 200", "HTTP/3.1 200") },
            { ResultCode::AnswerInvalid, replace("HTTP/1.1 200", "handshake") },
            { ResultCode::AnswerInvalid, replace("Content-Length: 5", "Content-Length : 5") },
            { ResultCode::AnswerInvalid, replace("Execution", "A: " + std::string(20000, 'x') + "\r\nExecution") },
            { ResultCode::ConnectionLost, [](std::string& answer) { answer.resize(answer.size() - 2); } },
            { ResultCode::ConnectionLost, [](std::string& answer) { answer.resize(20); } },
        };
        FakeTarget target([&](const HttpMessage& request, int index) {
            auto answer = targetAnswer(request, "whole");
            auto code = cases.at(static_cast<size_t>(index)).first;
            cases.at(static_cast<size_t>(index)).second(answer);
            return TargetScript { answer, code == ResultCode::ConnectionLost };
        });
        Client client;
        for (size_t i = 0; i < cases.size(); ++i) {
            Section one(fmt::format("case {}", i));
            client.send(target.address(), i + 1, longTime);
            client.assertNext(i + 1, cases[i].first, true);
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(i) + 1, target.connections());
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t { 14 }, client->counters().answersRejected);
    }

    // Guards against a late or duplicated answer that is given to the next attempt.
    void lateAnswersReachNobody()
    {
        std::string held;
        FakeTarget target([&](const HttpMessage& request, int index) {
            switch (index) {
            case 0: // duplicated at once
                return TargetScript { targetAnswer(request, "one") + targetAnswer(request, "one") };
            case 1: // late
                std::this_thread::sleep_for(2 * shortTime);
                return TargetScript { targetAnswer(request, "two") };
            case 3: // duplicated after the client has taken the first
                held = targetAnswer(request, "four");
                return TargetScript { held };
            default:
                return echo(request, index);
            }
        });
        Client client;
        client.send(target.address(), 1);
        auto result = client.next();
        CPPUNIT_ASSERT(result.code == ResultCode::Ok && result.body == "one");
        client.send(target.address(), 2, shortTime);
        client.assertNext(2, ResultCode::AnswerTimeout, true);
        for (uint64_t attempt = 3; attempt <= 6; ++attempt) {
            client.send(target.address(), attempt);
            result = client.next();
            CPPUNIT_ASSERT(result.code == ResultCode::Ok && result.attempt == attempt);
            CPPUNIT_ASSERT(result.body == (attempt == 4 ? "four" : fmt::format("answer to request-{}", attempt)));
        }
        CPPUNIT_ASSERT_EQUAL(3, target.connections());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, client->counters().answersRejected);
    }

    // Guards against a result that says not sent although a byte may have arrived, and the reverse.
    void reportsWhatMayHaveBeenSeen()
    {
        Client client;
        {
            Section refused("nothing listens");
            uint16_t port = 0;
            {
                asio::io_context io;
                asio::ip::tcp::acceptor closed(io, { asio::ip::address_v4::loopback(), 0 });
                port = closed.local_endpoint().port();
            }
            client.send(fmt::format("127.0.0.1:{}", port), 1);
            client.assertNext(1, ResultCode::TargetUnreachable, false);
            client.send("no address", 2);
            client.assertNext(2, ResultCode::TargetUnreachable, false);
        }
        {
            Section passed("the deadline passed before the attempt");
            FakeTarget target(echo);
            client.send(target.address(), 3, Milliseconds(-1));
            client.assertNext(3, ResultCode::DeadlinePassed, false);
            CPPUNIT_ASSERT_EQUAL(0, target.requests());
        }
        {
            Section closes("the target closes without a byte");
            FakeTarget target([](const HttpMessage&, int) { return TargetScript { {}, true }; });
            client.send(target.address(), 4);
            client.assertNext(4, ResultCode::ConnectionLost, true);
        }
        {
            Section large("a body larger than the socket's buffers that is never read");
            asio::io_context io;
            asio::ip::tcp::acceptor unread(io, { asio::ip::address_v4::loopback(), 0 });
            client.send(fmt::format("127.0.0.1:{}", unread.local_endpoint().port()), 5, 2 * shortTime, true,
                std::string(16 << 20, 'x'));
            client.assertNext(5, ResultCode::AnswerTimeout, true);
        }
        {
            Section whole("a large body arrives whole");
            FakeTarget target([](const HttpMessage& request, int) {
                return TargetScript { targetAnswer(request, std::to_string(digestOf(request.body))) };
            });
            std::string body(8 << 20, 'y');
            client.send(target.address(), 6, longTime, true, body);
            CPPUNIT_ASSERT_EQUAL(std::to_string(digestOf(body)), client.next().body);
        }
    }

    // Guards against requests that keep going to connections that went silent while new ones work.
    void retiresIdleConnectionsOfASilentTarget()
    {
        std::atomic<bool> silent { false };
        FakeTarget target([&](const HttpMessage& request, int index) {
            if (silent)
                return silence(request, index);
            std::this_thread::sleep_for(Milliseconds(30)); // makes the four attempts use a connection each
            return echo(request, index);
        });
        Client client;
        for (uint64_t attempt = 1; attempt <= 4; ++attempt)
            client.send(target.address(), attempt);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(client.next().code == ResultCode::Ok);
        CPPUNIT_ASSERT_EQUAL(4, target.connections());
        silent = true;
        client.send(target.address(), 5, shortTime);
        client.assertNext(5, ResultCode::AnswerTimeout, true);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, client->counters().connectionsRetired);
        client.send(target.address(), 6, shortTime);
        client.assertNext(6, ResultCode::AnswerTimeout, true);
        CPPUNIT_ASSERT(eventually([&] { return client->counters().connectionsRetired == 4; }));
        silent = false;
        client.send(target.address(), 7);
        client.assertNext(7, ResultCode::Ok, true);
        CPPUNIT_ASSERT_EQUAL(5, target.connections());
    }

    // Guards against more connections than the target grants, and against waiting attempts that never end.
    void boundsConnectionsAndWaiting()
    {
        TargetClientOptions options;
        options.maximumConnectionsPerTarget = 2;
        Client client(options);
        std::atomic<bool> open { false };
        FakeTarget target([&](const HttpMessage& request, int index) {
            eventually([&] { return open.load(); });
            return echo(request, index);
        });
        for (uint64_t attempt = 1; attempt <= 6; ++attempt)
            client.send(target.address(), attempt);
        client.send(target.address(), 7, shortTime);
        client.assertNext(7, ResultCode::DeadlinePassed, false);
        client.send(target.address(), 8, longTime, false);
        open = true;
        for (int i = 0; i < 7; ++i)
            CPPUNIT_ASSERT(client.next().code == ResultCode::Ok);
        CPPUNIT_ASSERT_EQUAL(7, target.requests());
        CPPUNIT_ASSERT_EQUAL(3, target.connections()); // two, and a new one for the attempt that asked for it
    }

    // Guards against a write after the instance was taken away, and against a check that costs the connection.
    void checksBeforeTheWrite()
    {
        FakeTarget target(echo);
        Client client;
        client.sendAllowed = false;
        client.send(target.address(), 1);
        client.assertNext(1, ResultCode::NoInstance, false);
        client.send(target.address(), 2);
        client.assertNext(2, ResultCode::NoInstance, false);
        CPPUNIT_ASSERT_EQUAL(0, target.requests());
        client.sendAllowed = true;
        client.send(target.address(), 3);
        client.assertNext(3, ResultCode::Ok, true);
        CPPUNIT_ASSERT_EQUAL(1, target.connections());
    }

    // Guards against results for abandoned attempts, and attempts without a result when the client stops.
    void everyAttemptEndsOnce()
    {
        FakeTarget target(silence);
        Client client;
        client.send(target.address(), 1);
        CPPUNIT_ASSERT(eventually([&] { return target.requests() == 1; }));
        client->abandon(1);
        client->abandon(99);
        client.send(target.address(), 2);
        CPPUNIT_ASSERT(eventually([&] { return target.requests() == 2; }));
        CPPUNIT_ASSERT_EQUAL(2, target.connections());
        client->stop();
        client.assertNext(2, ResultCode::ConnectionLost, true);
        CPPUNIT_ASSERT(!client.results.tryPop());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetClientTest);

} // namespace shallotdrift
