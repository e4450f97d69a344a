#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <string>

namespace shallotdrift {

// Returns a loopback address (IP:port) on which nothing listens at the moment.
inline std::string freeAddress(asio::io_context& io)
{
    asio::ip::tcp::acceptor probe(io, { asio::ip::make_address("127.0.0.1"), 0 });
    return fmt::format("127.0.0.1:{}", probe.local_endpoint().port());
}

} // namespace shallotdrift
