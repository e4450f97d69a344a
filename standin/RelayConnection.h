#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <memory>

namespace shallotdrift::standin {

// Forwards the bytes of one client connection to the target, and those of the target to the client.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
    explicit RelayConnection(asio::ip::tcp::socket client);

    void connect(const asio::ip::tcp::endpoint& target);
    // Drops all further bytes and ends of stream in both directions. This cannot be undone: a stream that resumes after
    // a gap would be corrupt.
    void silence();
    // Resets the connections to the client and to the target.
    void cut();
    bool closed() const { return closed_; }

private:
    struct Side {
        asio::ip::tcp::socket socket;
        std::array<char, 16 << 10> buffer {};
        bool ended = false;
    };

    void forward(Side& from, Side& to);
    void onEndOfStream(Side& from, Side& to);

    Side client_;
    Side target_;
    bool silent_ = false;
    bool closed_ = false;
};

} // namespace shallotdrift::standin
