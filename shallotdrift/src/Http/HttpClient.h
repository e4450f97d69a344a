#pragma once

#include "../Base/Time.h"
#include "DeadlineQueue.h"
#include "HttpReader.h"
#include "HttpRequest.h"

#include <functional>
#include <memory>
#include <string>

namespace shallotdrift {

struct HttpClientOptions {
    size_t connectionsPerAddress = 4;
    size_t maximumResponseBytes = 8 << 20;
    Milliseconds connectTimeout { 400 }; // for a connection within a region, with one repeated opening packet
    Milliseconds idleTimeout { 10000 };
};

// How a request ended. Without an answer it may still have been carried out if it was sent.
struct HttpOutcome {
    bool hasResponse = false;
    bool sent = false;
    HttpMessage response {};
};

// HTTP/1.1 client on an Asio thread, with kept-alive connections for each address. A connection that fails to answer
// in time is closed together with the idle ones to its address, because such connections may be silent for good.
class HttpClient {
public:
    using Handler = std::function<void(HttpOutcome&&)>;

    HttpClient(asio::io_context&, DeadlineQueue&, HttpClientOptions);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // The handler is called once, never from within send(). The time includes waiting for a connection.
    void send(const std::string& address, HttpRequest, Milliseconds timeout, Handler);
    uint64_t connectionsOpened() const;
    // Ends all requests without an answer and closes all connections; their handlers are not called.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
