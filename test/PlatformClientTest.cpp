#include "FakePlatform.h"
#include "Story.h"

#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>
#include <platform.pb.h>

namespace shallotdrift {

class PlatformClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformClientTest);
    CPPUNIT_TEST(statusesMapToErrors);
    CPPUNIT_TEST(connectionFaultsMapToErrors);
    CPPUNIT_TEST(brokenLogRepliesAreRefused);
    CPPUNIT_TEST(brokenListsAreRefused);
    CPPUNIT_TEST(brokenTasksAreRefused);
    CPPUNIT_TEST_SUITE_END();

    // Answers every call with a prepared status and body.
    struct BrokenPlatform {
        BrokenPlatform()
        {
            auto answer = [this](const httplib::Request& request, httplib::Response& response) {
                contentType = request.get_header_value("Content-Type");
                ++calls;
                std::this_thread::sleep_for(delay);
                response.status = status;
                if (cutOff)
                    response.set_content_provider(1000, "text/plain", [](size_t, size_t, httplib::DataSink& sink) {
                        sink.write("part", 4);
                        return false;
                    });
                else
                    response.set_content(body, "text/plain");
            };
            server.Get(".*", answer);
            server.Post(".*", answer);
            port = server.bind_to_any_port("127.0.0.1");
            thread = std::thread([this] { server.listen_after_bind(); });
            client
                = makeHttpPlatformClient({ "127.0.0.1:" + std::to_string(port), Milliseconds(300), Milliseconds(300) });
        }

        ~BrokenPlatform() { stop(); }

        void stop()
        {
            client.reset(); // an open connection would hold the server back until its keep-alive ends
            server.stop();
            if (thread.joinable())
                thread.join();
        }

        httplib::Server server;
        std::atomic<int> status { 200 };
        std::atomic<int> calls { 0 };
        std::atomic<bool> cutOff { false };
        Milliseconds delay { 0 };
        std::string body;
        std::string contentType;
        int port = 0;
        std::thread thread;
        std::unique_ptr<PlatformClient> client;
    };

    static std::string appendReply(Offset offset)
    {
        proto::AppendReply reply;
        reply.set_offset(offset);
        return reply.SerializeAsString();
    }

    static constexpr const char* goodInstance = R"({"id":"w","role":"target","address":"127.0.0.1:1","zone":"z",)"
                                                R"("rack":"r","pool":"p","leaving":false,"cores":1,"memory_mb":2,)"
                                                R"("accelerators":0,"slots":4,"connections":5})";
    static constexpr const char* goodTask = R"({"id":"t","instance":"w","token":4,"status":"running","receipt":"",)"
                                            R"("cores_used":0.5,"memory_mb_used":7})";

    // The text with one part replaced.
    static std::string with(std::string text, const std::string& part, const std::string& replacement)
    {
        auto position = text.find(part);
        CPPUNIT_ASSERT(position != std::string::npos);
        return text.replace(position, part.size(), replacement);
    }

public:
    // Guards against a refusal that is repeated for ever, and a passing fault that is taken for a refusal.
    void statusesMapToErrors()
    {
        BrokenPlatform platform;
        platform.body = appendReply(7);
        CPPUNIT_ASSERT_EQUAL(Offset { 7 }, platform.client->append("payload").value());
        CPPUNIT_ASSERT_EQUAL(std::string("application/x-protobuf"), platform.contentType);
        static const std::vector<std::pair<int, ResultCode>> forAppend {
            { 400, ResultCode::PlatformRefused },
            { 413, ResultCode::PlatformRefused },
            { 404, ResultCode::PlatformUnavailable },
            { 408, ResultCode::AnswerLost },
            { 429, ResultCode::PlatformUnavailable },
            { 500, ResultCode::AnswerLost },
            { 503, ResultCode::PlatformUnavailable },
            { 504, ResultCode::AnswerLost },
            { 204, ResultCode::AnswerLost },
        };
        for (const auto& [status, code] : forAppend) {
            Section section("status " + std::to_string(status));
            platform.status = status;
            CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("payload"); }) == code);
        }
        Section epochs("an old epoch or token is a refusal");
        platform.status = 409;
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->assign("w", "p", 1); }) == ResultCode::PlatformRefused);
        CPPUNIT_ASSERT_EQUAL(std::string("application/json"), platform.contentType);
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->commandTask("t", TaskCommand::Renew, 1); })
            == ResultCode::PlatformRefused);
        auto calls = platform.calls.load();
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->reboot("../tasks", 1); }) == ResultCode::PlatformRefused);
        CPPUNIT_ASSERT_EQUAL(calls, platform.calls.load());
    }

    // Guards against a call with a possible effect that is reported as one without.
    void connectionFaultsMapToErrors()
    {
        BrokenPlatform platform;
        platform.body = appendReply(7);
        {
            Section cut("an answer that breaks off may belong to a call with an effect");
            platform.cutOff = true;
            CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("payload"); }) == ResultCode::AnswerLost);
            platform.cutOff = false;
            CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("payload"); }) == ResultCode::Ok);
        }
        {
            Section late("so may an answer that comes too late");
            platform.delay = Milliseconds(600);
            CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("payload"); }) == ResultCode::AnswerLost);
            platform.delay = Milliseconds(0);
        }
        {
            Section large("and one that is too large");
            platform.body = std::string(1 << 20, 'x');
            CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("payload"); }) == ResultCode::AnswerLost);
        }
        platform.stop();
        platform.client = makeHttpPlatformClient(
            { "127.0.0.1:" + std::to_string(platform.port), Milliseconds(300), Milliseconds(300) });
        Section refused("a refused connection had no effect");
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("payload"); }) == ResultCode::PlatformUnavailable);
    }

    // Guards against log pages that would make the fold skip or repeat entries.
    void brokenLogRepliesAreRefused()
    {
        BrokenPlatform platform;
        platform.body = "\xff\xff not protobuf";
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("payload"); }) == ResultCode::AnswerLost);
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->read(1, 10, Milliseconds(0)); }) == ResultCode::AnswerLost);
        platform.body = "";
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->append("payload"); }) == ResultCode::AnswerLost);
        CPPUNIT_ASSERT(codeOf([&] { return platform.client->read(1, 10, Milliseconds(0)); }) == ResultCode::AnswerLost);
        static const std::vector<std::pair<std::vector<Offset>, bool>> pages {
            { { 5, 6, 7 }, true },
            { {}, true },
            { { 5, 5 }, false },
            { { 6, 5 }, false },
            { { 4, 5 }, false },
            { { 5, 9 }, false },
            { { 5, 6, 7, 8 }, false },
        };
        for (const auto& [offsets, good] : pages) {
            proto::ReadReply reply;
            reply.set_earliest(2);
            reply.set_next(9);
            for (auto offset : offsets)
                reply.add_entries()->set_offset(offset);
            platform.body = reply.SerializeAsString();
            CPPUNIT_ASSERT_EQUAL(
                good, codeOf([&] { return platform.client->read(5, 3, Milliseconds(0)); }) == ResultCode::Ok);
        }
    }

    // Guards against a malformed list that crashes an entry or loses instances.
    void brokenListsAreRefused()
    {
        BrokenPlatform platform;
        auto list = [](const std::string& instance) { return R"({"version":3,"instances":[)" + instance + "]}"; };
        platform.body = list(goodInstance);
        auto parsed = platform.client->instances();
        CPPUNIT_ASSERT(parsed);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), parsed->instances.front().pool);
        CPPUNIT_ASSERT_EQUAL(4U, parsed->instances.front().shape.slots);
        const std::vector<std::string> broken {
            "",
            "{",
            "[]",
            "null",
            R"({"instances":[]})",
            R"({"version":-1,"instances":[]})",
            R"({"version":3,"instances":{}})",
            list("7"),
            list("{}"),
            list(with(goodInstance, "\"target\"", "\"other\"")),
            list(with(goodInstance, "\"id\":\"w\"", "\"id\":\"\"")),
            list(with(goodInstance, "\"id\":\"w\"", "\"id\":[1]")),
            list(with(goodInstance, "\"cores\":1", "\"cores\":-1")),
            list(with(goodInstance, "\"cores\":1", "\"cores\":99999999999")),
            list(with(goodInstance, "\"leaving\":false", "\"leaving\":0")),
            list(with(goodInstance, "\"zone\":\"z\"", "\"zone\":\"" + std::string(300, 'z') + "\"")),
            std::string(100000, '['),
        };
        for (const auto& body : broken) {
            Section section(body.substr(0, 60));
            platform.body = body;
            CPPUNIT_ASSERT(codeOf([&] { return platform.client->instances(); }) == ResultCode::AnswerLost);
        }
    }

    // Guards against malformed task lists.
    void brokenTasksAreRefused()
    {
        BrokenPlatform platform;
        auto list = [](const std::string& task) { return R"({"tasks":[)" + task + "]}"; };
        platform.body = list(goodTask);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 7 }, platform.client->tasks().value().front().memoryMegabytesUsed);
        const std::vector<std::string> broken {
            "{}",
            list(with(goodTask, "\"running\"", "\"walking\"")),
            list(with(goodTask, "\"token\":4", "\"token\":\"4\"")),
            list(with(goodTask, "0.5", "-0.5")),
            list(with(goodTask, "\"receipt\":\"\"", "\"receipt\":\"" + std::string(257, 'r') + "\"")),
        };
        for (const auto& body : broken) {
            Section section(body.substr(0, 60));
            platform.body = body;
            CPPUNIT_ASSERT(codeOf([&] { return platform.client->tasks(); }) == ResultCode::AnswerLost);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

} // namespace shallotdrift
