#include "CallerServer.h"

#include "../Base/Logging.h"
#include "../Http/Address.h"
#include "CallerConnection.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <thread>

namespace shallotdrift {

using asio::ip::tcp;

// Connections beyond the maximum that are held while they read their refusal. Further ones wait in the listen queue.
static constexpr size_t maximumRefusedConnections = 64;
// Pause before accepting again after a failure such as a lack of file descriptors.
static constexpr Milliseconds acceptRetryDelay { 100 };

class CallerServer::Implementation {
public:
    Implementation(CallerServerOptions options, RequestHandler requestHandler, CancelHandler cancelHandler)
        : options_(std::move(options))
        , requestHandler_(std::move(requestHandler))
        , cancelHandler_(std::move(cancelHandler))
        , acceptor_(io_)
        , acceptTimer_(io_)
        , deadlines_(io_)
        , context_ { options_, requestHandler_, cancelHandler_, deadlines_, [this] { accept(); } }
    {
    }

    Result<void> start()
    {
        BOOST_LEAF_AUTO(endpoint, parseAddress(options_.listenAddress));
        BOOST_LEAF_CHECK(listen(acceptor_, endpoint));
        port_ = acceptor_.local_endpoint().port();
        asio::post(io_, [this] { accept(); });
        thread_ = std::thread([this] { io_.run(); });
        logger("callers")->info("listening on {}:{}", endpoint.address().to_string(), port_);
        return {};
    }

    uint16_t port() const { return port_; }

    void reply(uint64_t id, CallerReply&& reply)
    {
        asio::post(io_, [this, id, reply = std::move(reply)]() mutable {
            auto found = context_.byRequest.find(id);
            if (found != context_.byRequest.end())
                found->second->reply(std::move(reply));
        });
    }

    void beginDrain()
    {
        asio::post(io_, [this] { context_.draining = true; });
    }

    void closeListener()
    {
        asio::post(io_, [this] {
            context_.draining = true;
            std::error_code ignored;
            acceptor_.close(ignored);
            auto connections = context_.connections;
            for (const auto& connection : connections)
                connection->stopIfIdle();
        });
    }

    size_t openRequests() const { return context_.openRequests; }

    void stop()
    {
        if (!thread_.joinable())
            return;
        asio::post(io_, [this] { closeAll(); });
        work_.reset();
        thread_.join();
    }

private:
    void closeAll()
    {
        std::error_code ignored;
        acceptor_.close(ignored);
        auto connections = std::move(context_.connections);
        context_.connections.clear();
        for (const auto& connection : connections)
            connection->close();
        io_.stop();
    }

    void accept()
    {
        if (accepting_ || !acceptor_.is_open()
            || context_.connections.size() >= options_.maximumConnections + maximumRefusedConnections)
            return;
        accepting_ = true;
        acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
            accepting_ = false;
            if (!acceptor_.is_open())
                return;
            if (error) {
                retryAcceptLater(error);
                return;
            }
            add(std::move(socket));
            accept();
        });
    }

    void retryAcceptLater(std::error_code error)
    {
        logger("callers")->warn("cannot accept a connection: {}", error.message());
        acceptTimer_.expires_after(acceptRetryDelay);
        acceptTimer_.async_wait([this](std::error_code timerError) {
            if (!timerError)
                accept();
        });
    }

    void add(tcp::socket socket)
    {
        std::error_code error;
        socket.set_option(tcp::no_delay(true), error);
        socket.non_blocking(true, error);
        auto connection = std::make_shared<internal::CallerConnection>(std::move(socket), context_);
        context_.connections.insert(connection);
        if (context_.connections.size() > options_.maximumConnections)
            connection->refuse({ 503, ResultCode::Overloaded, "too many connections" });
        else
            connection->start();
    }

    CallerServerOptions options_;
    RequestHandler requestHandler_;
    CancelHandler cancelHandler_;
    asio::io_context io_ { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(io_);
    tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    DeadlineQueue deadlines_;
    internal::CallerContext context_;
    std::atomic<uint16_t> port_ { 0 };
    bool accepting_ = false;
    std::thread thread_;
};

CallerServer::CallerServer(CallerServerOptions options, RequestHandler requestHandler, CancelHandler cancelHandler)
    : implementation_(
        std::make_unique<Implementation>(std::move(options), std::move(requestHandler), std::move(cancelHandler)))
{
}

CallerServer::~CallerServer() { stop(); }

Result<void> CallerServer::start() { return implementation_->start(); }
uint16_t CallerServer::port() const { return implementation_->port(); }
void CallerServer::reply(uint64_t id, CallerReply reply) { implementation_->reply(id, std::move(reply)); }
void CallerServer::beginDrain() { implementation_->beginDrain(); }
void CallerServer::closeListener() { implementation_->closeListener(); }
size_t CallerServer::openRequests() const { return implementation_->openRequests(); }
void CallerServer::stop() { implementation_->stop(); }

} // namespace shallotdrift
