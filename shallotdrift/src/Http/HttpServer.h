#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"
#include "DeadlineQueue.h"
#include "HttpReader.h"

#include <functional>
#include <memory>
#include <string>

namespace shallotdrift {

struct HttpServerOptions {
    std::string listenAddress; // IP:port
    HttpLimits limits {};
    size_t maximumConnections = 2000; // further ones are closed at once
    Milliseconds idleTimeout { 15000 }; // also for writing a response
    Milliseconds readTimeout { 3000 }; // for a whole request, from its first byte
};

struct HttpResponse {
    unsigned status = 200;
    std::string body {};
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers {};
};

// HTTP/1.1 server of one Asio thread. Pipelined requests of a connection are processed one at a time.
class HttpServer {
public:
    // To be called at most once, on the server's thread; a response to a closed connection is dropped.
    using ResponseCallback = std::function<void(HttpResponse&&)>;
    // Called on the server's thread for each complete request.
    using Handler = std::function<void(HttpMessage&&, ResponseCallback)>;

    HttpServer(asio::io_context&, DeadlineQueue&, HttpServerOptions, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Starts to accept connections. Fails with InvalidSettings when the listen address cannot be used.
    Result<void> start();
    // The size limits apply to new connections, the timeouts to open ones as well.
    void setLimits(HttpLimits, Milliseconds readTimeout, Milliseconds idleTimeout);
    // From now on, responses tell the client to close its connection.
    void beginDrain();
    // Stops accepting connections and closes the idle ones.
    void closeListener();
    // Requests whose response has not been written in full.
    size_t openRequests() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
