// Requests per second and latency of the request path (caller server and target client joined directly) against direct
// calls of the same in-process target, and memory per idle caller connection.
// Usage: bench-RequestBench [SECONDS PER PART]
#include "shallotdrift/Base.h"
#include "standin/DirectEntry.h"
#include "standin/LoadConnection.h"
#include "standin/TargetHost.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace {

using namespace shallotdrift; // NOLINT(google-build-using-namespace): program without a header
using standin::LoadConnection;

constexpr int idleConnections = 2000;
constexpr uint32_t manySlots = 1000;

// Runs an Asio loop on a thread of its own.
class Loop {
public:
    ~Loop()
    {
        io.stop();
        thread_.join();
    }
    asio::io_context io { 1 };

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(io);
    std::thread thread_ { [this] { io.run(); } };
};

struct Measurement {
    double requestsPerSecond = 0;
    double p50Microseconds = 0;
    double p99Microseconds = 0;
    uint64_t failures = 0;
};

// Closed loop: each connection sends its next request when the answer to the last one has arrived.
class ClosedLoop {
public:
    ClosedLoop(const std::string& address, std::string head, int connections, Duration length)
        : endpoint_(parseAddress(address).value())
        , head_(std::move(head))
        , deadlines_(io_)
        , end_(BootClock::now() + length)
    {
        for (int i = 0; i < connections; ++i) {
            connections_.push_back(std::make_shared<LoadConnection>(io_, deadlines_));
            sendOn(static_cast<size_t>(i), true);
        }
        auto begin = BootClock::now();
        io_.run();
        seconds_ = std::chrono::duration<double>(BootClock::now() - begin).count();
    }

    Measurement result()
    {
        std::sort(times_.begin(), times_.end());
        auto at = [this](double share) {
            auto index = static_cast<size_t>(share * static_cast<double>(times_.size() - 1));
            return times_.empty() ? 0 : std::chrono::duration<double, std::micro>(times_[index]).count();
        };
        return { static_cast<double>(times_.size()) / seconds_, at(0.5), at(0.99), failures_ };
    }

private:
    void sendOn(size_t index, bool connect)
    {
        auto begin = BootClock::now();
        if (begin >= end_) {
            io_.stop();
            return;
        }
        auto request = fmt::format(fmt::runtime(head_), ++number_);
        auto callback = [this, index, begin](standin::CallOutcome&& outcome) {
            if (outcome.answer && outcome.answer->status == 200)
                times_.push_back(BootClock::now() - begin);
            else
                ++failures_;
            if (connections_[index]->usable())
                sendOn(index, false);
        };
        auto giveUp = begin + std::chrono::seconds(5);
        if (connect)
            connections_[index]->connectAndCall(endpoint_, std::move(request), giveUp, callback);
        else
            connections_[index]->call(std::move(request), giveUp, callback);
    }

    asio::ip::tcp::endpoint endpoint_;
    std::string head_;
    asio::io_context io_ { 1 };
    DeadlineQueue deadlines_;
    Instant end_;
    std::vector<std::shared_ptr<LoadConnection>> connections_;
    std::vector<Duration> times_;
    uint64_t number_ = 0;
    uint64_t failures_ = 0;
    double seconds_ = 0;
};

const std::string work = "run_ms=0&answer_bytes=200";

std::string callerRequest()
{
    return fmt::format(
        "POST /v1/requests/quick HTTP/1.1\r\nRequest-Id: r-{{}}\r\nTimeout-Ms: 5000\r\nContent-Length: {}\r\n\r\n{}",
        work.size(), work);
}

std::string targetRequest()
{
    return fmt::format("POST /run/quick HTTP/1.1\r\nRequest-Id: r-{{0}}\r\nAttempt-Id: {{0}}\r\nPool: assess\r\nEpoch: "
                       "1\r\nContent-Length: {}\r\n\r\n{}",
        work.size(), work);
}

void print(const std::string& name, int connections, const Measurement& value)
{
    std::cout << fmt::format(
        "{:<14}{:>4} connections{:>10.0f} requests/s{:>9.0f} us p50{:>9.0f} us p99{:>6} failures\n", name, connections,
        value.requestsPerSecond, value.p50Microseconds, value.p99Microseconds, value.failures);
}

double residentKilobytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

void measureIdleConnections()
{
    CallerServerOptions options;
    options.listenAddress = "127.0.0.1:0";
    options.maximumConnections = idleConnections;
    std::atomic<uint64_t> served { 0 };
    CallerServer* pointer = nullptr;
    CallerServer server(
        options,
        [&](CallerRequest&& request) {
            ++served;
            pointer->reply(request.id, { ResultCode::Ok, "done", "text/plain", {}, {} });
            return true;
        },
        [](uint64_t) {});
    pointer = &server;
    if (!server.start())
        return;
    asio::io_context io;
    std::vector<asio::ip::tcp::socket> sockets;
    sockets.reserve(idleConnections);
    double before = residentKilobytes();
    auto request = fmt::format(fmt::runtime(callerRequest()), 1);
    std::array<char, 1024> buffer {};
    for (int i = 0; i < idleConnections; ++i) {
        auto& socket = sockets.emplace_back(io);
        socket.connect({ asio::ip::address_v4::loopback(), server.port() });
        socket.send(asio::buffer(request));
        socket.receive(asio::buffer(buffer));
    }
    std::cout << fmt::format("{:.2f} KB resident for each of {} idle connections that served one request (both ends)\n",
        (residentKilobytes() - before) / idleConnections, served.load());
}

} // namespace

int main(int argc, char** argv)
{
    setLogLevel("error");
    std::chrono::duration<double> seconds(argc > 1 ? std::stod(argv[1]) : 2.0);
    auto length = std::chrono::duration_cast<Duration>(seconds);
    measureIdleConnections();
    Loop loop;
    standin::Journal journal("");
    standin::TargetHost host(loop.io, journal, Milliseconds(0));
    standin::FleetInstance target;
    target.id = "t1";
    target.address = "127.0.0.1:0";
    target.pool = "assess";
    target.slots = manySlots;
    if (!host.add(target))
        return 1;
    auto address = host.find("t1")->description().address;
    CallerServerOptions serverOptions;
    serverOptions.listenAddress = "127.0.0.1:0";
    TargetClientOptions clientOptions;
    clientOptions.maximumConnectionsPerTarget = 64;
    standin::DirectEntry entry(serverOptions, clientOptions, { address }, "assess");
    if (!entry.start())
        return 1;
    auto entryAddress = fmt::format("127.0.0.1:{}", entry.server().port());
    for (int connections : { 1, 8, 64 }) {
        auto direct = ClosedLoop(address, targetRequest(), connections, length).result();
        auto through = ClosedLoop(entryAddress, callerRequest(), connections, length).result();
        print("direct", connections, direct);
        print("through", connections, through);
        std::cout << fmt::format("added{:>42.0f} us p50{:>9.0f} us p99\n",
            through.p50Microseconds - direct.p50Microseconds, through.p99Microseconds - direct.p99Microseconds);
    }
    return 0;
}
