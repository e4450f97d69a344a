#pragma once

#include "../Http/DeadlineQueue.h"
#include "../Http/HttpReader.h"
#include "CallerServer.h"
#include "RequestRoute.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace shallotdrift::internal {

class CallerConnection;

// What the connections of a server share; used on the server's thread only.
struct CallerContext {
    const CallerServerOptions& options;
    const CallerServer::RequestHandler& requestHandler;
    const CallerServer::CancelHandler& cancelHandler;
    DeadlineQueue& deadlines;
    std::function<void()> connectionClosed;
    bool draining = false;
    uint64_t lastId = 0;
    size_t bufferedBytes = 0;
    std::atomic<size_t> openRequests { 0 };
    std::unordered_map<uint64_t, CallerConnection*> byRequest {};
    std::unordered_set<std::shared_ptr<CallerConnection>> connections {};
    // Shared read buffer: a connection holds no buffer of its own while nothing arrives.
    std::array<char, 64 << 10> scratch {};
};

// One caller's connection. Requests on it are answered one after another, in the order of their arrival.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>, private Expiring {
public:
    CallerConnection(asio::ip::tcp::socket, CallerContext&);

    void start();
    // Answers without waiting for a request and closes the connection.
    void refuse(const RequestRefusal&);
    void reply(CallerReply&&);
    // Ends an idle connection because the server is stopping.
    void stopIfIdle();
    void close();

private:
    enum class State : uint8_t { Reading, Processing, Writing, Lingering, Closed };

    void waitReadable();
    void onReadable();
    void onPeerClosed();
    void consume(std::string_view bytes);
    void continueAfterRead();
    void refuseUnreadable();
    void sendContinueIfExpected();
    void dispatch();
    void write(CallerReply&&, unsigned status);
    void onWritten();
    void linger();
    void expired() override;
    void setDeadline(Duration);
    void setBusy(bool);
    void setBuffered(size_t);

    asio::ip::tcp::socket socket_;
    CallerContext& context_;
    HttpReader reader_;
    State state_ = State::Reading;
    bool waiting_ = false; // an asynchronous wait for readability is open
    bool keepAlive_ = true;
    bool busy_ = false; // counted in openRequests
    bool continueSent_ = false;
    size_t buffered_ = 0; // share of bufferedBytes
    uint64_t requestId_ = 0; // of the request that is being processed
    std::string callerRequestId_;
    bool retried_ = false; // the request may repeat one that used the same key
    std::string pending_; // bytes after the current request
    std::string head_;
    std::string body_;
};

} // namespace shallotdrift::internal
