#include "HttpExchange.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace shallotdrift::internal {

// More idle connections than an entry has threads that call the platform are of no use.
static constexpr size_t maximumIdleConnections = 16;
static constexpr size_t maximumErrorText = 200;
static constexpr int statusRequestTimeout = 408;
static constexpr int statusTooManyRequests = 429;
static constexpr int statusUnavailable = 503;
static constexpr int statusServerError = 500;

HttpExchange::HttpExchange(PlatformOptions options)
    : options_(std::move(options))
{
    auto colon = options_.address.rfind(':');
    host_ = options_.address.substr(0, colon);
    if (colon != std::string::npos) {
        const char* begin = options_.address.data() + colon + 1;
        std::from_chars(begin, options_.address.data() + options_.address.size(), port_);
    }
}

std::unique_ptr<httplib::Client> HttpExchange::takeConnection()
{
    {
        std::lock_guard lock(mutex_);
        if (!idle_.empty()) {
            auto connection = std::move(idle_.back());
            idle_.pop_back();
            return connection;
        }
    }
    auto connection = std::make_unique<httplib::Client>(host_, port_);
    connection->set_keep_alive(true);
    connection->set_tcp_nodelay(true);
    connection->set_connection_timeout(options_.connectTimeout);
    connection->set_write_timeout(options_.callTimeout);
    return connection;
}

void HttpExchange::putBack(std::unique_ptr<httplib::Client> connection)
{
    std::lock_guard lock(mutex_);
    if (idle_.size() < maximumIdleConnections)
        idle_.push_back(std::move(connection));
}

// What silenced one connection, for example a failed switch, has often silenced the others as well; each would cost a
// whole timeout to find out.
void HttpExchange::closeIdle()
{
    std::vector<std::unique_ptr<httplib::Client>> closed;
    std::lock_guard lock(mutex_);
    closed.swap(idle_);
}

Result<std::string> HttpExchange::call(const HttpCall& call)
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = std::string(call.body);
    request.set_header("Accept-Encoding", "identity");
    if (call.contentType)
        request.set_header("Content-Type", call.contentType);

    std::string body;
    bool tooLarge = false;
    // The library's timeout applies to each read, so a peer that sends single bytes would hold the call for ever.
    auto deadline = BootClock::now() + call.timeout;
    request.content_receiver = [&](const char* data, size_t length, uint64_t, uint64_t) {
        tooLarge = body.size() + length > call.maximumReplyBytes;
        if (tooLarge || BootClock::now() > deadline)
            return false;
        body.append(data, length);
        return true;
    };

    auto connection = takeConnection();
    connection->set_read_timeout(call.timeout);
    auto result = connection->send(request);
    if (result)
        putBack(std::move(connection));
    else
        closeIdle();
    return interpret(call, result, std::move(body), tooLarge);
}

Result<std::string> HttpExchange::interpret(
    const HttpCall& call, const httplib::Result& result, std::string&& body, bool tooLarge) const
{
    if (!result) {
        auto error = result.error();
        if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout)
            return fail(ResultCode::PlatformUnavailable, fmt::format("cannot connect to {}", options_.address));
        if (tooLarge)
            return fail(ResultCode::AnswerLost, fmt::format("{}: the reply is too large", call.path));
        return fail(ResultCode::AnswerLost, fmt::format("{}: no answer: {}", call.path, httplib::to_string(error)));
    }
    int status = result->status;
    if (status == 200)
        return std::move(body);
    auto text = fmt::format("{}: status {} {}", call.path, status, body.substr(0, maximumErrorText));
    if (std::find(call.refusals.begin(), call.refusals.end(), status) != call.refusals.end())
        return fail(ResultCode::PlatformRefused, std::move(text));
    bool withoutEffect = status == statusTooManyRequests || status == statusUnavailable
        || (status >= 400 && status < statusServerError && status != statusRequestTimeout);
    return fail(withoutEffect ? ResultCode::PlatformUnavailable : ResultCode::AnswerLost, std::move(text));
}

} // namespace shallotdrift::internal
