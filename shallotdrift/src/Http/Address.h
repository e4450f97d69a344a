#pragma once

#include "../Base/Error.h"

#include <asio/ip/tcp.hpp>

namespace shallotdrift {

// Parses "IPv4:port" or "[IPv6]:port". Fails with InvalidSettings on any other text; host names are not resolved.
Result<asio::ip::tcp::endpoint> parseAddress(std::string_view);
// Whether parseAddress() accepts the text and its port is not 0.
bool isConnectableAddress(std::string_view);

// Opens and binds the acceptor and starts to listen. Fails with InvalidSettings when the address cannot be used.
Result<void> startListening(asio::ip::tcp::acceptor&, const asio::ip::tcp::endpoint&);

} // namespace shallotdrift
