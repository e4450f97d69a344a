#include "HttpServer.h"

#include "../Base/Logging.h"
#include "Address.h"
#include "HttpHead.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <exception>
#include <optional>
#include <unordered_set>

namespace shallotdrift {

using asio::ip::tcp;

// Delay after a failed accept, for example when the process has no free file descriptors.
static constexpr Milliseconds acceptRetryDelay { 100 };
// Time for a client to read the last response before the server closes the socket. An earlier close could find unread
// input, which would reset the connection.
static constexpr Milliseconds lingerTimeout { 500 };
// Limit on buffered bytes of pipelined requests; above it, the server stops reading from the connection.
static constexpr size_t maximumPipelinedBytes = 16 << 10;
// What is read at once unless the rest of a body is known to be longer; the remainder belongs to later requests.
static constexpr size_t headReadBytes = 16 << 10;
// Memory of a connection that holds no request, with its socket.
static constexpr size_t connectionBytes = 2 << 10;
// Copies of an accepted body that a handler makes beside the body itself, for example to forward it.
static constexpr size_t bodyCopies = 2;
// After this time a refused request succeeds unless memory is still short.
static constexpr char retryAfterSeconds[] = "1";

// Response when a handler has failed with an exception: the request may have taken effect in part. 504 Gateway Timeout
// leaves the outcome open, unlike 500 or 503.
static constexpr unsigned unknownOutcomeStatus = 504;

namespace {

    class Session;

    struct ServerState {
        DeadlineQueue& deadlines;
        HttpServerOptions options;
        HttpServer::Handler handler;
        HttpServer::HeadHandler headHandler;
        std::shared_ptr<ConnectionBudget> budget;
        ConnectionBudget::Part part;
        bool draining = false;
        size_t openRequests = 0;
        std::unordered_set<std::shared_ptr<Session>> sessions {};
        std::array<char, 64 << 10> readBuffer {};
    };

    // Connection of one client.
    class Session : public std::enable_shared_from_this<Session>,
                    public DeadlineHandler,
                    private ConnectionBudget::Account {
    public:
        using Activity = ConnectionBudget::Activity;
        using ShedReason = ConnectionBudget::ShedReason;

        Session(tcp::socket socket, const std::string& clientAddress, ServerState& shared)
            : Account(shared.part, clientAddress, BootClock::now())
            , socket_(std::move(socket))
            , shared_(shared)
            , reader_(HttpReader::Type::Request, shared.options.limits)
        {
            reader_.stopAfterHead();
        }

        void start()
        {
            settleAccount();
            shared_.deadlines.set(*this, BootClock::now() + shared_.options.idleTimeout);
            read();
        }

        void closeIfIdle()
        {
            if (state_ == State::Reading && !reader_.messageStarted())
                close();
        }

        void close()
        {
            if (state_ == State::Closed)
                return;
            auto self = shared_from_this();
            if (state_ == State::Processing || state_ == State::Writing)
                --shared_.openRequests;
            state_ = State::Closed;
            reader_.takeMessage();
            Account::close();
            shared_.deadlines.remove(*this);
            std::error_code ignored;
            socket_.close(ignored);
            shared_.sessions.erase(self);
        }

    private:
        enum class State : uint8_t { Reading, Processing, Writing, Lingering, Closed };

        size_t heldBytes() const
        {
            return connectionBytes + reader_.heldBytes() + acceptedBytes_ + pipelined_.capacity() + output_.capacity();
        }
        bool charge(size_t additionalBytes) { return resize(heldBytes() + additionalBytes, BootClock::now()); }
        void settleAccount() { settle(heldBytes()); }

        // The number of bytes to read next; 0: none for now.
        size_t readLimit() const
        {
            switch (state_) {
            case State::Reading:
                return reader_.headersComplete() && reader_.remainingBytes() != SIZE_MAX
                    ? std::min(std::max<size_t>(reader_.remainingBytes(), 1), shared_.readBuffer.size())
                    : headReadBytes;
            case State::Processing:
            case State::Writing:
                if (!keepAlive_) // what follows is not kept
                    return shared_.readBuffer.size();
                return maximumPipelinedBytes - std::min(pipelined_.size(), maximumPipelinedBytes);
            case State::Lingering:
                return shared_.readBuffer.size();
            case State::Closed:
                break;
            }
            return 0;
        }

        void read()
        {
            if (reading_ || readLimit() == 0)
                return;
            reading_ = true;
            socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
                self->reading_ = false;
                if (!error && self->state_ != State::Closed)
                    self->onReadable();
            });
        }

        void onReadable()
        {
            std::error_code error;
            auto limit = readLimit();
            bool ahead = keepAlive_ && (state_ == State::Processing || state_ == State::Writing);
            // Requests in advance are left to the system's buffer while memory is short.
            if (limit == 0 || (ahead && !resizeIfFree(heldBytes() + 2 * (pipelined_.size() + limit))))
                return;
            size_t length = socket_.read_some(asio::buffer(shared_.readBuffer, limit), error);
            if (error == asio::error::would_block || error == asio::error::try_again) {
                read();
                return;
            }
            if (error) {
                close();
                return;
            }
            std::string_view bytes(shared_.readBuffer.data(), length);
            if (state_ == State::Reading)
                consume(bytes);
            else if (ahead)
                pipelined_.append(bytes);
            if (state_ != State::Closed)
                settleAccount();
            read();
        }

        void consume(std::string_view bytes)
        {
            auto now = BootClock::now();
            if (!reader_.messageStarted()) {
                requestStartedAt_ = now;
                setActivity(Activity::Reading, now);
                setReadDeadline(now);
            }
            onReceived(bytes.size(), now);
            while (!bytes.empty() && state_ == State::Reading) {
                if (!charge(reader_.growthOf(bytes.size()))) {
                    shared_.budget->countShed(ShedReason::Refused);
                    refuse();
                    return;
                }
                bytes.remove_prefix(reader_.feed(bytes));
                settleAccount();
                if (reader_.state() == HttpReader::State::Head)
                    onHead();
                else if (reader_.state() == HttpReader::State::Complete) {
                    keepAhead(bytes);
                    dispatch();
                } else if (reader_.state() == HttpReader::State::Failed)
                    rejectRequest();
            }
            if (state_ == State::Reading && headResponse_)
                finishEarly(std::move(*headResponse_));
        }

        void onHead()
        {
            const auto& head = reader_.message();
            if (shared_.headHandler) {
                try {
                    headResponse_ = shared_.headHandler(head);
                } catch (const std::exception& error) {
                    onUnexpectedError(head.method + ' ' + head.target, error);
                    headResponse_ = notRun();
                }
            }
            if (headResponse_ || (head.method != "POST" && head.method != "PUT"))
                reader_.dropBody();
            reader_.resume();
        }

        // Without memory for requests in advance, they are dropped together with the connection.
        void keepAhead(std::string_view bytes)
        {
            if (bytes.empty())
                return;
            if (resizeIfFree(heldBytes() + bytes.size()))
                pipelined_.assign(bytes);
            else
                dropsAhead_ = true;
        }

        // Sends a response before the request has been read whole; the rest is not kept.
        void finishEarly(HttpResponse&& response)
        {
            keepAlive_ = false;
            state_ = State::Processing;
            ++shared_.openRequests;
            reader_.takeMessage();
            write(std::move(response));
        }

        // The request has not run, and never will.
        void refuse() { finishEarly(notRun()); }

        static HttpResponse notRun() { return { 503, {}, "text/plain", { { "Retry-After", retryAfterSeconds } } }; }

        // The exception is thrown again from the event loop, so that it leaves this connection alone.
        void onUnexpectedError(const std::string& request, const std::exception& error)
        {
            logger("http")->error("request=\"{}\" event=unexpected_error reason=\"{}\"", request, error.what());
            asio::post(socket_.get_executor(), [thrown = std::current_exception()] { std::rethrow_exception(thrown); });
        }

        void shed(ShedReason reason) override
        {
            if (state_ == State::Reading && reader_.messageStarted() && reason != ShedReason::Connections)
                refuse();
            else
                close();
        }

        // While memory is short, a request has to make progress within the stall timeout.
        void setReadDeadline(Instant now)
        {
            auto end = requestStartedAt_ + shared_.options.readTimeout;
            shared_.deadlines.set(*this, std::min(end, now + shared_.budget->stallTimeout()));
        }

        void rejectRequest()
        {
            unsigned status = reader_.failure() == HttpReader::Failure::BodyTooLarge ? 413
                : reader_.failure() == HttpReader::Failure::HeaderTooLarge           ? 431
                                                                                     : 400;
            finishEarly({ status, {}, "text/plain" });
        }

        void dispatch()
        {
            state_ = State::Processing;
            ++shared_.openRequests;
            ++requestNumber_;
            shared_.deadlines.set(*this, Instant::max());
            keepAlive_ = reader_.message().keepAlive && !dropsAhead_;
            if (headResponse_) {
                reader_.takeMessage();
                auto response = std::move(*headResponse_);
                headResponse_.reset();
                write(std::move(response));
                return;
            }
            acceptedBytes_ = reader_.heldBytes() + bodyCopies * reader_.message().body.size();
            if (!charge(0)) {
                keepAlive_ = false;
                reader_.takeMessage();
                shared_.budget->countShed(ShedReason::Refused);
                write(notRun());
                return;
            }
            setActivity(Activity::Accepted, BootClock::now());
            HttpServer::ResponseCallback respond
                = [weak = weak_from_this(), number = requestNumber_](HttpResponse&& response) {
                      auto self = weak.lock();
                      if (self && self->state_ == State::Processing && self->requestNumber_ == number)
                          self->write(std::move(response));
                  };
            auto message = reader_.takeMessage();
            settleAccount();
            auto line = message.method + ' ' + message.target;
            try {
                shared_.handler(std::move(message), respond);
            } catch (const std::exception& error) {
                respond({ unknownOutcomeStatus });
                onUnexpectedError(line, error);
            }
        }

        void write(HttpResponse&& response)
        {
            state_ = State::Writing;
            keepAlive_ = keepAlive_ && !shared_.draining;
            auto head = HttpHead::response(response.status);
            if (!response.body.empty())
                head.add("Content-Type", response.contentType);
            for (const auto& header : response.headers)
                head.add(header.name, header.value);
            if (!keepAlive_)
                head.add("Connection", std::string_view("close"));
            head.add("Content-Length", response.body.size());
            acceptedBytes_ = 0;
            output_ = head.finish() + response.body;
            setActivity(Activity::Writing, BootClock::now());
            settleAccount();
            shared_.deadlines.set(*this, BootClock::now() + shared_.options.idleTimeout);
            asio::async_write(
                socket_, asio::buffer(output_), [self = shared_from_this()](std::error_code error, size_t) {
                    if (self->state_ != State::Writing)
                        return;
                    if (error)
                        self->close();
                    else
                        self->onWritten();
                });
        }

        void onWritten()
        {
            --shared_.openRequests;
            output_ = {};
            headResponse_.reset();
            setActivity(Activity::Idle, BootClock::now());
            if (!keepAlive_) {
                state_ = State::Lingering;
                pipelined_ = {};
                settleAccount();
                std::error_code ignored;
                socket_.shutdown(tcp::socket::shutdown_send, ignored);
                shared_.deadlines.set(*this, BootClock::now() + lingerTimeout);
                read();
                return;
            }
            state_ = State::Reading;
            shared_.deadlines.set(*this, BootClock::now() + shared_.options.idleTimeout);
            if (!pipelined_.empty()) {
                auto bytes = std::move(pipelined_);
                pipelined_ = {};
                consume(bytes);
            }
            if (state_ != State::Closed)
                settleAccount();
            read();
        }

        void onDeadline() override
        {
            if (state_ == State::Reading && reader_.messageStarted()) {
                auto now = BootClock::now();
                if (now - requestStartedAt_ >= shared_.options.readTimeout)
                    finishEarly({ 408, {}, "text/plain" });
                else if (shared_.budget->pressed() && now - progressAt() >= shared_.budget->stallTimeout()) {
                    shared_.budget->countShed(ShedReason::Stalled);
                    refuse();
                } else
                    setReadDeadline(now);
            } else
                close();
        }

        tcp::socket socket_;
        ServerState& shared_;
        HttpReader reader_;
        State state_ = State::Reading;
        bool reading_ = false;
        bool keepAlive_ = true;
        bool dropsAhead_ = false;
        Instant requestStartedAt_ {};
        std::optional<HttpResponse> headResponse_; // of the current request, whose body is dropped
        size_t acceptedBytes_ = 0; // held by the handler of the current request
        uint64_t requestNumber_ = 0; // of the current request; a response to an earlier request is dropped
        std::string pipelined_; // bytes received after the current request
        std::string output_;
    };

} // namespace

class HttpServer::Implementation {
public:
    Implementation(asio::io_context& io, DeadlineQueue& deadlines, HttpServerOptions&& options, Handler&& handler,
        HeadHandler&& headHandler)
        : acceptor_(io)
        , acceptTimer_(io)
        , budget_(options.budget ? options.budget : std::make_shared<ConnectionBudget>())
        , shared_ { deadlines, options, std::move(handler), std::move(headHandler), budget_,
            { *budget_, { options.name, options.reservedBytes, options.maximumConnections } } }
    {
    }

    ~Implementation()
    {
        auto sessions = shared_.sessions;
        for (const auto& session : sessions)
            session->close();
    }

    Result<void> start()
    {
        BOOST_LEAF_AUTO(endpoint, parseAddress(shared_.options.listenAddress));
        BOOST_LEAF_CHECK(startListening(acceptor_, endpoint));
        accept();
        return {};
    }

    void closeListener()
    {
        shared_.draining = true;
        std::error_code ignored;
        acceptor_.close(ignored);
        auto sessions = shared_.sessions;
        for (const auto& session : sessions)
            session->closeIfIdle();
    }

    ServerState& shared() { return shared_; }

private:
    void accept()
    {
        acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
            // After an abort the server may have been destroyed.
            if (error == asio::error::operation_aborted || !acceptor_.is_open())
                return;
            if (error) {
                logger("http")->warn("cannot accept a connection: {}", error.message());
                acceptTimer_.expires_after(acceptRetryDelay);
                acceptTimer_.async_wait([this](std::error_code timerError) {
                    if (!timerError)
                        accept();
                });
                return;
            }
            if (shared_.part.admit(BootClock::now())) {
                socket.set_option(tcp::no_delay(true), error);
                socket.non_blocking(true, error);
                auto client = socket.remote_endpoint(error).address().to_string();
                auto session = std::make_shared<Session>(std::move(socket), client, shared_);
                shared_.sessions.insert(session);
                session->start();
            }
            accept();
        });
    }

    tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    std::shared_ptr<ConnectionBudget> budget_;
    ServerState shared_;
};

HttpServer::HttpServer(
    asio::io_context& io, DeadlineQueue& deadlines, HttpServerOptions options, Handler handler, HeadHandler headHandler)
    : implementation_(
        std::make_unique<Implementation>(io, deadlines, std::move(options), std::move(handler), std::move(headHandler)))
{
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::start() { return implementation_->start(); }

void HttpServer::setLimits(HttpLimits limits, Milliseconds readTimeout, Milliseconds idleTimeout)
{
    auto& options = implementation_->shared().options;
    options.limits = limits;
    options.readTimeout = readTimeout;
    options.idleTimeout = idleTimeout;
}

void HttpServer::beginDrain() { implementation_->shared().draining = true; }
void HttpServer::closeListener() { implementation_->closeListener(); }
size_t HttpServer::openRequests() const { return implementation_->shared().openRequests; }

} // namespace shallotdrift
