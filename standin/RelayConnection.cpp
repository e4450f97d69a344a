#include "RelayConnection.h"

#include <asio/write.hpp>

namespace shallotdrift::standin {

using asio::ip::tcp;

RelayConnection::RelayConnection(tcp::socket client)
    : client_ { std::move(client) }
    , target_ { tcp::socket(client_.socket.get_executor()) }
{
}

void RelayConnection::connect(const tcp::endpoint& target)
{
    target_.socket.async_connect(target, [self = shared_from_this()](std::error_code error) {
        if (error) {
            if (!self->silent_)
                self->cut();
            return;
        }
        std::error_code ignored;
        self->client_.socket.set_option(tcp::no_delay(true), ignored);
        self->target_.socket.set_option(tcp::no_delay(true), ignored);
        self->forward(self->client_, self->target_);
        self->forward(self->target_, self->client_);
    });
}

void RelayConnection::forward(Side& from, Side& to)
{
    from.socket.async_read_some(
        asio::buffer(from.buffer), [self = shared_from_this(), &from, &to](std::error_code error, size_t length) {
            if (self->closed_)
                return;
            if (error) {
                self->onEndOfStream(from, to);
                return;
            }
            if (self->silent_) {
                self->forward(from, to);
                return;
            }
            asio::async_write(
                to.socket, asio::buffer(from.buffer, length), [self, &from, &to](std::error_code failed, size_t) {
                    if (self->closed_)
                        return;
                    if (failed && !self->silent_)
                        self->cut();
                    else
                        self->forward(from, to);
                });
        });
}

void RelayConnection::onEndOfStream(Side& from, Side& to)
{
    from.ended = true;
    std::error_code ignored;
    if (!silent_)
        to.socket.shutdown(tcp::socket::shutdown_send, ignored);
    if (to.ended) {
        closed_ = true;
        client_.socket.close(ignored);
        target_.socket.close(ignored);
    }
}

void RelayConnection::silence() { silent_ = true; }

void RelayConnection::cut()
{
    closed_ = true;
    for (auto* side : { &client_, &target_ }) {
        std::error_code ignored;
        side->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        side->socket.close(ignored);
    }
}

} // namespace shallotdrift::standin
