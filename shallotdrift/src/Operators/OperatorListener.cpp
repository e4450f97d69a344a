#include "OperatorListener.h"

#include "../Base/Logging.h"
#include "../Http/Address.h"
#include "StreamCounter.h"

#include <algorithm>
#include <array>
#include <asio/local/connect_pair.hpp>
#include <asio/local/stream_protocol.hpp>
#include <asio/write.hpp>

namespace shallotdrift {

using asio::ip::tcp;
using LocalSocket = asio::local::stream_protocol::socket;

// Delay after a failed accept, for example when the process has no free descriptors.
static constexpr Milliseconds acceptRetryDelay { 100 };
// A connection is not closed for another one unless it has sent nothing for this time.
static constexpr Milliseconds leastQuietTime { 500 };
static constexpr size_t relayBufferBytes = 16 << 10;

// Relays the bytes of one connection in both directions, each through one buffer.
class OperatorListener::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(OperatorListener& listener, tcp::socket client, LocalSocket server)
        : listener_(listener)
        , client_(std::move(client))
        , server_(std::move(server))
        , receivedAt_(BootClock::now())
    {
    }

    void start()
    {
        pump(client_, server_, clientBuffer_, &Connection::onClientBytes);
        pump(server_, client_, serverBuffer_, &Connection::onServerBytes);
    }

    void close()
    {
        std::error_code ignored;
        client_.close(ignored);
        server_.close(ignored);
        listener_.connections_.erase(shared_from_this());
    }

    Instant receivedAt() const { return receivedAt_; }

private:
    using Buffer = std::array<char, relayBufferBytes>;
    // Returns whether the bytes may be passed on.
    using Check = bool (Connection::*)(std::string_view);

    bool onClientBytes(std::string_view bytes)
    {
        receivedAt_ = BootClock::now();
        if (listener_.options_.encrypted)
            return true;
        streams_.onClientBytes(bytes);
        return streams_.openStreams() <= listener_.options_.maximumStreams;
    }

    bool onServerBytes(std::string_view bytes)
    {
        if (!listener_.options_.encrypted)
            streams_.onServerBytes(bytes);
        return true;
    }

    template <typename From, typename To> void pump(From& from, To& to, Buffer& buffer, Check check)
    {
        from.async_read_some(asio::buffer(buffer),
            [self = shared_from_this(), &from, &to, &buffer, check](std::error_code error, size_t length) {
                if (error || !((*self).*check)(std::string_view(buffer.data(), length))) {
                    self->close();
                    return;
                }
                asio::async_write(to, asio::buffer(buffer.data(), length),
                    [self, &from, &to, &buffer, check](std::error_code writeError, size_t) {
                        if (writeError)
                            self->close();
                        else
                            self->pump(from, to, buffer, check);
                    });
            });
    }

    OperatorListener& listener_;
    tcp::socket client_;
    LocalSocket server_;
    Instant receivedAt_; // bytes of the client
    internal::StreamCounter streams_;
    Buffer clientBuffer_ {};
    Buffer serverBuffer_ {};
};

OperatorListener::OperatorListener(OperatorListenerOptions options, ConnectionHandler handler)
    : options_(options)
    , handler_(std::move(handler))
{
}

OperatorListener::~OperatorListener() { stop(); }

Result<void> OperatorListener::start(const std::string& address)
{
    BOOST_LEAF_AUTO(endpoint, parseAddress(address));
    BOOST_LEAF_CHECK(startListening(acceptor_, endpoint));
    port_ = acceptor_.local_endpoint().port();
    accept();
    thread_ = std::thread([this] { io_.run(); });
    return {};
}

void OperatorListener::stop()
{
    io_.stop();
    if (thread_.joinable())
        thread_.join();
    std::error_code ignored;
    acceptor_.close(ignored);
    auto connections = connections_;
    for (const auto& connection : connections)
        connection->close();
}

void OperatorListener::accept()
{
    acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
        if (error) {
            logger("operators")->warn("cannot accept a connection: {}", error.message());
            retryTimer_.expires_after(acceptRetryDelay);
            retryTimer_.async_wait([this](std::error_code timerError) {
                if (!timerError)
                    accept();
            });
            return;
        }
        if (connections_.size() < options_.maximumConnections || closeQuietest())
            relay(std::move(socket));
        accept();
    });
}

void OperatorListener::relay(tcp::socket socket)
{
    std::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    LocalSocket own(io_);
    LocalSocket passed(io_);
    asio::local::connect_pair(own, passed, error);
    if (!error)
        passed.non_blocking(true, error);
    if (error)
        return;
    auto connection = std::make_shared<Connection>(*this, std::move(socket), std::move(own));
    connections_.insert(connection);
    handler_(passed.release());
    connection->start();
}

bool OperatorListener::closeQuietest()
{
    auto quietest = std::min_element(connections_.begin(), connections_.end(),
        [](const auto& a, const auto& b) { return a->receivedAt() < b->receivedAt(); });
    if (quietest == connections_.end() || BootClock::now() - (*quietest)->receivedAt() < leastQuietTime)
        return false;
    auto connection = *quietest; // NOLINT(performance-unnecessary-copy-initialization): keeps the connection alive
    connection->close();
    return true;
}

} // namespace shallotdrift
