#include "FreeAddress.h"
#include "Section.h"

#include "shallotdrift/Http.h"
#include "shallotdrift/src/Node/Membership.h"
#include "shallotdrift/src/Node/Watchers.h"
#include "standin/StoreStandIn.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace shallotdrift {

namespace {

    // A store whose bandwidth all readers share, and entry instances that keep up with its configuration.
    struct FleetOfReaders {
        static constexpr uint32_t partitions = 4;

        struct Reader {
            explicit Reader(FleetOfReaders& fleet)
                : settings(withFreePort(fleet.settings, fleet.io))
                , peerClient(fleet.io, fleet.deadlines, HttpClientOptions {})
                , platformClient(fleet.io, fleet.deadlines, HttpClientOptions {})
                , storeClient(platformClient, settings.storeAddress)
                , context { fleet.io, fleet.deadlines, settings, peerClient, peerClient, platformClient, storeClient }
                , membership(context, { [](uint32_t, uint64_t) {}, [](uint32_t) {} })
                , watcher(context, membership, [] {})
                , server(fleet.io, fleet.deadlines,
                      HttpServerOptions { fmt::format("{}:{}", settings.ip, settings.firstInternalPort) },
                      [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                          if (!silent)
                              watcher.relay().handle(request, std::move(respond));
                      })
            {
                handleError([&] { return server.start(); }, [](const Error& error) { CPPUNIT_FAIL(error.message); });
            }

            static NodeSettings withFreePort(NodeSettings settings, asio::io_context& io)
            {
                settings.firstInternalPort = parseAddress(freeAddress(io))->port();
                return settings;
            }

            uint64_t version() const { return context.configuration ? context.configuration->version : 0; }

            NodeSettings settings;
            HttpClient peerClient;
            HttpClient platformClient;
            internal::StoreClient storeClient;
            internal::NodeContext context;
            internal::Membership membership;
            internal::ConfigurationWatcher watcher;
            HttpServer server; // for other entry instances
            bool silent = false; // to them
        };

        explicit FleetOfReaders(size_t count)
        {
            settings.storeAddress = freeAddress(io);
            settings.ip = "127.0.0.1";
            server = std::make_unique<HttpServer>(io, deadlines, HttpServerOptions { settings.storeAddress },
                [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                    store.handle(request, std::move(respond));
                });
            handleError([&] { return server->start(); }, [](const Error& error) { CPPUNIT_FAIL(error.message); });
            configurationBytes = publish(1);
            for (size_t i = 0; i < count; ++i)
                readers.push_back(std::make_unique<Reader>(*this));
            for (auto& reader : readers) {
                reader->watcher.start();
                reader->membership.start();
            }
        }

        // Stores a configuration of the size that a large deployment has. Returns its size in bytes.
        size_t publish(uint64_t version)
        {
            platform::Configuration configuration;
            configuration.version = version;
            configuration.services["reports"] = { "reports", true, false };
            for (int i = 0; i < 100; ++i) {
                QueueConfiguration queue;
                queue.name = fmt::format("queue-{}", i);
                queue.host = "reports.example";
                queue.pathPrefix = fmt::format("/{}/{}/", queue.name, std::string(2000, 'x'));
                queue.service = "reports";
                configuration.queues.emplace(queue.name, queue);
            }
            auto record = platform::encodeConfiguration(configuration);
            store.put(platform::operatorPartition().topic, record.key, record.value);
            return record.value.size();
        }

        void runFor(Milliseconds time)
        {
            for (auto end = BootClock::now() + time; BootClock::now() < end;) {
                io.run_for(Milliseconds { 5 });
                store.poll(BootClock::now());
            }
        }

        bool allHave(uint64_t version) const
        {
            return std::all_of(
                readers.begin(), readers.end(), [&](const auto& reader) { return reader->version() == version; });
        }

        uint64_t relayedReads() const
        {
            uint64_t count = 0;
            for (const auto& reader : readers)
                count += reader->context.counters.relayedReads;
            return count;
        }

        // Returns whether all readers have the version within the time.
        bool reachesAll(uint64_t version, Milliseconds time)
        {
            for (auto end = BootClock::now() + time; !allHave(version) && BootClock::now() < end;)
                runFor(Milliseconds { 10 });
            return allHave(version);
        }

        asio::io_context io { 1 };
        DeadlineQueue deadlines { io };
        NodeSettings settings;
        standin::StoreStandIn store { partitions };
        std::unique_ptr<HttpServer> server;
        std::vector<std::unique_ptr<Reader>> readers;
        size_t configurationBytes = 0;
    };

} // namespace

class ConfigurationDistributionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationDistributionTest);
    CPPUNIT_TEST(changesReachManyInstancesWhileTheStoresBandwidthIsShort);
    CPPUNIT_TEST(changesArriveAlthoughTheRelaysAreSilent);
    CPPUNIT_TEST(relayedConfirmationsAreNoLaterThanThoseOfTheStore);
    CPPUNIT_TEST(relaysRefuseReadersBeyondTheirMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reads of the configuration by every instance, which take longer than their timeout and start anew.
    void changesReachManyInstancesWhileTheStoresBandwidthIsShort()
    {
        static constexpr size_t instances = 40;
        static constexpr Milliseconds applyBound { 3000 };
        FleetOfReaders fleet(instances);
        CPPUNIT_ASSERT(fleet.reachesAll(1, Milliseconds { 10000 }));
        fleet.runFor(Milliseconds { 2000 });
        // As with 1,000 instances, 250 KB and 80 MB/s: sending the configuration to all takes longer than the bound.
        fleet.store.limits().readBytesPerSecond = instances * fleet.configurationBytes * 10 / 34;
        fleet.publish(2);
        CPPUNIT_ASSERT(fleet.reachesAll(2, applyBound));
        {
            Section section("and those after it");
            fleet.publish(3);
            fleet.runFor(Milliseconds { 700 });
            fleet.publish(4);
            CPPUNIT_ASSERT(fleet.reachesAll(4, applyBound));
        }
    }

    // Guards against an instance that misses a change because the owners that it reads from have stopped responding.
    void changesArriveAlthoughTheRelaysAreSilent()
    {
        static constexpr Milliseconds applyBound { 2000 };
        FleetOfReaders fleet(12);
        CPPUNIT_ASSERT(fleet.reachesAll(1, Milliseconds { 10000 }));
        fleet.runFor(Milliseconds { 2000 });
        CPPUNIT_ASSERT(fleet.relayedReads() > 0);
        for (auto& reader : fleet.readers)
            reader->silent = true;
        fleet.publish(2);
        CPPUNIT_ASSERT(fleet.reachesAll(2, applyBound));
    }

    // Guards against withdrawn keys that stay in use: an instance took its configuration for newer than it was known to
    // be, since a relay that no longer heard the store had passed it on.
    void relayedConfirmationsAreNoLaterThanThoseOfTheStore()
    {
        FleetOfReaders fleet(12);
        CPPUNIT_ASSERT(fleet.reachesAll(1, Milliseconds { 10000 }));
        fleet.runFor(Milliseconds { 2500 });
        auto age = [](const auto& reader) { return BootClock::now() - reader->context.configurationConfirmedAt; };
        {
            Section section("in calm, all are confirmed within three seconds");
            for (const auto& reader : fleet.readers)
                CPPUNIT_ASSERT(age(reader) < Milliseconds { 3200 });
        }
        Section section("while the store is down, none is confirmed later than the outage began");
        fleet.store.faults().down = true;
        auto downAt = BootClock::now();
        fleet.runFor(Milliseconds { 2500 });
        for (const auto& reader : fleet.readers)
            CPPUNIT_ASSERT(reader->context.configurationConfirmedAt <= downAt);
    }

    // Guards against an owner whose memory is used up by many readers of a large configuration.
    void relaysRefuseReadersBeyondTheirMemory()
    {
        FleetOfReaders fleet(1);
        CPPUNIT_ASSERT(fleet.reachesAll(1, Milliseconds { 10000 }));
        auto& relay = fleet.readers.front()->watcher.relay();
        static constexpr size_t maximumResponseBytes = 16 << 20; // of a relay's readers together
        auto readers = 2 * maximumResponseBytes / fleet.configurationBytes;
        size_t refused = 0;
        size_t answered = 0;
        HttpMessage request;
        request.method = "GET";
        request.target = internal::relayedRecordsRequest(1000).target;
        for (size_t i = 0; i < readers; ++i)
            relay.handle(request, [&](HttpResponse&& response) { ++(response.status == 503 ? refused : answered); });
        CPPUNIT_ASSERT(refused >= readers / 2);
        CPPUNIT_ASSERT(refused < readers);
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, answered);
        Section section("the others are answered within the hold time");
        fleet.runFor(internal::ConfigurationRelay::holdTime + Milliseconds { 200 });
        CPPUNIT_ASSERT_EQUAL(readers, refused + answered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationDistributionTest);

} // namespace shallotdrift
