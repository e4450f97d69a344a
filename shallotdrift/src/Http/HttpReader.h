#pragma once

#include "HttpMessage.h"

#include <http_parser.h>

namespace shallotdrift {

struct HttpLimits {
    size_t maximumHeaderBytes = 16 << 10;
    size_t maximumBodyBytes = 1 << 20;
    size_t maximumHeaderFields = 256;
};

// Parses HTTP/1.1 messages from a byte stream incrementally, one message at a time. Limits the size of a message.
class HttpReader {
public:
    enum class Type : uint8_t { Request, Response };
    // Head: the head is complete and nothing of the body has been read; only with stopAfterHead().
    enum class State : uint8_t { Reading, Head, Complete, Failed };
    enum class Failure : uint8_t { None, Malformed, HeaderTooLarge, BodyTooLarge };

    HttpReader(Type, HttpLimits);

    // Parses the bytes up to the end of the message, a failure, or the end of the head if the reader stops there.
    // Returns the number of bytes consumed.
    size_t feed(std::string_view bytes);
    // Makes the reader stop at the end of each head until resume() is called.
    void stopAfterHead() { stopsAfterHead_ = true; }
    void resume();
    // The body of the current message is checked for its size, but not kept.
    void dropBody() { keepsBody_ = false; }

    State state() const { return state_; }
    Failure failure() const { return failure_; }
    // Describes the failure for messages; empty if there is none.
    const char* failureText() const;
    // True once the first byte of the current message has been read.
    bool messageStarted() const { return messageStarted_; }
    bool headersComplete() const { return headersComplete_; }
    const HttpMessage& message() const { return message_; }
    // Maximum number of bytes that can be read without reading past the current message; SIZE_MAX if unknown.
    size_t remainingBytes() const;
    // Memory that the current message holds.
    size_t heldBytes() const;
    // Upper bound of the additional memory that feed() allocates for this number of bytes.
    size_t growthOf(size_t bytes) const;

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
    bool stopsAfterHead_ = false;
    bool keepsBody_ = true;
    size_t headerBytes_ = 0;
    size_t textBytes_ = 0; // of the target and the header fields that are kept
    size_t droppedBytes_ = 0; // of a body that is not kept
    HttpMessage message_;
};

} // namespace shallotdrift
