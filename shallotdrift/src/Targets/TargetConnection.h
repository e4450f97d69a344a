#pragma once

#include "../Http/HttpReader.h"
#include "Attempt.h"

#include <asio/ip/tcp.hpp>

namespace shallotdrift::internal {

// One connection to a target. It carries one attempt at a time and is closed when an attempt on it ends without a
// whole and fitting answer, so no late answer can reach another attempt.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>, private Expiring {
public:
    TargetConnection(TargetContext&, TargetPool&);

    // Connects, then runs the attempt.
    void open(const asio::ip::tcp::endpoint&, std::shared_ptr<Attempt>);
    // Runs an attempt on the idle connection. False when the connection turns out to be closed or out of step.
    bool run(const std::shared_ptr<Attempt>&);
    // Closes without reporting to the pool. An attempt that it carries gets no result from here.
    void close();

    bool answerStarted() const { return reader_.started(); }
    const asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }

private:
    enum class State : uint8_t { Connecting, Idle, Busy, Closed };

    bool isQuiet();
    void onConnected(std::error_code);
    void write();
    void waitReadable();
    void onReadable();
    void onAnswer(bool moreBytes);
    void becomeIdle();
    void end(ResultCode);
    void expired() override;

    TargetContext& context_;
    TargetPool& pool_;
    asio::ip::tcp::socket socket_;
    asio::ip::tcp::endpoint endpoint_;
    HttpReader reader_;
    State state_ = State::Connecting;
    bool waiting_ = false; // an asynchronous wait for readability is open
    bool writing_ = false;
    std::shared_ptr<Attempt> attempt_;
    std::string head_;
};

} // namespace shallotdrift::internal
