#pragma once

#include "../Http/HttpServer.h"

#include "platform/Platform.h"

#include <string_view>

namespace shallotdrift::internal {

// Sent between entry instances: the receiver does not own the partition or has not loaded it yet (Misdirected Request).
inline constexpr unsigned notOwnerStatus = 421;
// After this time the caller's next attempt succeeds if the owner has changed or the store had a short outage.
inline constexpr char retryAfterSeconds[] = "1";

inline HttpResponse errorResponse(unsigned status, std::string_view reason)
{
    return { status, platform::formatError(reason) };
}

// 503: the job has not run and never will because of this request, so the caller may safely repeat the request.
inline HttpResponse notRunResponse(std::string_view reason)
{
    auto response = errorResponse(503, reason);
    response.headers.push_back({ "Retry-After", retryAfterSeconds });
    return response;
}

} // namespace shallotdrift::internal
