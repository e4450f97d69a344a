#include "Story.h"

#include "shallotdrift/Peers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <mutex>
#include <thread>

namespace shallotdrift {

class PeerBusTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerBusTest);
    CPPUNIT_TEST(threeBusesExchangeEachMessageOnce);
    CPPUNIT_TEST_SUITE_END();

    // A bus that records what it receives.
    struct Node {
        Node(const std::string& entry, int port, Milliseconds silence = Milliseconds(2000))
            : address("127.0.0.1:" + std::to_string(port))
            , bus({ entry, 7, address, 4096, silence }, [this](proto::PeerMessage&& message) {
                std::lock_guard lock(mutex);
                messages.push_back(std::move(message));
            })
        {
            CPPUNIT_ASSERT(bus.start());
        }

        size_t received()
        {
            std::lock_guard lock(mutex);
            return messages.size();
        }

        std::string address;
        std::mutex mutex;
        std::vector<proto::PeerMessage> messages;
        PeerBus bus;
    };

    static bool eventually(const std::function<bool()>& condition, Milliseconds limit = Milliseconds(5000))
    {
        auto end = BootClock::now() + limit;
        while (!condition()) {
            if (BootClock::now() > end)
                return false;
            std::this_thread::sleep_for(Milliseconds(5));
        }
        return true;
    }

    static proto::PeerMessage heartbeat(uint64_t offset, const std::string& receiver = "")
    {
        proto::PeerMessage message;
        message.set_receiver(receiver);
        message.mutable_heartbeat()->set_folded_offset(offset);
        return message;
    }

    // Sends until the receiver has something, as connections take a moment.
    static bool connected(Node& from, Node& to, const std::string& receiver)
    {
        return eventually([&] {
            from.bus.send(heartbeat(0, receiver));
            std::this_thread::sleep_for(Milliseconds(10));
            return to.received() > 0;
        });
    }

public:
    // Guards against duplicate delivery when both ends dial, and against messages that reach the wrong entry.
    void threeBusesExchangeEachMessageOnce()
    {
        Node a("a", 47311);
        Node b("b", 47312);
        Node c("c", 47313);
        std::map<std::string, std::string> peers { { "a", a.address }, { "b", b.address }, { "c", c.address } };
        for (auto* node : { &a, &b, &c })
            node->bus.setPeers(peers);
        CPPUNIT_ASSERT(connected(a, b, "b"));
        CPPUNIT_ASSERT(connected(a, c, "c"));
        CPPUNIT_ASSERT(connected(b, a, "a"));
        auto before = b.received();
        Section toAll("a message to all arrives once at each");
        a.bus.send(heartbeat(42));
        CPPUNIT_ASSERT(eventually(
            [&] { return b.received() == before + 1 && c.messages.back().heartbeat().folded_offset() == 42; }));
        std::this_thread::sleep_for(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(before + 1, b.received());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerBusTest);

} // namespace shallotdrift
