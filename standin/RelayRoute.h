#pragma once

#include "RelayPair.h"
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
    const std::string& name() const { return name_; }

    // Resets all connections and refuses new ones.
    void cut();
    // Open connections go silent for ever; new ones do too unless only open ones are meant.
    void silence(bool openConnectionsOnly);
    // New connections are forwarded again.
    void restore();

private:
    void accept();

    asio::ip::tcp::endpoint listen_;
    asio::ip::tcp::endpoint target_;
    std::string name_; // the listening address
    asio::ip::tcp::acceptor acceptor_;
    bool silent_ = false;
    std::vector<std::weak_ptr<RelayConnection>> connections_;
};

} // namespace shallotdrift::standin
