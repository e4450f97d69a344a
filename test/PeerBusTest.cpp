#include "FakePlatform.h"
#include "Story.h"

#include "shallotdrift/Peers.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <netinet/in.h>
#include <nng/nng.h>
#include <nng/protocol/pair1/pair.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace shallotdrift {

class PeerBusTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerBusTest);
    CPPUNIT_TEST(threeBusesExchangeEachMessageOnce);
    CPPUNIT_TEST(followsRestartsAndNewAddresses);
    CPPUNIT_TEST(badMessagesAreCountedAndDropped);
    CPPUNIT_TEST(silentConnectionIsDialledAgain);
    CPPUNIT_TEST_SUITE_END();

    // Port that was free a moment ago; other test runs may share the machine.
    static int freePort()
    {
        int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        CPPUNIT_ASSERT(bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0);
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
        close(descriptor);
        return ntohs(address.sin_port);
    }

    // A bus that records what it receives.
    struct Node {
        explicit Node(const std::string& entry, int port = freePort(), Milliseconds silence = Milliseconds(2000))
            : address("127.0.0.1:" + std::to_string(port))
            , bus({ entry, 7, address, 4096, silence }, [this](proto::PeerMessage&& message) {
                std::lock_guard lock(mutex);
                messages.push_back(std::move(message));
            })
        {
            CPPUNIT_ASSERT(bus.start());
        }

        // Messages received with the number.
        size_t count(uint64_t number)
        {
            std::lock_guard lock(mutex);
            return static_cast<size_t>(std::count_if(messages.begin(), messages.end(),
                [&](const auto& message) { return message.heartbeat().folded_offset() == number; }));
        }

        std::string address;
        std::mutex mutex;
        std::vector<proto::PeerMessage> messages;
        PeerBus bus;
    };

    static proto::PeerMessage numbered(uint64_t number, const std::string& receiver = "")
    {
        proto::PeerMessage message;
        message.set_receiver(receiver);
        message.mutable_heartbeat()->set_folded_offset(number);
        return message;
    }

    // Sends until the receiver has something, as a connection takes a moment.
    static bool connected(Node& from, Node& to, uint64_t number, const std::string& receiver)
    {
        return eventually([&] {
            from.bus.send(numbered(number, receiver));
            std::this_thread::sleep_for(Milliseconds(10));
            return to.count(number) > 0;
        });
    }

public:
    // Guards against duplicate delivery when both ends dial, and against messages that reach the wrong entry.
    void threeBusesExchangeEachMessageOnce()
    {
        Node a("a");
        Node b("b");
        Node c("c");
        std::map<std::string, std::string> peers { { "a", a.address }, { "b", b.address }, { "c", c.address } };
        for (auto* node : { &a, &b, &c })
            node->bus.setPeers(peers);
        CPPUNIT_ASSERT(connected(a, b, 1, "b"));
        CPPUNIT_ASSERT(connected(a, c, 2, "c"));
        CPPUNIT_ASSERT(connected(b, a, 3, "a"));
        CPPUNIT_ASSERT(connected(b, c, 4, "c"));
        for (uint64_t number = 100; number < 120; ++number)
            a.bus.send(numbered(number));
        b.bus.send(numbered(200, "c"));
        CPPUNIT_ASSERT(eventually([&] { return b.count(119) && c.count(119) && c.count(200); }));
        std::this_thread::sleep_for(Milliseconds(100));
        for (uint64_t number = 100; number < 120; ++number) {
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, b.count(number));
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, c.count(number));
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, c.count(200));
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, a.count(200));
        for (const auto& message : c.messages) {
            bool fromB = message.heartbeat().folded_offset() == 200 || message.heartbeat().folded_offset() == 4;
            CPPUNIT_ASSERT_EQUAL(std::string(fromB ? "b" : "a"), message.sender());
            CPPUNIT_ASSERT_EQUAL(uint64_t { 7 }, message.sender_boot());
        }
    }

    // Guards against a peer that is lost after its restart, at the same or at another address.
    void followsRestartsAndNewAddresses()
    {
        Node a("a");
        int port = freePort();
        auto b = std::make_unique<Node>("b", port);
        a.bus.setPeers({ { "b", b->address } });
        CPPUNIT_ASSERT(connected(a, *b, 1, "b"));
        {
            Section same("a restart at the same address");
            b.reset();
            a.bus.send(numbered(2, "b"));
            b = std::make_unique<Node>("b", port);
            CPPUNIT_ASSERT(connected(a, *b, 3, "b"));
        }
        {
            Section other("a restart at another address");
            b = std::make_unique<Node>("b");
            a.bus.setPeers({ { "b", b->address } });
            CPPUNIT_ASSERT(connected(a, *b, 4, "b"));
        }
        Section reused("another entry at an old address does not take the messages");
        Node c("c");
        a.bus.setPeers({ { "b", c.address } });
        CPPUNIT_ASSERT(connected(a, c, 5, ""));
        a.bus.send(numbered(6, "b"));
        a.bus.send(numbered(7));
        CPPUNIT_ASSERT(eventually([&] { return c.count(7) > 0; }));
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, c.count(6));
    }

    // Guards against a peer that crashes or blocks an entry by what it sends.
    void badMessagesAreCountedAndDropped()
    {
        Node a("a");
        nng_socket raw {};
        CPPUNIT_ASSERT(nng_pair1_open(&raw) == 0);
        CPPUNIT_ASSERT(nng_dial(raw, ("tcp://" + a.address).c_str(), nullptr, 0) == 0);
        auto sendRaw = [&](std::string bytes) { CPPUNIT_ASSERT(nng_send(raw, bytes.data(), bytes.size(), 0) == 0); };
        sendRaw("\xff\xff\xff");
        sendRaw(""); // no sender
        sendRaw(std::string(5000, 'x'));
        auto good = numbered(5);
        good.set_sender("raw");
        sendRaw(good.SerializeAsString());
        CPPUNIT_ASSERT(eventually([&] { return a.count(5) == 1; }));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, a.bus.counters().unparsable);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, a.bus.counters().oversized);
        nng_close(raw);
        Section own("a message of the entry itself above the limit is not sent");
        auto large = numbered(1);
        large.mutable_heartbeat()->set_zone(std::string(5000, 'z'));
        a.bus.send(large);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, a.bus.counters().oversized);
    }

    // Guards against connections that stay open and silent for good, and against dialling idle ones that work.
    void silentConnectionIsDialledAgain()
    {
        nng_socket silent {};
        CPPUNIT_ASSERT(nng_pair1_open(&silent) == 0);
        auto address = "127.0.0.1:" + std::to_string(freePort());
        CPPUNIT_ASSERT(nng_listen(silent, ("tcp://" + address).c_str(), nullptr, 0) == 0);
        Node a("a", freePort(), Milliseconds(200));
        a.bus.setPeers({ { "s", address } });
        CPPUNIT_ASSERT(eventually([&] { return a.bus.counters().redials >= 2; }));
        nng_close(silent);
        Section idle("an idle connection that answers is left alone");
        Node b("b", freePort(), Milliseconds(1000));
        Node c("c", freePort(), Milliseconds(1000));
        c.bus.setPeers({ { "b", b.address } });
        CPPUNIT_ASSERT(connected(c, b, 1, "b"));
        std::this_thread::sleep_for(Milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, c.bus.counters().redials);
        c.bus.send(numbered(2));
        CPPUNIT_ASSERT(eventually([&] { return b.count(2) == 1; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerBusTest);

} // namespace shallotdrift
