#include "RequestRoute.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <limits>
#include <optional>

namespace shallotdrift::internal {

static constexpr size_t longestIdentifier = 128; // characters of a Request-Id, key or task id
static constexpr size_t longestTeam = 64;
static constexpr uint64_t longestMilliseconds = 86'400'000; // a day bounds timeouts and declared run times
static constexpr uint64_t mostMemoryMegabytes = uint64_t { 1 } << 40;

namespace {

    struct Route {
        std::string_view prefix;
        std::string_view method;
        CallerRequest::Type type;
        bool needsRequestId;
    };

    constexpr std::array<Route, 5> routes { {
        { "/v1/requests/", "POST", CallerRequest::Type::Work, true },
        { "/v1/keys/", "GET", CallerRequest::Type::KeyQuery, false },
        { "/v1/tasks/", "POST", CallerRequest::Type::TaskSubmit, true },
        { "/v1/tasks/", "GET", CallerRequest::Type::TaskQuery, false },
        { "/v1/tasks/", "DELETE", CallerRequest::Type::TaskCancel, false },
    } };

    struct TextHeader {
        const char* name;
        size_t maximumLength;
        std::string CallerRequest::*member;
    };

    constexpr std::array<TextHeader, 3> textHeaders { {
        { "Request-Id", longestIdentifier, &CallerRequest::requestId },
        { "Idempotency-Key", longestIdentifier, &CallerRequest::key },
        { "Team", longestTeam, &CallerRequest::team },
    } };

    struct NumberHeader {
        const char* name;
        uint64_t maximum;
        void (*assign)(CallerRequest&, uint64_t);
    };

    constexpr uint64_t mostOfUint32 = std::numeric_limits<uint32_t>::max();

    constexpr std::array<NumberHeader, 6> numberHeaders { {
        { "Timeout-Ms", longestMilliseconds, [](CallerRequest& r, uint64_t v) { r.timeout = Milliseconds(v); } },
        { "Request-Attempt", mostOfUint32,
            [](CallerRequest& r, uint64_t v) { r.attemptNumber = static_cast<uint32_t>(v); } },
        { "Declared-Runtime-Ms", longestMilliseconds,
            [](CallerRequest& r, uint64_t v) { r.declaredRuntime = Milliseconds(v); } },
        { "Declared-Cores", mostOfUint32,
            [](CallerRequest& r, uint64_t v) { r.declaredCores = static_cast<uint32_t>(v); } },
        { "Declared-Memory-Mb", mostMemoryMegabytes,
            [](CallerRequest& r, uint64_t v) { r.declaredMemoryMegabytes = v; } },
        { "Declared-Accelerators", mostOfUint32,
            [](CallerRequest& r, uint64_t v) { r.declaredAccelerators = static_cast<uint32_t>(v); } },
    } };

    // Subjects are plain path segments: no escapes, queries or further slashes.
    bool isSubject(std::string_view text)
    {
        return isVisibleText(text, longestIdentifier) && std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '.'
                || c == '_' || c == ':' || c == '~';
        });
    }

    std::variant<const Route*, RequestRefusal> findRoute(const HttpMessage& message)
    {
        bool pathKnown = false;
        for (const auto& route : routes) {
            if (message.target.compare(0, route.prefix.size(), route.prefix) != 0)
                continue;
            pathKnown = true;
            if (message.method == route.method)
                return &route;
        }
        if (pathKnown)
            return RequestRefusal { 405, ResultCode::BadRequest, "the method is not allowed on this path" };
        return RequestRefusal { 404, ResultCode::BadRequest, "no such path" };
    }

    std::optional<RequestRefusal> readHeaders(const HttpMessage& message, CallerRequest& request)
    {
        auto refusal = [](const char* name) {
            return RequestRefusal { 400, ResultCode::BadRequest,
                fmt::format("header {} is malformed or repeated", name) };
        };
        for (const auto& header : textHeaders) {
            if (!message.find(header.name))
                continue;
            auto value = message.single(header.name);
            if (!isVisibleText(value, header.maximumLength))
                return refusal(header.name);
            request.*header.member = std::string(value);
        }
        for (const auto& header : numberHeaders) {
            if (!message.find(header.name))
                continue;
            auto value = parseNumber(message.single(header.name), header.maximum);
            if (!value)
                return refusal(header.name);
            header.assign(request, *value);
        }
        return std::nullopt;
    }

} // namespace

std::variant<CallerRequest, RequestRefusal> routeRequest(HttpMessage&& message)
{
    auto found = findRoute(message);
    if (auto* refusal = std::get_if<RequestRefusal>(&found))
        return std::move(*refusal);
    const Route& route = *std::get<const Route*>(found);
    CallerRequest request;
    request.type = route.type;
    request.subject = message.target.substr(route.prefix.size());
    if (!isSubject(request.subject))
        return RequestRefusal { 400, ResultCode::BadRequest, "the name in the path is malformed" };
    if (auto refusal = readHeaders(message, request))
        return std::move(*refusal);
    if (route.needsRequestId && request.requestId.empty())
        return RequestRefusal { 400, ResultCode::BadRequest, "header Request-Id is missing" };
    request.body = std::move(message.body);
    return request;
}

std::string requestIdForAnswer(const HttpMessage& message)
{
    auto value = message.single("Request-Id");
    return isVisibleText(value, longestIdentifier) ? std::string(value) : "-";
}

} // namespace shallotdrift::internal
