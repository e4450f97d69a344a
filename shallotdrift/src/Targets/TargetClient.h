#pragma once

#include "../Base/ResultCode.h"
#include "../Base/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace shallotdrift {

struct TargetAttempt {
    uint64_t attempt = 0;
    std::string instance;
    std::string address; // IP:port
    std::string kind;
    std::string requestId;
    std::string pool;
    uint64_t epoch = 0;
    Instant deadline {};
    std::string body;
    bool reuseConnection = true; // false: on a new connection, for work that must not be sent twice
};

struct AttemptResult {
    uint64_t attempt = 0;
    ResultCode code = ResultCode::Internal;
    bool bytesSent = false; // false: the target cannot have seen the request
    std::string body;
    std::string contentType;
    std::string receipt;
    Duration elapsed {};
};

struct TargetClientOptions {
    size_t maximumConnectionsPerTarget = 8; // 64 connections of a target over 8 entry instances
    size_t maximumAnswerBytes = 8 << 20;
    size_t maximumHeaderBytes = 16 << 10;
    Milliseconds connectTimeout { 500 };
    Milliseconds idleTimeout { 20000 };
};

struct TargetClientCounters {
    uint64_t connectionsOpened = 0;
    uint64_t connectionsRetired = 0; // closed because they or their target went silent
    uint64_t answersRejected = 0; // wrong ids, digest or form
};

// Runs on a thread of its own. Handlers are called on that thread and must not block.
class TargetClient {
public:
    using ResultHandler = std::function<void(AttemptResult&&)>;
    // Asked directly before the first byte is written on an open connection; false ends the attempt as NoInstance
    // with bytesSent false. Must be safe to call from the client's thread.
    using SendCheck = std::function<bool(const TargetAttempt&)>;

    TargetClient(TargetClientOptions, ResultHandler, SendCheck);
    ~TargetClient();
    TargetClient(const TargetClient&) = delete;
    TargetClient& operator=(const TargetClient&) = delete;

    void start();
    // From any thread. Every attempt gets one result, except abandoned ones.
    void send(TargetAttempt);
    void abandon(uint64_t attempt);
    // Closes all idle connections of an instance, for example when its pool changes.
    void closeIdle(const std::string& instance);
    TargetClientCounters counters() const;
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
