#include "CallerConnection.h"

#include "ReplyHead.h"

#include <asio/write.hpp>
#include <fmt/format.h>

namespace shallotdrift::internal {

// Time for the caller to read a last answer. Closing at once with unread bytes in the socket would send a reset, which
// can destroy the answer on its way.
static constexpr Milliseconds lingerTime { 1000 };
// Bytes of pipelined requests that are read ahead; more stay in the socket until the current request is answered.
static constexpr size_t maximumReadAhead = 64 << 10;

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, CallerContext& context)
    : socket_(std::move(socket))
    , context_(context)
    , reader_(HttpReader::Type::Request, { context.options.maximumHeaderBytes, context.options.maximumBodyBytes })
{
}

void CallerConnection::start()
{
    setDeadline(context_.options.idleTimeout);
    waitReadable();
}

void CallerConnection::setDeadline(Duration time) { context_.deadlines.set(*this, BootClock::now() + time); }

void CallerConnection::setBusy(bool busy)
{
    if (busy == busy_)
        return;
    busy_ = busy;
    if (busy)
        ++context_.openRequests;
    else
        --context_.openRequests;
}

void CallerConnection::setBuffered(size_t bytes)
{
    context_.bufferedBytes += bytes - buffered_; // unsigned arithmetic wraps to the right sum
    buffered_ = bytes;
}

void CallerConnection::waitReadable()
{
    if (waiting_ || state_ == State::Closed || pending_.size() >= maximumReadAhead)
        return;
    waiting_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
        self->waiting_ = false;
        if (!error && self->state_ != State::Closed)
            self->onReadable();
    });
}

void CallerConnection::onReadable()
{
    std::error_code error;
    size_t length = socket_.read_some(asio::buffer(context_.scratch), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        waitReadable();
        return;
    }
    if (error) {
        onPeerClosed();
        return;
    }
    std::string_view bytes(context_.scratch.data(), length);
    if (state_ == State::Reading)
        consume(bytes);
    else if (state_ != State::Lingering)
        pending_.append(bytes);
    waitReadable();
}

// A caller that closes its sending side is taken as gone: waiting for a reader that may not exist would hold the
// place of its request.
void CallerConnection::onPeerClosed()
{
    if (state_ == State::Reading && reader_.started()) {
        refuse({ 400, ResultCode::BadRequest, "the request ended early" });
        return;
    }
    bool cancelled = state_ == State::Processing;
    uint64_t id = requestId_;
    close();
    if (cancelled)
        context_.cancelHandler(id);
}

void CallerConnection::consume(std::string_view bytes)
{
    bool wasStarted = reader_.started();
    size_t used = reader_.feed(bytes);
    if (!wasStarted && reader_.started()) {
        setBusy(true);
        setDeadline(context_.options.readTimeout);
    }
    if (reader_.state() == HttpReader::State::Complete)
        pending_.assign(bytes.substr(used));
    continueAfterRead();
}

void CallerConnection::continueAfterRead()
{
    switch (reader_.state()) {
    case HttpReader::State::Reading:
        setBuffered(reader_.message().body.size());
        // The limits of one connection do not bound what many slow senders hold together.
        if (context_.bufferedBytes > context_.options.maximumBufferedBytes)
            refuse({ 503, ResultCode::Overloaded, "too many bytes are being received" });
        else
            sendContinueIfExpected();
        break;
    case HttpReader::State::Complete:
        dispatch();
        break;
    case HttpReader::State::Failed:
        refuseUnreadable();
        break;
    }
}

void CallerConnection::refuseUnreadable()
{
    callerRequestId_ = requestIdForAnswer(reader_.message());
    switch (reader_.failure()) {
    case HttpReader::Failure::HeaderTooLarge:
        refuse({ 431, ResultCode::TooLarge, reader_.failureText() });
        break;
    case HttpReader::Failure::BodyTooLarge:
        refuse({ 413, ResultCode::TooLarge, reader_.failureText() });
        break;
    default:
        refuse({ 400, ResultCode::BadRequest, reader_.failureText() });
    }
}

void CallerConnection::sendContinueIfExpected()
{
    if (continueSent_ || !reader_.headersComplete())
        return;
    const auto* expectation = reader_.message().find("Expect");
    if (!expectation || !equalIgnoringCase(*expectation, "100-continue"))
        return;
    continueSent_ = true;
    // All earlier answers on the connection are written, so these few bytes always fit into the socket.
    std::error_code ignored;
    socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
}

static bool mayBeRetry(const CallerRequest& request)
{
    bool startsWork = request.type == CallerRequest::Type::Work || request.type == CallerRequest::Type::TaskSubmit;
    return startsWork && !request.key.empty() && request.attemptNumber != 1;
}

// A refusal of this request alone does not tell that the key's work did not run: an earlier request with the key may
// have run it through another entry whose record this one has not read. Refusals of the request's form would have met
// the earlier request too.
static bool saysOfTheKey(const CallerReply& reply)
{
    switch (reply.code) {
    case ResultCode::BadRequest:
    case ResultCode::UnknownKind:
    case ResultCode::KeyRequired:
    case ResultCode::KeyMismatch:
    case ResultCode::TooLarge:
        return true;
    default:
        return reply.keyNotRun || executionOf(reply.code) != Execution::NotRun;
    }
}

void CallerConnection::dispatch()
{
    auto message = reader_.take();
    setBuffered(0);
    continueSent_ = false;
    keepAlive_ = message.keepAlive;
    callerRequestId_ = requestIdForAnswer(message);
    auto routed = routeRequest(std::move(message));
    if (const auto* refusal = std::get_if<RequestRefusal>(&routed)) {
        // The message was read whole, so the connection is in step and stays open.
        write({ refusal->code, {}, {}, {}, refusal->reason, false }, refusal->status);
        return;
    }
    auto& request = std::get<CallerRequest>(routed);
    requestId_ = request.id = ++context_.lastId;
    retried_ = mayBeRetry(request);
    request.arrived = BootClock::now();
    state_ = State::Processing;
    context_.deadlines.set(*this, Instant::max()); // the entry keeps the deadline of the request
    context_.byRequest.emplace(requestId_, this);
    if (!context_.requestHandler(std::move(request)))
        reply({ ResultCode::Overloaded, {}, {}, {}, {}, false });
}

void CallerConnection::refuse(const RequestRefusal& refusal)
{
    keepAlive_ = false;
    if (callerRequestId_.empty())
        callerRequestId_ = requestIdForAnswer(reader_.message());
    write({ refusal.code, {}, {}, {}, refusal.reason, false }, refusal.status);
}

void CallerConnection::reply(CallerReply&& reply)
{
    context_.byRequest.erase(requestId_);
    if (state_ != State::Processing)
        return;
    if (retried_ && !saysOfTheKey(reply)) {
        reply.reason = fmt::format(
            "{}: {}; an earlier request with the key may have run", infoOf(reply.code).name, reply.reason);
        reply.code = ResultCode::OutcomeUnknown;
    }
    write(std::move(reply), 0);
}

void CallerConnection::write(CallerReply&& reply, unsigned status)
{
    state_ = State::Writing;
    setBusy(true);
    keepAlive_ = keepAlive_ && !context_.draining;
    head_ = formatReplyHead(reply, callerRequestId_, keepAlive_, status);
    body_ = std::move(reply.body);
    setBuffered(body_.size());
    // A caller that reads nothing must not hold the answer's memory for ever.
    setDeadline(context_.options.idleTimeout);
    std::array<asio::const_buffer, 2> buffers { asio::buffer(head_), asio::buffer(body_) };
    asio::async_write(socket_, buffers, [self = shared_from_this()](std::error_code error, size_t) {
        if (self->state_ != State::Writing)
            return;
        if (error)
            self->close();
        else
            self->onWritten();
    });
}

void CallerConnection::onWritten()
{
    setBusy(false);
    setBuffered(0);
    head_ = {};
    body_ = {};
    callerRequestId_.clear();
    if (!keepAlive_) {
        linger();
        return;
    }
    state_ = State::Reading;
    setDeadline(context_.options.idleTimeout);
    if (!pending_.empty()) {
        auto bytes = std::move(pending_);
        pending_ = {};
        consume(bytes);
    }
    waitReadable();
}

void CallerConnection::linger()
{
    state_ = State::Lingering;
    pending_ = {};
    std::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    setDeadline(lingerTime);
    waitReadable();
}

void CallerConnection::stopIfIdle()
{
    if (state_ == State::Reading && !reader_.started())
        refuse({ 503, ResultCode::Stopping, {} });
}

void CallerConnection::expired()
{
    if (state_ != State::Reading) {
        close();
        return;
    }
    auto text = reader_.started()
        ? fmt::format("the request was not complete after {} ms", context_.options.readTimeout.count())
        : fmt::format("no request arrived for {} ms", context_.options.idleTimeout.count());
    refuse({ 408, ResultCode::BadRequest, std::move(text) });
}

void CallerConnection::close()
{
    if (state_ == State::Closed)
        return;
    auto self = shared_from_this();
    state_ = State::Closed;
    setBusy(false);
    setBuffered(0);
    context_.byRequest.erase(requestId_);
    context_.deadlines.remove(*this);
    std::error_code ignored;
    socket_.close(ignored);
    context_.connections.erase(self);
    context_.connectionClosed();
}

} // namespace shallotdrift::internal
