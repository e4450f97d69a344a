#pragma once

#include "../Http/HttpServer.h"

#include "platform/Platform.h"

#include <string_view>

namespace shallotdrift::internal {

// Between entry instances: the receiver does not own the partition or has not loaded it yet (Misdirected Request).
inline constexpr unsigned notOwnerStatus = 421;
// In seconds. After a change of owner or a short outage of the store the caller's next attempt succeeds.
inline constexpr char retryAfterSeconds[] = "1";

inline HttpResponse errorResponse(unsigned status, std::string_view reason)
{
    return { status, platform::formatError(reason) };
}

// 503 for a request whose job has not run and will never run because of it, so that the caller may safely repeat it.
inline HttpResponse notRunResponse(std::string_view reason)
{
    auto response = errorResponse(503, reason);
    response.headers.push_back({ "Retry-After", retryAfterSeconds });
    return response;
}

} // namespace shallotdrift::internal
