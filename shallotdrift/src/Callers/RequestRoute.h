#pragma once

#include "../Http/HttpMessage.h"
#include "CallerServer.h"

#include <variant>

namespace shallotdrift::internal {

// A request that cannot be passed on; the code is always one of the not-run codes.
struct RequestRefusal {
    unsigned status = 400;
    ResultCode code = ResultCode::BadRequest;
    std::string reason;
};

// Checks path, method and headers of a complete request and moves its parts into a CallerRequest.
std::variant<CallerRequest, RequestRefusal> routeRequest(HttpMessage&&);

// The Request-Id to answer with: "-" when the request has none that may be repeated.
std::string requestIdForAnswer(const HttpMessage&);

} // namespace shallotdrift::internal
