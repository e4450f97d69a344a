#include "TargetSession.h"

#include <asio/write.hpp>

namespace shallotdrift::standin {

// Larger than the callers' body limit of 1 MB, so that a target never is the stricter side.
static constexpr HttpLimits limits { 32 << 10, 8 << 20 };

TargetSession::TargetSession(asio::ip::tcp::socket socket, RequestHandler requestHandler, ClosedHandler closedHandler)
    : socket_(std::move(socket))
    , requestHandler_(std::move(requestHandler))
    , closedHandler_(std::move(closedHandler))
    , reader_(HttpReader::Type::Request, limits)
{
}

void TargetSession::start()
{
    std::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    read();
}

// Reads on while a request is handled, so that a closed connection is noticed.
void TargetSession::read()
{
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](std::error_code error, size_t length) {
        if (self->closed_)
            return;
        if (error) {
            self->close();
            return;
        }
        self->pending_.append(self->buffer_.data(), length);
        self->consume();
        if (!self->closed_)
            self->read();
    });
}

void TargetSession::consume()
{
    if (handling_ || closed_ || pending_.empty())
        return;
    pending_.erase(0, reader_.feed(pending_));
    if (reader_.state() == HttpReader::State::Failed) {
        close();
    } else if (reader_.state() == HttpReader::State::Complete) {
        handling_ = true;
        requestHandler_(shared_from_this(), reader_.take());
    }
}

void TargetSession::send(std::string answer, bool lastOfRequest)
{
    if (closed_)
        return;
    queue_.push_back(std::move(answer));
    if (lastOfRequest)
        handling_ = false;
    write();
}

void TargetSession::write()
{
    if (writing_ || closed_)
        return;
    if (queue_.empty()) {
        if (closing_ && !handling_)
            close();
        else
            consume();
        return;
    }
    writing_ = true;
    asio::async_write(
        socket_, asio::buffer(queue_.front()), [self = shared_from_this()](std::error_code error, size_t) {
            self->writing_ = false;
            if (error) {
                self->close();
                return;
            }
            if (!self->queue_.empty())
                self->queue_.pop_front();
            self->write();
        });
}

void TargetSession::closeWhenWritten()
{
    closing_ = true;
    if (idle())
        close();
}

void TargetSession::cutOff()
{
    handling_ = false;
    pending_.clear();
    closeWhenWritten();
}

void TargetSession::close()
{
    if (closed_)
        return;
    closed_ = true;
    std::error_code ignored;
    socket_.close(ignored);
    closedHandler_(shared_from_this());
}

} // namespace shallotdrift::standin
