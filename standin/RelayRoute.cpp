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
    name_ = text.str();
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
            auto& pairs = self->pairs_;
            pairs.erase(std::remove_if(pairs.begin(), pairs.end(), [](const auto& pair) { return pair.expired(); }),
                pairs.end());
            auto pair = std::make_shared<RelayPair>(std::move(socket));
            pairs.push_back(pair);
            if (self->silent_)
                pair->silence();
            pair->connect(self->target_);
        }
        self->accept();
    });
}

void RelayRoute::cut()
{
    std::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& weak : pairs_) {
        if (auto pair = weak.lock())
            pair->cut();
    }
    pairs_.clear();
}

void RelayRoute::silence(bool onlyOpenOnes)
{
    silent_ = !onlyOpenOnes;
    for (const auto& weak : pairs_) {
        if (auto pair = weak.lock())
            pair->silence();
    }
}

void RelayRoute::restore()
{
    silent_ = false;
    if (acceptor_.is_open())
        return;
    handleError([this] { return start(); },
        [this](const Error& error) { logger("relay")->error("{}: {}", name_, error.message); });
}

} // namespace shallotdrift::standin
