#include "Sockets.h"

#include <algorithm>
#include <asio/write.hpp>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotdrift::testing {

static constexpr Milliseconds patience { 5000 };

static bool readable(int descriptor, Milliseconds time)
{
    pollfd entry { descriptor, POLLIN, 0 };
    return poll(&entry, 1, static_cast<int>(time.count())) > 0;
}

RawConnection::RawConnection(uint16_t port)
{
    socket_.connect({ asio::ip::address_v4::loopback(), port });
    socket_.set_option(asio::ip::tcp::no_delay(true));
}

void RawConnection::send(std::string_view bytes)
{
    std::error_code ignored; // the peer may close while a refused request is still being sent
    asio::write(socket_, asio::buffer(bytes), ignored);
}

void RawConnection::sendSlowly(std::string_view bytes, Milliseconds pause)
{
    for (char c : bytes) {
        std::error_code error;
        asio::write(socket_, asio::buffer(&c, 1), error);
        if (error || readable(socket_.native_handle(), pause))
            return;
    }
}

size_t RawConnection::read(char* buffer, size_t length)
{
    if (!readable(socket_.native_handle(), patience))
        throw std::runtime_error("no answer in time");
    std::error_code error;
    size_t received = socket_.read_some(asio::buffer(buffer, length), error);
    return error ? 0 : received;
}

HttpMessage RawConnection::receive()
{
    std::array<char, 16 << 10> buffer {};
    for (;;) {
        pending_.erase(0, reader_.feed(pending_));
        if (reader_.state() == HttpReader::State::Complete)
            return reader_.take();
        if (reader_.state() == HttpReader::State::Failed)
            throw std::runtime_error("malformed answer");
        size_t length = read(buffer.data(), buffer.size());
        if (length == 0)
            throw std::runtime_error("connection closed before the answer was complete");
        pending_.append(buffer.data(), length);
    }
}

bool RawConnection::closedByPeer()
{
    char byte = 0;
    return pending_.empty() && read(&byte, 1) == 0;
}

std::string targetAnswer(
    const HttpMessage& request, const std::string& body, unsigned status, const std::string& execution)
{
    return HttpHead::response(status)
               .add("Request-Id", request.single("Request-Id"))
               .add("Attempt-Id", request.single("Attempt-Id"))
               .add("Execution", execution)
               .add("Body-Digest", digestToHex(digestOf(body)))
               .add("Content-Length", body.size())
               .finish()
        + body;
}

FakeTarget::FakeTarget(Script script)
    : script_(std::move(script))
{
    asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
    acceptor_.open(endpoint.protocol());
    acceptor_.bind(endpoint);
    acceptor_.listen();
    acceptThread_ = std::thread([this] {
        for (;;) {
            int descriptor = accept(acceptor_.native_handle(), nullptr, nullptr);
            if (descriptor < 0)
                return;
            ++connections_;
            std::lock_guard lock(mutex_);
            open_.push_back(descriptor);
            threads_.emplace_back([this, descriptor] { serve(descriptor); });
        }
    });
}

FakeTarget::~FakeTarget()
{
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    acceptThread_.join();
    for (int descriptor : open_)
        shutdown(descriptor, SHUT_RDWR);
    for (auto& thread : threads_)
        thread.join();
    for (int descriptor : open_)
        ::close(descriptor);
}

std::string FakeTarget::address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

void FakeTarget::serve(int descriptor)
{
    HttpReader reader(HttpReader::Type::Request, { 64 << 10, 16 << 20 });
    std::string pending;
    std::array<char, 16 << 10> buffer {};
    for (;;) {
        pending.erase(0, reader.feed(pending));
        if (reader.state() == HttpReader::State::Complete) {
            auto step = script_(reader.take(), requests_++);
            size_t sent = 0;
            while (sent < step.answer.size()) {
                auto written = ::send(descriptor, step.answer.data() + sent, step.answer.size() - sent, MSG_NOSIGNAL);
                if (written <= 0)
                    return;
                sent += static_cast<size_t>(written);
            }
            if (step.closeAfterwards) {
                shutdown(descriptor, SHUT_RDWR);
                return;
            }
            continue;
        }
        auto length = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (length <= 0 || reader.state() == HttpReader::State::Failed)
            return;
        pending.append(buffer.data(), static_cast<size_t>(length));
    }
}

bool eventually(const std::function<bool()>& condition)
{
    auto end = BootClock::now() + patience;
    while (!condition()) {
        if (BootClock::now() > end)
            return false;
        std::this_thread::sleep_for(Milliseconds(1));
    }
    return true;
}

} // namespace shallotdrift::testing
