#pragma once

#include "ResultCode.h"

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace shallotdrift {

// The error that a failed Result carries, in all modules.
struct Error {
    ResultCode code = ResultCode::Internal;
    std::string message;
};

template <typename T> using Result = boost::leaf::result<T>;

// Creates an error to be returned from a function whose return type is Result<T>.
inline boost::leaf::error_id fail(ResultCode code, std::string message)
{
    return boost::leaf::new_error(Error { code, std::move(message) });
}

// Calls a function that returns Result<T>. If it fails, returns onError(const Error&), which must return a T.
template <typename Function, typename OnError> auto handleError(Function&& function, OnError&& onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Function>(function), [&](const Error& error) { return onError(error); },
        [&] {
            return onError(Error { ResultCode::Internal, "unknown error" });
        });
}

} // namespace shallotdrift
