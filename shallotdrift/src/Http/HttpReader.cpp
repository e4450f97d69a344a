#include "HttpReader.h"

#include <algorithm>
#include <utility>

namespace shallotdrift {

// Bytes of a header line that the parser's callbacks do not report: the colon, one space and the two bytes of the line
// end.
static constexpr size_t headerLineOverhead = 4;

// A header line without a value, as short as the parser accepts it.
static constexpr size_t minimumFieldBytes = 3;
// A string that grows allocates up to twice its length.
static constexpr size_t stringOverhead = 2;

struct HttpReader::Callbacks {
    static HttpReader& self(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }

    static int url(http_parser* parser, const char* at, size_t length)
    {
        self(parser).message_.target.append(at, length);
        self(parser).textBytes_ += length;
        return self(parser).countHeaderBytes(length);
    }
    static int field(http_parser* parser, const char* at, size_t length)
    {
        return self(parser).addHeaderField({ at, length });
    }
    static int value(http_parser* parser, const char* at, size_t length)
    {
        return self(parser).addHeaderValue({ at, length });
    }
    static int headers(http_parser* parser) { return self(parser).finishHeaders(); }
    static int body(http_parser* parser, const char* at, size_t length) { return self(parser).addBody({ at, length }); }
    static int complete(http_parser* parser) { return self(parser).finishMessage(); }

    static const http_parser_settings& settings()
    {
        static const http_parser_settings table = [] {
            http_parser_settings value {};
            http_parser_settings_init(&value);
            value.on_url = url;
            value.on_header_field = field;
            value.on_header_value = Callbacks::value;
            value.on_headers_complete = headers;
            value.on_body = body;
            value.on_message_complete = complete;
            return value;
        }();
        return table;
    }
};

HttpReader::HttpReader(Type type, HttpLimits limits)
    : limits_(limits)
    , type_(type)
{
    reset();
}

void HttpReader::reset()
{
    http_parser_init(&parser_, type_ == Type::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    state_ = State::Reading;
    failure_ = Failure::None;
    messageStarted_ = false;
    headersComplete_ = false;
    inHeaderValue_ = false;
    keepsBody_ = true;
    headerBytes_ = 0;
    textBytes_ = 0;
    droppedBytes_ = 0;
    message_ = {};
}

size_t HttpReader::feed(std::string_view bytes)
{
    if (state_ != State::Reading || bytes.empty())
        return 0;
    messageStarted_ = true;
    parser_.data = this; // set here because the reader may have been moved
    size_t used = http_parser_execute(&parser_, &Callbacks::settings(), bytes.data(), bytes.size());
    if (state_ != State::Reading)
        return used;
    auto error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_HEADER_OVERFLOW)
        failWith(Failure::HeaderTooLarge);
    else if (error != HPE_OK || parser_.upgrade)
        failWith(Failure::Malformed);
    return used;
}

void HttpReader::resume()
{
    if (state_ != State::Head)
        return;
    state_ = State::Reading;
    http_parser_pause(&parser_, 0);
}

size_t HttpReader::remainingBytes() const
{
    // The parser counts down the length while it reads the body.
    return headersComplete_ && message_.hasContentLength ? parser_.content_length : SIZE_MAX;
}

size_t HttpReader::heldBytes() const
{
    return message_.headers.capacity() * sizeof(HttpHeader) + stringOverhead * textBytes_ + message_.body.capacity();
}

size_t HttpReader::growthOf(size_t bytes) const
{
    if (!headersComplete_) {
        auto headBytes = std::min(bytes, limits_.maximumHeaderBytes);
        auto fields
            = std::min(limits_.maximumHeaderFields, message_.headers.size() + headBytes / minimumFieldBytes + 1);
        return stringOverhead * headBytes + 2 * fields * sizeof(HttpHeader);
    }
    if (!keepsBody_)
        return 0;
    // Memory for a body of known length is allocated at its first byte.
    if (message_.hasContentLength)
        return message_.body.empty() ? parser_.content_length : 0;
    // A body of unknown length grows to at most twice its size.
    auto size = message_.body.size() + bytes;
    return size <= message_.body.capacity() ? 0 : 2 * size;
}

const char* HttpReader::failureText() const
{
    switch (failure_) {
    case Failure::None:
        return "";
    case Failure::HeaderTooLarge:
        return "the header exceeds its size limit";
    case Failure::BodyTooLarge:
        return "the body exceeds its size limit";
    case Failure::Malformed:
        break;
    }
    return parser_.upgrade ? "protocol upgrades are not supported"
                           : http_errno_description(HTTP_PARSER_ERRNO(&parser_));
}

HttpMessage HttpReader::takeMessage()
{
    auto message = std::move(message_);
    reset();
    return message;
}

int HttpReader::failWith(Failure failure)
{
    failure_ = failure;
    state_ = State::Failed;
    return 1;
}

int HttpReader::countHeaderBytes(size_t length)
{
    headerBytes_ += length;
    return headerBytes_ > limits_.maximumHeaderBytes ? failWith(Failure::HeaderTooLarge) : 0;
}

int HttpReader::addHeaderField(std::string_view text)
{
    if (!headersComplete_) { // trailer fields are dropped, but count towards the limit
        if (inHeaderValue_ || message_.headers.empty()) {
            if (message_.headers.size() == limits_.maximumHeaderFields)
                return failWith(Failure::HeaderTooLarge);
            message_.headers.emplace_back();
        }
        message_.headers.back().name.append(text);
        textBytes_ += text.size();
        inHeaderValue_ = false;
    }
    return countHeaderBytes(text.size() + headerLineOverhead);
}

int HttpReader::addHeaderValue(std::string_view text)
{
    if (!headersComplete_) {
        message_.headers.back().value.append(text);
        textBytes_ += text.size();
        inHeaderValue_ = true;
    }
    return countHeaderBytes(text.size());
}

int HttpReader::finishHeaders()
{
    headersComplete_ = true;
    message_.hasContentLength = (parser_.flags & F_CONTENTLENGTH) != 0;
    message_.keepAlive = http_should_keep_alive(&parser_) != 0;
    if (type_ == Type::Request)
        message_.method = http_method_str(static_cast<http_method>(parser_.method));
    else
        message_.status = parser_.status_code;
    if (parser_.http_major != 1 || !hasValidHeaderNames())
        failWith(Failure::Malformed);
    else if (message_.hasContentLength && parser_.content_length > limits_.maximumBodyBytes)
        failWith(Failure::BodyTooLarge);
    else if (stopsAfterHead_ && !parser_.upgrade) {
        state_ = State::Head;
        http_parser_pause(&parser_, 1);
    }
    // A return value other than 0, 1 and 2 stops http_parser; 1 would only make it skip the body.
    return state_ == State::Failed ? -1 : 0;
}

// Checks for spaces in header names: Debian's build of http_parser accepts them and then ignores the header, for
// example "Content-Length : 5". Two parsers of one stream could then disagree on where a message ends (request
// smuggling).
bool HttpReader::hasValidHeaderNames() const
{
    return std::all_of(message_.headers.begin(), message_.headers.end(),
        [this](const HttpHeader& header) { return isVisibleAscii(header.name, limits_.maximumHeaderBytes); });
}

int HttpReader::addBody(std::string_view text)
{
    if (message_.body.size() + droppedBytes_ + text.size() > limits_.maximumBodyBytes)
        return failWith(Failure::BodyTooLarge);
    if (!keepsBody_) {
        droppedBytes_ += text.size();
        return 0;
    }
    if (message_.body.empty() && message_.hasContentLength)
        message_.body.reserve(parser_.content_length + text.size());
    message_.body.append(text);
    return 0;
}

int HttpReader::finishMessage()
{
    if (parser_.upgrade)
        return failWith(Failure::Malformed);
    state_ = State::Complete;
    http_parser_pause(&parser_, 1);
    return 0;
}

} // namespace shallotdrift
