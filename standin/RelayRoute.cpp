#include "RelayRoute.h"

#include <algorithm>
#include <sstream>

namespace shallotdrift::standin {

RelayRoute::RelayRoute(asio::io_context& io, asio::ip::tcp::endpoint listen, asio::ip::tcp::endpoint target)
    : listen_(std::move(listen))
    , target_(std::move(target))
    , acceptor_(io)
{
    std::ostringstream text;
    text << listen_;
    listenAddress_ = text.str();
}

Result<void> RelayRoute::start()
{
    BOOST_LEAF_CHECK(shallotdrift::startListening(acceptor_, listen_));
    accept();
    return {};
}

void RelayRoute::accept()
{
    acceptor_.async_accept([self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
        if (!self->acceptor_.is_open())
            return;
        if (!error) {
            auto& connections = self->connections_;
            connections.erase(std::remove_if(connections.begin(), connections.end(),
                                  [](const auto& connection) { return connection.expired(); }),
                connections.end());
            auto connection = std::make_shared<RelayConnection>(std::move(socket));
            connections.push_back(connection);
            if (self->silent_)
                connection->silence();
            connection->connect(self->target_);
        }
        self->accept();
    });
}

void RelayRoute::cut()
{
    std::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& weak : connections_) {
        if (auto connection = weak.lock())
            connection->cut();
    }
    connections_.clear();
}

void RelayRoute::silence(bool openConnectionsOnly)
{
    silent_ = !openConnectionsOnly;
    for (const auto& weak : connections_) {
        if (auto connection = weak.lock())
            connection->silence();
    }
}

void RelayRoute::restore()
{
    silent_ = false;
    if (acceptor_.is_open())
        return;
    handleError([this] { return start(); },
        [this](const Error& error) { logger("relay")->error("{}: {}", listenAddress_, error.message); });
}

} // namespace shallotdrift::standin
