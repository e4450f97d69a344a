#pragma once

#include "../Http/HttpServer.h"

#include "platform/Platform.h"

#include <chrono>
#include <string>
#include <string_view>

namespace shallotdrift::internal {

// Sent between entry instances: the receiver does not own the partition or has not loaded it yet (Misdirected Request).
inline constexpr unsigned notOwnerStatus = 421;
// After this time the caller's next attempt succeeds if the owner has changed or the store had a short outage.
inline constexpr std::chrono::seconds ownerChangeRetryAfter { 1 };

inline HttpResponse errorResponse(unsigned status, std::string_view reason)
{
    return { status, platform::formatError(reason) };
}

// 429 or 503: the job has not run and never will because of this request, so the caller may safely repeat the request.
inline HttpResponse refusedResponse(unsigned status, std::string_view reason, std::chrono::seconds retryAfter)
{
    auto response = errorResponse(status, reason);
    response.headers.push_back({ "Retry-After", std::to_string(retryAfter.count()) });
    return response;
}

inline HttpResponse notRunResponse(std::string_view reason)
{
    return refusedResponse(503, reason, ownerChangeRetryAfter);
}

} // namespace shallotdrift::internal
