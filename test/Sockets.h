// Blocking sockets and a scripted target for tests of the request path.
#pragma once

#include "shallotdrift/Base.h"
#include "shallotdrift/Http.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace shallotdrift::testing {

// A client connection to 127.0.0.1. Reads end after a few seconds, so that a missing answer fails the test.
class RawConnection {
public:
    explicit RawConnection(uint16_t port);

    void send(std::string_view);
    // Sends with the given pause between single bytes, until the peer closes or all is sent.
    void sendSlowly(std::string_view, Milliseconds pause);
    // Next response; throws when the connection ends before it is complete.
    HttpMessage receive();
    // True when the peer closes within the time limit without sending anything more.
    bool closedByPeer();
    void close() { socket_.close(); }
    void shutdownSend() { socket_.shutdown(asio::ip::tcp::socket::shutdown_send); }

private:
    size_t read(char* buffer, size_t length);

    asio::io_context io_;
    asio::ip::tcp::socket socket_ { io_ };
    HttpReader reader_ { HttpReader::Type::Response, { 64 << 10, 16 << 20 } };
    std::string pending_;
};

// What a scripted target does with one request.
struct TargetScript {
    std::string answer; // raw bytes
    bool closeAfterwards = false;
};

// A whole answer with fitting ids and digest.
std::string targetAnswer(
    const HttpMessage& request, const std::string& body, unsigned status = 200, const std::string& execution = "ran");

// Listens on a free port of 127.0.0.1 and answers each request as the script says; a thread for each connection.
class FakeTarget {
public:
    // Called with the request and the number of requests received before it.
    using Script = std::function<TargetScript(const HttpMessage&, int)>;

    explicit FakeTarget(Script);
    ~FakeTarget();
    FakeTarget(const FakeTarget&) = delete;
    FakeTarget& operator=(const FakeTarget&) = delete;

    std::string address() const;
    int requests() const { return requests_; }
    int connections() const { return connections_; }

private:
    void serve(int descriptor);

    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_ { io_ };
    Script script_;
    std::atomic<int> requests_ { 0 };
    std::atomic<int> connections_ { 0 };
    std::mutex mutex_;
    std::vector<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptThread_;
};

// Waits up to some seconds for a condition.
bool eventually(const std::function<bool()>&);

} // namespace shallotdrift::testing
