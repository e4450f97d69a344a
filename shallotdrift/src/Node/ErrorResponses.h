#pragma once

#include "../Http/HttpServer.h"

#include "platform/Platform.h"

#include <string_view>

namespace shallotdrift::internal {

// Between entry instances: this one does not own the partition, or has not loaded it yet.
inline constexpr unsigned notOwnerStatus = 421;
// After a change of owner, or a short outage of the store, a caller's next try succeeds.
inline constexpr char retryAfterSeconds[] = "1";

inline HttpResponse errorResponse(unsigned status, std::string_view reason)
{
    return { status, platform::formatError(reason) };
}

// For a job that has not run and never will by this request.
inline HttpResponse notRunResponse(std::string_view reason)
{
    auto response = errorResponse(503, reason);
    response.headers.push_back({ "Retry-After", retryAfterSeconds });
    return response;
}

} // namespace shallotdrift::internal
