#include "OperatorListener.h"

#include "../Base/Logging.h"
#include "../Http/Address.h"

#include <algorithm>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace shallotdrift {

using asio::ip::tcp;

// Delay after a failed accept, for example when the process has no free descriptors.
static constexpr Milliseconds acceptRetryDelay { 100 };
// A connection is not closed for another one unless it has received nothing for this time.
static constexpr Milliseconds leastQuietTime { 500 };

// Time since the socket has received data, or since it was connected if it has received none.
static Milliseconds quietTime(tcp::socket& socket)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
        return Milliseconds::max();
    return Milliseconds { info.tcpi_last_data_recv };
}

OperatorListener::OperatorListener(size_t maximumConnections, ConnectionHandler handler)
    : maximumConnections_(maximumConnections)
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
    connections_.clear();
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
        if (connections_.size() < maximumConnections_ || closeQuietest())
            pass(std::move(socket));
        accept();
    });
}

// The second descriptor shows when the server has closed the connection, since the server shuts it down then.
void OperatorListener::pass(tcp::socket socket)
{
    std::error_code error;
    socket.non_blocking(true, error);
    socket.set_option(tcp::no_delay(true), error);
    int descriptor = fcntl(socket.native_handle(), F_DUPFD_CLOEXEC, 0);
    if (descriptor < 0)
        return;
    auto kept = std::make_shared<tcp::socket>(std::move(socket));
    connections_.insert(kept);
    kept->async_wait(tcp::socket::wait_error, [this, kept](std::error_code waitError) {
        if (waitError != asio::error::operation_aborted)
            connections_.erase(kept);
    });
    handler_(descriptor);
}

bool OperatorListener::closeQuietest()
{
    auto quietest = std::max_element(connections_.begin(), connections_.end(),
        [](const auto& a, const auto& b) { return quietTime(*a) < quietTime(*b); });
    if (quietest == connections_.end() || quietTime(**quietest) < leastQuietTime)
        return false;
    auto socket = *quietest;
    connections_.erase(quietest);
    std::error_code ignored;
    socket->shutdown(tcp::socket::shutdown_both, ignored);
    socket->close(ignored);
    return true;
}

} // namespace shallotdrift
