// Cost of the peer messages and of the log writer.
// Usage: bench-PeerBench [SECONDS]; prints one line per figure.
#include "shallotdrift/Peers.h"
#include "shallotdrift/Platform.h"

#include <cstdlib>
#include <ctime>
#include <iostream>
#include <thread>

namespace shallotdrift {

static constexpr int pools = 125;
static constexpr int firstPort = 21200; // below the ephemeral ports of Linux
static constexpr Milliseconds heartbeatInterval { 1000 };
// Bytes around a message on the wire: pair1 hop count 4, SP length 8, TCP and IP 52, Ethernet 18.
static constexpr size_t framing = 82;

static proto::PeerMessage heartbeat()
{
    proto::PeerMessage message;
    auto* body = message.mutable_heartbeat();
    body->set_zone("zone-a");
    body->set_folded_offset(1234567);
    body->set_platform_reachable(true);
    for (int i = 0; i < pools; ++i) {
        auto* demand = body->add_demand();
        demand->set_pool("pool-" + std::to_string(100 + i));
        demand->set_slots(12.5 + i);
    }
    return message;
}

static double processorSeconds()
{
    timespec value {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

// Runs that many buses in this process, each with a heartbeat a second to all others.
static void measureBuses(int entries, int seconds)
{
    std::map<std::string, std::string> peers;
    std::vector<std::unique_ptr<PeerBus>> buses;
    for (int i = 0; i < entries; ++i) {
        auto id = "e-" + std::to_string(100 + i);
        auto address = "127.0.0.1:" + std::to_string(firstPort + i);
        peers[id] = address;
        PeerBusOptions options { id, 1, address };
        buses.push_back(std::make_unique<PeerBus>(options, [](proto::PeerMessage&&) {}));
        if (!buses.back()->start()) {
            std::cerr << "cannot listen on " << address << "\n";
            std::exit(EXIT_FAILURE);
        }
    }
    for (auto& bus : buses)
        bus->setPeers(peers);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    auto message = heartbeat();
    auto before = buses.front()->counters();
    auto processorBefore = processorSeconds();
    for (int second = 0; second < seconds; ++second) {
        auto next = BootClock::now() + heartbeatInterval;
        for (auto& bus : buses)
            bus->send(message);
        std::this_thread::sleep_for(next - BootClock::now());
    }
    auto processor = processorSeconds() - processorBefore;
    auto after = buses.front()->counters();
    auto sent = static_cast<double>(after.bytesSent - before.bytesSent);
    auto messages = static_cast<double>(after.sent - before.sent);
    std::cout << entries << " entries: heartbeat of " << message.ByteSizeLong() << " bytes; sent per entry "
              << sent / seconds << " B/s in messages, " << (sent + messages * framing) / seconds
              << " B/s with framing, per peer " << sent / seconds / (entries - 1) << " B/s; received "
              << static_cast<double>(after.bytesReceived - before.bytesReceived) / seconds << " B/s; "
              << processor / seconds / entries * 100 << "% of a core per entry, "
              << processor / seconds / entries / (entries - 1) * 1e6 << " us per peer and second; dropped "
              << after.unreachable - before.unreachable << ", dialled again " << after.redials << ", unanswered "
              << after.unanswered << "\n";
}

// Log in memory that answers at once.
class InstantPlatform : public PlatformClient {
public:
    Result<Offset> append(std::string_view payload) override
    {
        bytes += payload.size();
        return ++appends;
    }
    Result<LogPage> read(Offset, size_t, Milliseconds) override { return LogPage(); }
    Result<InstanceList> instances() override { return InstanceList(); }
    Result<void> assign(const std::string&, const std::string&, uint64_t) override { return {}; }
    Result<void> reboot(const std::string&, uint64_t) override { return {}; }
    Result<void> startTask(const TaskStart&) override { return {}; }
    Result<void> commandTask(const std::string&, TaskCommand, uint64_t) override { return {}; }
    Result<std::vector<PlatformTask>> tasks() override { return std::vector<PlatformTask>(); }

    std::atomic<uint64_t> appends { 0 };
    std::atomic<uint64_t> bytes { 0 };
};

// Submits as fast as the ring takes records.
static void measureWriter(uint32_t appendsPerSecond, Milliseconds interval, int seconds)
{
    InstantPlatform platform;
    LogWriterOptions options;
    options.writer = "e-1";
    options.maximumAppendsPerSecond = appendsPerSecond;
    options.batchInterval = interval;
    LogWriter writer(options, platform);
    writer.start();
    proto::Record record;
    record.set_actor("entry:e-1");
    record.mutable_key_intent()->set_key("1700000000000-abcdefgh");
    record.mutable_key_intent()->set_owner("e-1");
    auto begin = BootClock::now();
    auto processorBefore = processorSeconds();
    while (BootClock::now() - begin < std::chrono::seconds(seconds)) {
        if (!writer.submit(record))
            std::this_thread::sleep_for(Milliseconds(1));
    }
    auto elapsed = std::chrono::duration<double>(BootClock::now() - begin).count();
    auto records = static_cast<double>(writer.counters().records);
    std::cout << "log writer, limit " << appendsPerSecond
              << " appends/s: " << static_cast<double>(platform.appends) / elapsed << " appends/s, "
              << records / elapsed << " records/s, " << static_cast<double>(platform.bytes) / elapsed / 1000
              << " kB/s, " << (processorSeconds() - processorBefore) / elapsed * 100 << "% of a core\n";
}

} // namespace shallotdrift

int main(int argc, char** argv)
{
    int seconds = argc > 1 ? std::atoi(argv[1]) : 5;
    shallotdrift::measureBuses(8, seconds);
    shallotdrift::measureBuses(56, seconds);
    shallotdrift::measureWriter(25, shallotdrift::Milliseconds(40), seconds);
    shallotdrift::measureWriter(1000000, shallotdrift::Milliseconds(0), seconds);
}
