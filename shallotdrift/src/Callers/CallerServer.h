#pragma once

#include "../Base/Error.h"
#include "../Base/ResultCode.h"
#include "../Base/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace shallotdrift {

struct CallerRequest {
    enum class Type : uint8_t {
        Work, // POST /v1/requests/<kind>
        KeyQuery, // GET /v1/keys/<key>
        TaskSubmit, // POST /v1/tasks/<kind>
        TaskQuery, // GET /v1/tasks/<id>
        TaskCancel, // DELETE /v1/tasks/<id>
    };
    uint64_t id = 0; // unique within the process; names the connection's open request
    Type type = Type::Work;
    std::string requestId; // the caller's Request-Id
    std::string subject; // kind, key or task id from the path
    std::string key; // Idempotency-Key
    uint32_t attemptNumber = 0; // Request-Attempt; 1: the caller has not sent the key before, 0: not stated
    std::string team;
    Milliseconds timeout { 0 }; // 0: the kind's default
    Milliseconds declaredRuntime { 0 }; // 0: not declared
    uint32_t declaredCores = 0;
    uint64_t declaredMemoryMegabytes = 0;
    uint32_t declaredAccelerators = 0;
    std::string body;
    Instant arrived {};
};

struct CallerReply {
    ResultCode code = ResultCode::Internal;
    std::string body;
    std::string contentType = "application/octet-stream";
    std::string receipt;
    std::string reason; // shown to the caller when the code is not Ok
    // No earlier request can have run the key's work either, for example because this one owned the key.
    bool keyNotRun = false;
};

struct CallerServerOptions {
    std::string listenAddress; // IP:port; port 0 picks a free one
    size_t maximumBodyBytes = 1 << 20;
    size_t maximumHeaderBytes = 16 << 10;
    size_t maximumConnections = 2000;
    size_t maximumBufferedBytes = 64 << 20; // bodies being read and answers being written, of all connections
    Milliseconds idleTimeout { 30000 };
    Milliseconds readTimeout { 10000 }; // for one whole request
};

// Runs on a thread of its own. Handlers are called on that thread and must not block; a request handler that returns
// false makes the server answer 101 overloaded.
class CallerServer {
public:
    using RequestHandler = std::function<bool(CallerRequest&&)>;
    using CancelHandler = std::function<void(uint64_t id)>; // the caller closed its connection before the reply

    CallerServer(CallerServerOptions, RequestHandler, CancelHandler);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    // Binds and starts the thread. InvalidSettings when the address cannot be used.
    Result<void> start();
    uint16_t port() const;

    // From any thread. A reply for a closed connection is dropped.
    void reply(uint64_t id, CallerReply);

    // Replies carry "Connection: close" from now on.
    void beginDrain();
    // Accepts no further connection; requests under way go on.
    void closeListener();
    size_t openRequests() const;
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
