#pragma once

#include "RelayConnection.h"
#include "shallotdrift/Base.h"
#include "shallotdrift/Http.h"

#include <string>
#include <vector>

namespace shallotdrift::standin {

// Forwards the connections of one listening address to one target address.
class RelayRoute : public std::enable_shared_from_this<RelayRoute> {
public:
    RelayRoute(asio::io_context&, asio::ip::tcp::endpoint listen, asio::ip::tcp::endpoint target);

    Result<void> start();
    const std::string& listenAddress() const { return listenAddress_; }

    // Resets all connections and closes the listener, so that new connections are refused until restore().
    void cut();
    // Drops all further traffic of the open connections and, unless openConnectionsOnly is set, of new connections.
    void silence(bool openConnectionsOnly);
    // Accepts and forwards new connections again. Silenced connections stay silenced.
    void restore();

private:
    void accept();

    asio::ip::tcp::endpoint listen_;
    asio::ip::tcp::endpoint target_;
    std::string listenAddress_; // IP:port
    asio::ip::tcp::acceptor acceptor_;
    bool silent_ = false;
    std::vector<std::weak_ptr<RelayConnection>> connections_;
};

} // namespace shallotdrift::standin
