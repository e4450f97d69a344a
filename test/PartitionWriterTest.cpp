#include "FreeAddress.h"
#include "Section.h"

#include "shallotdrift/Http.h"
#include "shallotdrift/src/Node/PartitionWriter.h"
#include "standin/StoreStandIn.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace shallotdrift {

namespace {

    constexpr size_t recordBytes = 300;
    constexpr size_t requestBytes = 1000;
    constexpr char topic[] = "keyed.jobs";

    // A writer and a store with small limits, which can be lost after a number of appends.
    struct WriterHarness {
        WriterHarness()
        {
            settings.storeAddress = freeAddress(io);
            settings.requestBytes = requestBytes;
            store.limits() = { recordBytes, requestBytes };
            storeClient = std::make_unique<internal::StoreClient>(client, settings.storeAddress);
            context = std::make_unique<internal::NodeContext>(
                internal::NodeContext { io, deadlines, settings, client, client, client, *storeClient });
            server = std::make_unique<HttpServer>(io, deadlines, HttpServerOptions { settings.storeAddress },
                [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                    ++requests;
                    if (requests <= lostAfter)
                        store.handle(request, std::move(respond));
                });
            handleError([&] { return server->start(); }, [](const Error& error) { CPPUNIT_FAIL(error.message); });
            writer = std::make_unique<internal::PartitionWriter>(
                *context, platform::Partition { topic, 0 }, 1, [] { CPPUNIT_FAIL("fenced"); });
        }

        void add(const std::string& key, size_t bytes) { records.push_back({ key, std::string(bytes, 'v') }); }

        // Returns false if the append is not done within a second.
        bool append()
        {
            bool done = false;
            writer->append(records, [&](const internal::PartitionWriter::RefusedKeys& keys) {
                refused = keys;
                done = true;
            });
            auto end = BootClock::now() + Milliseconds { 1000 };
            while (!done && BootClock::now() < end)
                io.run_for(Milliseconds { 5 });
            return done;
        }

        std::vector<std::string> storedKeys()
        {
            HttpMessage message;
            auto request = platform::latestRecordsRequest({ topic, 0 }, {});
            message.method = request.method;
            message.target = request.target;
            std::vector<std::string> keys;
            store.handle(message, [&](HttpResponse&& response) {
                HttpMessage answer;
                answer.status = response.status;
                answer.body = std::move(response.body);
                for (const auto& record : platform::parseLatestRecordsResponse(answer).records)
                    keys.push_back(record.key);
            });
            return keys;
        }

        asio::io_context io { 1 };
        DeadlineQueue deadlines { io };
        HttpClient client { io, deadlines, HttpClientOptions {} };
        NodeSettings settings;
        standin::StoreStandIn store { 1 };
        std::unique_ptr<internal::StoreClient> storeClient;
        std::unique_ptr<internal::NodeContext> context;
        std::unique_ptr<HttpServer> server;
        std::unique_ptr<internal::PartitionWriter> writer;
        std::vector<StateRecord> records;
        internal::PartitionWriter::RefusedKeys refused;
        size_t requests = 0;
        size_t lostAfter = SIZE_MAX; // requests
    };

} // namespace

class PartitionWriterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PartitionWriterTest);
    CPPUNIT_TEST(largeAppendsAreSplit);
    CPPUNIT_TEST(refusedRecordsDoNotHoldUpTheOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an append above the limit of the store, which is refused however often it is repeated.
    void largeAppendsAreSplit()
    {
        for (size_t lostAfter : { SIZE_MAX, size_t { 2 } }) {
            WriterHarness harness;
            harness.lostAfter = lostAfter;
            for (int i = 0; i < 20; ++i)
                harness.add(fmt::format("{:02}", i), 200);
            auto done = harness.append();
            auto keys = harness.storedKeys();
            if (lostAfter == SIZE_MAX) {
                Section section("all records are stored");
                CPPUNIT_ASSERT(done);
                CPPUNIT_ASSERT(harness.refused.empty());
                CPPUNIT_ASSERT_EQUAL(size_t { 20 }, keys.size());
                CPPUNIT_ASSERT_EQUAL(size_t { 5 }, harness.requests);
            } else {
                Section section("a store that is lost in between has the first ones, and nothing is confirmed");
                CPPUNIT_ASSERT(!done);
                CPPUNIT_ASSERT_EQUAL(size_t { 8 }, keys.size());
                CPPUNIT_ASSERT_EQUAL(std::string("07"), keys.back());
            }
        }
    }

    // Guards against one record that the store never takes, with which nothing else of the partition was stored.
    void refusedRecordsDoNotHoldUpTheOthers()
    {
        WriterHarness harness;
        for (const char* job : { "a", "b", "c" })
            for (uint32_t part : { 2, 1, 0 })
                harness.add(stateKey(job, part), std::string(job) == "b" && part == 1 ? recordBytes + 1 : 100);
        CPPUNIT_ASSERT(harness.append());
        std::vector<std::string> expected { "b~1", "b~" };
        {
            Section section("the records of the job that rely on the refused one are not stored, either");
            CPPUNIT_ASSERT(expected == harness.refused);
        }
        expected = { "a~", "a~1", "a~2", "b~2", "c~", "c~1", "c~2" };
        CPPUNIT_ASSERT(expected == harness.storedKeys());
        Section section("further appends are stored");
        harness.records.clear();
        harness.add("d~", 100);
        CPPUNIT_ASSERT(harness.append());
        CPPUNIT_ASSERT(harness.refused.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartitionWriterTest);

} // namespace shallotdrift
