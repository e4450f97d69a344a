#include "LoadConnection.h"

#include <asio/write.hpp>

namespace shallotdrift::standin {

static constexpr HttpLimits limits { 32 << 10, 16 << 20 };

LoadConnection::LoadConnection(asio::io_context& io, DeadlineQueue& deadlines)
    : deadlines_(deadlines)
    , socket_(io)
    , reader_(HttpReader::Type::Response, limits)
{
}

void LoadConnection::connectAndCall(
    const asio::ip::tcp::endpoint& endpoint, std::string request, Instant giveUp, Callback callback)
{
    request_ = std::move(request);
    callback_ = std::move(callback);
    deadlines_.set(*this, giveUp);
    socket_.async_connect(endpoint, [self = shared_from_this()](std::error_code error) {
        if (!self->callback_)
            return;
        if (!error)
            self->socket_.set_option(asio::ip::tcp::no_delay(true), error);
        if (error) {
            self->fail("cannot connect");
            return;
        }
        self->open_ = true;
        self->write();
        self->read();
    });
}

void LoadConnection::call(std::string request, Instant giveUp, Callback callback)
{
    request_ = std::move(request);
    callback_ = std::move(callback);
    deadlines_.set(*this, giveUp);
    write();
}

void LoadConnection::write()
{
    sent_ = true;
    asio::async_write(socket_, asio::buffer(request_), [self = shared_from_this()](std::error_code, size_t) {
        // A failed write is reported by the read side, which may still find an answer.
    });
}

void LoadConnection::read()
{
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](std::error_code error, size_t length) {
        if (!self->open_)
            return;
        if (error)
            self->fail(self->reader_.started() ? "connection closed within the answer" : "connection closed");
        else
            self->onBytes({ self->buffer_.data(), length });
        if (self->open_)
            self->read();
    });
}

void LoadConnection::onBytes(std::string_view bytes)
{
    size_t used = reader_.feed(bytes);
    if (!callback_) {
        fail("answer without a request");
    } else if (reader_.state() == HttpReader::State::Failed) {
        fail("malformed answer");
    } else if (reader_.state() == HttpReader::State::Complete) {
        CallOutcome outcome;
        outcome.sent = true;
        outcome.answer = reader_.take();
        if (used < bytes.size() || !outcome.answer->keepAlive)
            open_ = false;
        finish(std::move(outcome));
    }
}

void LoadConnection::finish(CallOutcome&& outcome)
{
    auto self = shared_from_this();
    if (!open_) {
        std::error_code ignored;
        socket_.close(ignored);
    }
    deadlines_.remove(*this);
    sent_ = false;
    auto callback = std::exchange(callback_, nullptr);
    if (callback)
        callback(std::move(outcome));
}

void LoadConnection::fail(const char* problem)
{
    open_ = false;
    finish({ sent_, std::nullopt, problem });
}

void LoadConnection::expired() { fail("no answer in time"); }

} // namespace shallotdrift::standin
