#pragma once

#include <asio/io_context.hpp>

#include <exception>

namespace shallotdrift::internal {

// Runs an event loop until it is stopped or out of work. An exception that escapes from a handler ends this handler
// only: it is passed to onError(const std::exception&), and the loop goes on.
template <typename OnError> void runGuarded(asio::io_context& io, OnError&& onError)
{
    for (;;) {
        try {
            io.run();
            return;
        } catch (const std::exception& error) {
            onError(error);
        }
    }
}

} // namespace shallotdrift::internal
