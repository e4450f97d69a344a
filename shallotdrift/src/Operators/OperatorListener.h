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

// Accepts the connections for a server that cannot limit their number itself, and passes them on. When there are too
// many, the one that has received nothing for longest is closed. Runs a thread of its own.
class OperatorListener {
public:
    // Takes ownership of the descriptor of a connected, non-blocking socket.
    using ConnectionHandler = std::function<void(int descriptor)>;

    OperatorListener(size_t maximumConnections, ConnectionHandler);
    ~OperatorListener();
    OperatorListener(const OperatorListener&) = delete;
    OperatorListener& operator=(const OperatorListener&) = delete;

    // Starts to accept connections. Fails with InvalidSettings when the address cannot be used.
    Result<void> start(const std::string& address);
    // Stops accepting connections; those that have been passed on stay open.
    void stop();
    // The port that the listener is bound to.
    uint16_t port() const { return port_; }

private:
    void accept();
    void pass(asio::ip::tcp::socket);
    bool closeQuietest();

    size_t maximumConnections_;
    ConnectionHandler handler_;
    asio::io_context io_ { 1 };
    asio::ip::tcp::acceptor acceptor_ { io_ };
    asio::steady_timer retryTimer_ { io_ };
    std::unordered_set<std::shared_ptr<asio::ip::tcp::socket>>
        connections_; // second descriptors of the sockets that have been passed on
    std::thread thread_;
    uint16_t port_ = 0;
};

} // namespace shallotdrift
