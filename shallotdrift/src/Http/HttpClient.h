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
    Milliseconds connectTimeout { 400 }; // enough to repeat one lost SYN within a region
    Milliseconds idleTimeout { 10000 };
    // While a response arrives, its request times out only when no byte has come for this time. 0: progress does not
    // count.
    Milliseconds progressTimeout { 0 };
    Milliseconds maximumExtension { 10000 }; // of a request's timeout by progress
};

// Result of a request. If sent is true, the server may have processed the request even if there is no response.
struct HttpOutcome {
    bool hasResponse = false;
    bool sent = false;
    HttpMessage response {};
};

// Restricts a request to one process of several that may listen at the address one after another. A connection never
// leads to another process than the one that has accepted it, so the request is sent on a connection on which that
// process has identified itself, or not at all.
struct HttpPeer {
    uint64_t id = 0; // of the process; 0: any process, whose id is taken from its response to the request
    std::function<HttpRequest()> identify; // makes a request without effects, sent first on a new connection
    std::function<uint64_t(const HttpMessage&)> idOf; // the id in a response; 0: unknown
};

// HTTP/1.1 client that runs on one Asio thread, with a pool of persistent connections for each address. When a request
// times out, the idle connections to its address are closed as well, because the peer may have failed without closing
// them.
class HttpClient {
public:
    using Handler = std::function<void(HttpOutcome&&)>;

    HttpClient(asio::io_context&, DeadlineQueue&, HttpClientOptions);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Sends the request to "IP:port". The handler is called once, never from within send(). On failure, the outcome has
    // no response. The timeout includes the wait for a free connection and the identification of the peer; see
    // HttpClientOptions::progressTimeout.
    void send(const std::string& address, HttpRequest, Milliseconds timeout, Handler,
        std::shared_ptr<const HttpPeer> = nullptr);
    // Number of connections opened since the start.
    uint64_t connectionsOpened() const;
    // Closes all connections and drops all requests; their handlers are not called.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
