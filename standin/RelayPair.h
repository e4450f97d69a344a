#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <memory>

namespace shallotdrift::standin {

// Two joined connections: one from a client, one to the target.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
    explicit RelayConnection(asio::ip::tcp::socket client);

    void connect(const asio::ip::tcp::endpoint& target);
    // From now on all bytes and closings are dropped, in both directions and for ever: forwarding a stream again
    // after a gap would corrupt it.
    void silence();
    // Closes both sides with a reset.
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
