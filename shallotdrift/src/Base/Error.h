#pragma once

#include "ResultCode.h"

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace shallotdrift {

// Error object of the LEAF results of all modules.
struct Error {
    ResultCode code = ResultCode::Internal;
    std::string message;
};

template <typename T> using Result = boost::leaf::result<T>;

inline boost::leaf::error_id fail(ResultCode code, std::string message)
{
    return boost::leaf::new_error(Error { code, std::move(message) });
}

// Calls a function that returns Result<T>; on failure calls onError(const Error&), which returns T.
template <typename Function, typename OnError> auto handleError(Function&& function, OnError&& onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Function>(function), [&](const Error& error) { return onError(error); },
        [&] {
            return onError(Error { ResultCode::Internal, "unknown error" });
        });
}

} // namespace shallotdrift
