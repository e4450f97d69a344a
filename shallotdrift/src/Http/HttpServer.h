#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"
#include "ConnectionBudget.h"
#include "DeadlineQueue.h"
#include "HttpReader.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace shallotdrift {

struct HttpServerOptions {
    std::string listenAddress; // IP:port
    HttpLimits limits {};
    size_t maximumConnections = 2000; // for a further one, the connection without progress for longest is closed
    Milliseconds idleTimeout { 15000 }; // maximum wait for a request; also the maximum time to write a response
    Milliseconds readTimeout { 3000 }; // maximum time from the first byte of a request to its end
    std::string name = "http"; // in logs and metrics
    std::shared_ptr<ConnectionBudget> budget {}; // null: memory without a limit, not shared with other servers
    size_t reservedBytes = 0; // of the budget, for this server
};

struct HttpResponse {
    unsigned status = 200;
    std::string body {};
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers {};
};

// HTTP/1.1 server that runs on one Asio thread. Pipelined requests of a connection are processed one at a time.
class HttpServer {
public:
    // Sends the response. Must be called on the server's thread, at most once for each request. If the connection has
    // been closed, the response is dropped.
    using ResponseCallback = std::function<void(HttpResponse&&)>;
    // Called on the server's thread for each complete request.
    using Handler = std::function<void(HttpMessage&&, ResponseCallback)>;
    // Called on the server's thread for each request whose head is complete, before any of its body is kept. A response
    // is sent instead of calling the handler; the body is dropped, and unless it has arrived already, the connection is
    // closed. May be empty. Bodies of methods other than POST and PUT are dropped in any case.
    using HeadHandler = std::function<std::optional<HttpResponse>(const HttpMessage& head)>;

    HttpServer(asio::io_context&, DeadlineQueue&, HttpServerOptions, Handler, HeadHandler = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Starts to accept connections. Fails with InvalidSettings when the listen address cannot be used.
    Result<void> start();
    // The size limits apply to new connections only, the timeouts also to open connections.
    void setLimits(HttpLimits, Milliseconds readTimeout, Milliseconds idleTimeout);
    // From now on, each response has the header "Connection: close", and its connection is closed afterwards.
    void beginDrain();
    // Stops accepting connections, closes the idle connections and drains the others like beginDrain().
    void closeListener();
    // Number of received requests whose response has not been written in full.
    size_t openRequests() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
