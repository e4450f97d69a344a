#pragma once

#include "shallotdrift/Http.h"

#include <deque>
#include <functional>
#include <memory>

namespace shallotdrift::standin {

// A connection to a target instance: reads requests one at a time and writes what the instance answers.
class TargetSession : public std::enable_shared_from_this<TargetSession> {
public:
    using RequestHandler = std::function<void(const std::shared_ptr<TargetSession>&, HttpMessage&&)>;
    using ClosedHandler = std::function<void(const std::shared_ptr<TargetSession>&)>;

    TargetSession(asio::ip::tcp::socket, RequestHandler, ClosedHandler);

    void start();
    // Sends a whole answer. The next request is read once no request is unanswered.
    void send(std::string answer, bool lastOfRequest);
    // Closes after what is queued has been written.
    void closeWhenWritten();
    // Closes without waiting for a request that is being handled; answers already queued are written.
    void cutOff();
    void close();
    bool closed() const { return closed_; }
    bool idle() const { return !handling_ && queue_.empty(); }

private:
    void read();
    void consume();
    void write();

    asio::ip::tcp::socket socket_;
    RequestHandler requestHandler_;
    ClosedHandler closedHandler_;
    HttpReader reader_;
    std::array<char, 16 << 10> buffer_ {};
    std::string pending_;
    std::deque<std::string> queue_;
    bool handling_ = false;
    bool writing_ = false;
    bool closing_ = false;
    bool closed_ = false;
};

} // namespace shallotdrift::standin
