#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_set>

namespace shallotdrift {

struct OperatorListenerOptions {
    size_t maximumConnections = 32;
    size_t maximumStreams = 16; // open streams of a connection; it is closed for more
    bool encrypted = false; // streams of encrypted connections are not counted
};

// Accepts the connections for a gRPC server, which cannot limit their number, and relays them to it. When there are too
// many, the one that has sent nothing for longest is closed. Runs a thread of its own.
class OperatorListener {
public:
    // Takes ownership of the descriptor of a connected, non-blocking socket.
    using ConnectionHandler = std::function<void(int descriptor)>;

    OperatorListener(OperatorListenerOptions, ConnectionHandler);
    ~OperatorListener();
    OperatorListener(const OperatorListener&) = delete;
    OperatorListener& operator=(const OperatorListener&) = delete;

    // Starts to accept connections. Fails with InvalidSettings when the address cannot be used.
    Result<void> start(const std::string& address);
    // Stops accepting connections and closes the open ones.
    void stop();
    // The port that the listener is bound to.
    uint16_t port() const { return port_; }

private:
    class Connection;

    void accept();
    void relay(asio::ip::tcp::socket);
    bool closeQuietest();

    OperatorListenerOptions options_;
    ConnectionHandler handler_;
    asio::io_context io_ { 1 };
    asio::ip::tcp::acceptor acceptor_ { io_ };
    asio::steady_timer retryTimer_ { io_ };
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    std::thread thread_;
    uint16_t port_ = 0;
};

} // namespace shallotdrift
