#include "TargetConnection.h"

#include "AnswerCheck.h"
#include "TargetPool.h"

#include <asio/write.hpp>

namespace shallotdrift::internal {

using asio::ip::tcp;

TargetConnection::TargetConnection(TargetContext& context, TargetPool& pool)
    : context_(context)
    , pool_(pool)
    , socket_(context.io)
    , reader_(HttpReader::Type::Response, { context.options.maximumHeaderBytes, context.options.maximumAnswerBytes })
{
}

void TargetConnection::open(const tcp::endpoint& endpoint, std::shared_ptr<Attempt> attempt)
{
    endpoint_ = endpoint;
    attempt_ = std::move(attempt);
    attempt_->hold(shared_from_this());
    ++context_.connectionsOpened;
    context_.deadlines.set(*this, BootClock::now() + context_.options.connectTimeout);
    socket_.async_connect(endpoint, [self = shared_from_this()](std::error_code error) {
        if (self->state_ == State::Connecting)
            self->onConnected(error);
    });
}

void TargetConnection::onConnected(std::error_code error)
{
    if (!error)
        socket_.set_option(tcp::no_delay(true), error);
    if (!error)
        socket_.non_blocking(true, error);
    if (error) {
        end(ResultCode::TargetUnreachable);
        return;
    }
    write();
}

bool TargetConnection::run(const std::shared_ptr<Attempt>& attempt)
{
    if (state_ != State::Idle || !isQuiet())
        return false;
    attempt_ = attempt;
    attempt_->hold(shared_from_this());
    write();
    return true;
}

// An idle connection must have nothing to read: neither an end nor bytes that belong to an earlier attempt.
bool TargetConnection::isQuiet()
{
    char byte = 0;
    std::error_code error;
    socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

void TargetConnection::write()
{
    context_.deadlines.set(*this, Instant::max()); // from here on the attempt's deadline counts
    state_ = State::Busy;
    const auto& data = attempt_->data();
    if (!context_.sendCheck(data)) {
        auto attempt = std::move(attempt_);
        becomeIdle();
        attempt->finish(ResultCode::NoInstance);
        return;
    }
    head_ = formatAttemptHead(data);
    std::array<asio::const_buffer, 2> buffers { asio::buffer(head_), asio::buffer(data.body) };
    // The first write is made here, not by the event loop, so that nothing runs between the check and the write.
    std::error_code error;
    size_t sent = socket_.write_some(buffers, error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        end(ResultCode::TargetUnreachable); // no byte has left
        return;
    }
    attempt_->markSent();
    waitReadable();
    size_t sentOfBody = sent > head_.size() ? sent - head_.size() : 0;
    if (sent == head_.size() + data.body.size())
        return;
    writing_ = true;
    buffers = { asio::buffer(head_) + sent, asio::buffer(data.body) + sentOfBody };
    // The attempt is held by the handler: its body must outlive the write.
    asio::async_write(socket_, buffers, [self = shared_from_this(), held = attempt_](std::error_code failed, size_t) {
        self->writing_ = false;
        if (failed && self->state_ == State::Busy)
            self->end(ResultCode::ConnectionLost);
    });
}

void TargetConnection::waitReadable()
{
    if (waiting_ || state_ == State::Closed)
        return;
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
        self->waiting_ = false;
        if (!error && self->state_ != State::Closed)
            self->onReadable();
    });
}

void TargetConnection::onReadable()
{
    if (state_ == State::Idle) {
        if (isQuiet())
            waitReadable();
        else
            end(ResultCode::ConnectionLost);
        return;
    }
    std::error_code error;
    size_t length = socket_.read_some(asio::buffer(context_.scratch), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        waitReadable();
        return;
    }
    if (error) {
        end(ResultCode::ConnectionLost);
        return;
    }
    size_t used = reader_.feed({ context_.scratch.data(), length });
    // An answer without a stated length could end anywhere.
    bool unbounded = reader_.headersComplete() && !reader_.message().hasContentLength;
    if (unbounded || reader_.state() == HttpReader::State::Failed)
        end(ResultCode::AnswerInvalid);
    else if (reader_.state() == HttpReader::State::Reading)
        waitReadable();
    else
        onAnswer(used < length);
}

void TargetConnection::onAnswer(bool moreBytes)
{
    bool reusable = reader_.message().keepAlive && !moreBytes && !writing_;
    auto result = checkAnswer(attempt_->data(), reader_.take());
    if (result.code == ResultCode::AnswerInvalid) {
        end(ResultCode::AnswerInvalid);
        return;
    }
    if (moreBytes)
        ++context_.answersRejected;
    auto attempt = std::move(attempt_);
    pool_.answered();
    if (reusable)
        becomeIdle();
    else
        end(ResultCode::Ok);
    attempt->finish(std::move(result));
}

void TargetConnection::becomeIdle()
{
    state_ = State::Idle;
    attempt_.reset();
    head_ = {};
    context_.deadlines.set(*this, BootClock::now() + context_.options.idleTimeout);
    waitReadable();
    pool_.connectionIdle(shared_from_this());
}

// Closes the connection and gives an attempt that it still carries the code.
void TargetConnection::end(ResultCode code)
{
    auto self = shared_from_this();
    auto attempt = std::move(attempt_);
    bool silent = attempt && !reader_.started() && code != ResultCode::AnswerInvalid;
    if (code == ResultCode::AnswerInvalid)
        ++context_.answersRejected;
    close();
    pool_.connectionClosed(self);
    if (!attempt)
        return;
    attempt->finish(code);
    if (silent)
        pool_.attemptSilent();
    else
        pool_.answered();
}

void TargetConnection::close()
{
    state_ = State::Closed;
    attempt_.reset();
    context_.deadlines.remove(*this);
    std::error_code ignored;
    socket_.close(ignored);
}

void TargetConnection::expired()
{
    if (state_ == State::Connecting)
        end(ResultCode::TargetUnreachable);
    else if (state_ == State::Idle)
        end(ResultCode::Ok);
}

} // namespace shallotdrift::internal
