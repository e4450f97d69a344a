#pragma once

#include "../Base/Error.h"

#include <asio/ip/tcp.hpp>

namespace shallotdrift {

// "IP:port" or "[IPv6]:port". InvalidSettings when malformed; names are not resolved.
Result<asio::ip::tcp::endpoint> parseAddress(std::string_view);

// Opens, binds and listens. InvalidSettings when the address cannot be used.
Result<void> startListening(asio::ip::tcp::acceptor&, const asio::ip::tcp::endpoint&);

} // namespace shallotdrift
