#include "HttpClient.h"

#include "Address.h"
#include "HttpHead.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <deque>
#include <exception>
#include <unordered_map>
#include <unordered_set>

namespace shallotdrift {

using asio::ip::tcp;

namespace {

    class Connection;
    class ConnectionPool;

    // One request and the handler of its response.
    struct Exchange {
        std::string bytes; // head and body of the request
        Instant deadline;
        HttpClient::Handler handler;
        std::shared_ptr<const HttpPeer> peer; // null: any process may handle the request
        std::string identification; // the request that identifies the peer, if one has to be sent
        bool sent = false;

        // Whether the request is for a certain process.
        bool bound() const { return peer && peer->id != 0; }

        // An exception of the handler is thrown again from the event loop, so that it leaves the connections and the
        // handlers of other requests alone.
        void finish(asio::io_context& io, HttpOutcome&& outcome)
        {
            try {
                if (auto call = std::move(handler))
                    call(std::move(outcome));
            } catch (...) {
                asio::post(io, [error = std::current_exception()] { std::rethrow_exception(error); });
            }
        }
    };

    // The head and the body of the request.
    std::string format(const std::string& address, const HttpRequest& request)
    {
        auto head = HttpHead::request(request.method, request.target);
        head.add("Host", address);
        if (!request.contentType.empty())
            head.add("Content-Type", request.contentType);
        for (const auto& header : request.headers)
            head.add(header.name, header.value);
        if (!request.body.empty() || request.method != "GET")
            head.add("Content-Length", request.body.size());
        return head.finish() + request.body;
    }

    struct ClientState {
        asio::io_context& io;
        DeadlineQueue& deadlines;
        HttpClientOptions options;
        uint64_t connectionsOpened = 0;
        std::array<char, 64 << 10> readBuffer {};
    };

    class Connection : public std::enable_shared_from_this<Connection>, public DeadlineHandler {
    public:
        Connection(ClientState& shared, ConnectionPool& connectionPool)
            : shared_(shared)
            , connectionPool_(connectionPool)
            , socket_(shared.io)
            , reader_(HttpReader::Type::Response, { 64 << 10, shared.options.maximumResponseBytes })
        {
        }

        void open(const tcp::endpoint&, std::shared_ptr<Exchange>);
        void reuse(std::shared_ptr<Exchange>);
        void close();
        uint64_t peer() const { return peer_; }

    private:
        void begin();
        void write();
        void read();
        void onRead(std::error_code, size_t);
        void extendDeadline();
        void fail(bool timedOut);
        void onDeadline() override;

        ClientState& shared_;
        ConnectionPool& connectionPool_;
        tcp::socket socket_;
        HttpReader reader_;
        std::shared_ptr<Exchange> exchange_;
        uint64_t peer_ = 0; // id of the process that has accepted the connection; 0: unknown
        bool identifying_ = false; // the response to the identification of the exchange is pending
        bool reading_ = false; // an asynchronous wait for readability is pending
        bool closed_ = false;
    };

    // Connections to one address and the requests that wait for a free one.
    class ConnectionPool : public DeadlineHandler {
    public:
        ConnectionPool(ClientState& shared, std::string address)
            : shared_(shared)
            , address_(std::move(address))
        {
            if (auto endpoint = parseAddress(address_))
                endpoint_ = *endpoint;
        }

        const std::string& address() const { return address_; }
        void submit(std::shared_ptr<Exchange>);
        void onIdle(const std::shared_ptr<Connection>&);
        void onClosed(const std::shared_ptr<Connection>&);
        void closeIdle();
        void stop();

    private:
        std::vector<std::shared_ptr<Connection>>::iterator findIdle(const Exchange&);
        void dispatch();
        void onDeadline() override;

        ClientState& shared_;
        std::string address_;
        std::optional<tcp::endpoint> endpoint_;
        std::unordered_set<std::shared_ptr<Connection>> connections_;
        std::vector<std::shared_ptr<Connection>> idle_;
        std::deque<std::shared_ptr<Exchange>> waiting_;
    };

    void Connection::open(const tcp::endpoint& endpoint, std::shared_ptr<Exchange> exchange)
    {
        exchange_ = std::move(exchange);
        ++shared_.connectionsOpened;
        shared_.deadlines.set(*this, std::min(exchange_->deadline, BootClock::now() + shared_.options.connectTimeout));
        socket_.async_connect(endpoint, [self = shared_from_this()](std::error_code error) {
            if (self->closed_)
                return;
            if (error) {
                self->fail(false);
                return;
            }
            std::error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->begin();
        });
    }

    void Connection::reuse(std::shared_ptr<Exchange> exchange)
    {
        exchange_ = std::move(exchange);
        begin();
    }

    void Connection::begin()
    {
        identifying_ = exchange_->bound() && peer_ != exchange_->peer->id;
        if (identifying_)
            exchange_->identification = format(connectionPool_.address(), exchange_->peer->identify());
        write();
    }

    void Connection::write()
    {
        shared_.deadlines.set(*this, exchange_->deadline);
        exchange_->sent = !identifying_;
        asio::async_write(socket_, asio::buffer(identifying_ ? exchange_->identification : exchange_->bytes),
            [self = shared_from_this(), writing = exchange_](std::error_code error, size_t) {
                if (error && !self->closed_ && self->exchange_ == writing)
                    self->fail(false);
            });
        read();
    }

    void Connection::read()
    {
        if (reading_)
            return; // the wait that began while the connection was idle is still pending
        reading_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
            self->reading_ = false;
            if (self->closed_)
                return;
            size_t length = 0;
            if (!error) {
                self->socket_.non_blocking(true, error);
                length = self->socket_.read_some(asio::buffer(self->shared_.readBuffer), error);
            }
            self->onRead(error, length);
        });
    }

    void Connection::onRead(std::error_code error, size_t length)
    {
        if (error == asio::error::would_block || error == asio::error::try_again) {
            read();
            return;
        }
        if (error || !exchange_) {
            fail(false);
            return;
        }
        size_t used = reader_.feed({ shared_.readBuffer.data(), length });
        if (reader_.state() == HttpReader::State::Reading) {
            extendDeadline();
            read();
            return;
        }
        if (reader_.state() == HttpReader::State::Failed) {
            fail(false);
            return;
        }
        auto self = shared_from_this();
        bool reusable = reader_.message().keepAlive && used == length;
        HttpOutcome outcome { true, true, reader_.takeMessage() };
        if (exchange_->peer && (identifying_ || !exchange_->bound()))
            peer_ = exchange_->peer->idOf(outcome.response);
        if (identifying_) {
            identifying_ = false;
            if (reusable && peer_ == exchange_->peer->id) {
                write();
                return;
            }
            outcome = {};
        }
        auto exchange = std::move(exchange_);
        if (reusable) {
            shared_.deadlines.set(*this, BootClock::now() + shared_.options.idleTimeout);
            read(); // to notice when the server closes the idle connection
            connectionPool_.onIdle(self);
        } else {
            close();
            connectionPool_.onClosed(self);
        }
        exchange->finish(shared_.io, std::move(outcome));
    }

    // A large response may take longer than the timeout when many readers share the link of the server. To request it
    // again would start the transfer anew.
    void Connection::extendDeadline()
    {
        const auto& options = shared_.options;
        if (options.progressTimeout.count() == 0 || identifying_)
            return;
        auto latest = exchange_->deadline + options.maximumExtension;
        shared_.deadlines.set(
            *this, std::max(exchange_->deadline, std::min(latest, BootClock::now() + options.progressTimeout)));
    }

    void Connection::fail(bool timedOut)
    {
        auto self = shared_from_this();
        auto exchange = std::move(exchange_);
        close();
        connectionPool_.onClosed(self);
        if (timedOut)
            connectionPool_.closeIdle();
        if (exchange)
            exchange->finish(shared_.io, { false, exchange->sent, {} });
    }

    void Connection::onDeadline() { fail(exchange_ != nullptr); }

    void Connection::close()
    {
        closed_ = true;
        shared_.deadlines.remove(*this);
        std::error_code ignored;
        socket_.close(ignored);
    }

    void ConnectionPool::submit(std::shared_ptr<Exchange> exchange)
    {
        waiting_.push_back(std::move(exchange));
        dispatch();
    }

    // The most recently used idle connection that suits the request. A connection to another process than the required
    // one is reused only if no further one may be opened.
    std::vector<std::shared_ptr<Connection>>::iterator ConnectionPool::findIdle(const Exchange& exchange)
    {
        if (idle_.empty())
            return idle_.end();
        auto last = std::prev(idle_.end());
        if (!exchange.bound())
            return last;
        auto found = std::find_if(idle_.rbegin(), idle_.rend(),
            [&](const auto& connection) { return connection->peer() == exchange.peer->id; });
        if (found != idle_.rend())
            return std::prev(found.base());
        return connections_.size() < shared_.options.connectionsPerAddress ? idle_.end() : last;
    }

    void ConnectionPool::dispatch()
    {
        while (!waiting_.empty()) {
            auto exchange = waiting_.front();
            if (!endpoint_) {
                waiting_.pop_front();
                asio::post(shared_.io, [&io = shared_.io, exchange] { exchange->finish(io, {}); });
            } else if (auto idle = findIdle(*exchange); idle != idle_.end()) {
                waiting_.pop_front();
                auto connection = *idle;
                idle_.erase(idle);
                connection->reuse(std::move(exchange));
            } else if (connections_.size() < shared_.options.connectionsPerAddress) {
                waiting_.pop_front();
                auto connection = std::make_shared<Connection>(shared_, *this);
                connections_.insert(connection);
                connection->open(*endpoint_, std::move(exchange));
            } else {
                shared_.deadlines.set(*this, exchange->deadline);
                return;
            }
        }
    }

    void ConnectionPool::onDeadline()
    {
        std::vector<std::shared_ptr<Exchange>> timedOut;
        auto now = BootClock::now();
        for (auto item = waiting_.begin(); item != waiting_.end();)
            if ((*item)->deadline <= now) {
                timedOut.push_back(std::move(*item));
                item = waiting_.erase(item);
            } else
                ++item;
        dispatch();
        for (auto& exchange : timedOut)
            exchange->finish(shared_.io, {});
    }

    void ConnectionPool::onIdle(const std::shared_ptr<Connection>& connection)
    {
        idle_.push_back(connection);
        dispatch();
    }

    void ConnectionPool::onClosed(const std::shared_ptr<Connection>& connection)
    {
        connections_.erase(connection);
        idle_.erase(std::remove(idle_.begin(), idle_.end(), connection), idle_.end());
        dispatch();
    }

    void ConnectionPool::closeIdle()
    {
        auto idle = std::move(idle_);
        idle_.clear();
        for (auto& connection : idle) {
            connection->close();
            connections_.erase(connection);
        }
    }

    void ConnectionPool::stop()
    {
        shared_.deadlines.remove(*this);
        waiting_.clear();
        idle_.clear();
        for (const auto& connection : connections_)
            connection->close();
        connections_.clear();
    }

} // namespace

class HttpClient::Implementation {
public:
    Implementation(asio::io_context& io, DeadlineQueue& deadlines, HttpClientOptions options)
        : shared_ { io, deadlines, options }
    {
    }

    void send(const std::string& address, HttpRequest&& request, Milliseconds timeout, Handler&& handler,
        std::shared_ptr<const HttpPeer>&& peer)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->bytes = format(address, request);
        exchange->deadline = BootClock::now() + timeout;
        exchange->handler = std::move(handler);
        exchange->peer = std::move(peer);
        auto& connectionPool = connectionPools_[address];
        if (!connectionPool)
            connectionPool = std::make_unique<ConnectionPool>(shared_, address);
        connectionPool->submit(std::move(exchange));
    }

    uint64_t connectionsOpened() const { return shared_.connectionsOpened; }

    void stop()
    {
        for (auto& [address, connectionPool] : connectionPools_)
            connectionPool->stop();
    }

private:
    ClientState shared_;
    std::unordered_map<std::string, std::unique_ptr<ConnectionPool>> connectionPools_;
};

HttpClient::HttpClient(asio::io_context& io, DeadlineQueue& deadlines, HttpClientOptions options)
    : implementation_(std::make_unique<Implementation>(io, deadlines, options))
{
}

HttpClient::~HttpClient() { stop(); }

void HttpClient::send(const std::string& address, HttpRequest request, Milliseconds timeout, Handler handler,
    std::shared_ptr<const HttpPeer> peer)
{
    implementation_->send(address, std::move(request), timeout, std::move(handler), std::move(peer));
}

uint64_t HttpClient::connectionsOpened() const { return implementation_->connectionsOpened(); }

void HttpClient::stop() { implementation_->stop(); }

} // namespace shallotdrift
