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
    size_t maximumConnections = 2000;
    Milliseconds idleTimeout { 15000 };
    Milliseconds readTimeout { 3000 }; // for one whole request
};

struct HttpResponse {
    unsigned status = 200;
    std::string body {};
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers {};
};

// HTTP/1.1 server on an Asio thread. Requests on one connection are answered one after another.
class HttpServer {
public:
    // To be called at most once, from the server's thread; a reply for a closed connection is dropped.
    using ResponseCallback = std::function<void(HttpResponse&&)>;
    using Handler = std::function<void(HttpMessage&&, ResponseCallback)>;

    HttpServer(asio::io_context&, DeadlineQueue&, HttpServerOptions, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    Result<void> start();
    void setLimits(HttpLimits, Milliseconds readTimeout, Milliseconds idleTimeout);
    // Replies ask the client to close its connection from now on.
    void beginDrain();
    // Accepts no further connection and closes the idle ones.
    void closeListener();
    size_t openRequests() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
