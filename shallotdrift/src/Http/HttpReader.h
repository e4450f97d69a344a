#pragma once

#include "HttpMessage.h"

#include <http_parser.h>

namespace shallotdrift {

struct HttpLimits {
    size_t maximumHeaderBytes = 16 << 10;
    size_t maximumBodyBytes = 1 << 20;
};

// Parses HTTP/1.1 messages from a byte stream incrementally, one message at a time. Limits the size of a message.
class HttpReader {
public:
    enum class Type : uint8_t { Request, Response };
    enum class State : uint8_t { Reading, Complete, Failed };
    enum class Failure : uint8_t { None, Malformed, HeaderTooLarge, BodyTooLarge };

    HttpReader(Type, HttpLimits);

    // Parses the bytes up to the end of the message or a failure. Returns the number of bytes consumed.
    size_t feed(std::string_view bytes);

    State state() const { return state_; }
    Failure failure() const { return failure_; }
    // Describes the failure for messages; empty if there is none.
    const char* failureText() const;
    // True once the first byte of the current message has been read.
    bool messageStarted() const { return messageStarted_; }
    bool headersComplete() const { return headersComplete_; }
    const HttpMessage& message() const { return message_; }

    // Moves the complete message out and resets the reader for the next one.
    HttpMessage takeMessage();

private:
    struct Callbacks;

    void reset();
    int failWith(Failure);
    int countHeaderBytes(size_t);
    int addHeaderField(std::string_view);
    int addHeaderValue(std::string_view);
    int finishHeaders();
    bool hasValidHeaderNames() const;
    int addBody(std::string_view);
    int finishMessage();

    http_parser parser_ {};
    HttpLimits limits_;
    Type type_;
    State state_ = State::Reading;
    Failure failure_ = Failure::None;
    bool messageStarted_ = false;
    bool headersComplete_ = false;
    bool inHeaderValue_ = false;
    size_t headerBytes_ = 0;
    HttpMessage message_;
};

} // namespace shallotdrift
