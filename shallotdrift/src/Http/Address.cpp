#include "Address.h"

#include "HttpMessage.h"

#include <fmt/format.h>

namespace shallotdrift {

using asio::ip::tcp;

static constexpr uint64_t maximumPort = 65535;

Result<tcp::endpoint> parseAddress(std::string_view text)
{
    auto colon = text.rfind(':');
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    auto port = colon == std::string_view::npos ? std::nullopt : parseNumber(text.substr(colon + 1), maximumPort);
    std::error_code error;
    auto address = asio::ip::make_address(std::string(host), error);
    if (!port || error)
        return fail(ResultCode::InvalidSettings, fmt::format("address \"{}\" is not of the form IP:port", text));
    return tcp::endpoint(address, static_cast<uint16_t>(*port));
}

bool isConnectableAddress(std::string_view text)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(endpoint, parseAddress(text));
            return endpoint.port() != 0;
        },
        [](const Error&) { return false; });
}

Result<void> startListening(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
{
    std::error_code error;
    auto unlessFailed = [&error](auto&& step) {
        if (!error)
            step();
    };
    unlessFailed([&] { acceptor.open(endpoint.protocol(), error); });
    unlessFailed([&] { acceptor.set_option(tcp::acceptor::reuse_address(true), error); });
    unlessFailed([&] { acceptor.bind(endpoint, error); });
    unlessFailed([&] { acceptor.listen(asio::socket_base::max_listen_connections, error); });
    if (!error)
        return {};
    std::error_code ignored;
    acceptor.close(ignored);
    return fail(ResultCode::InvalidSettings,
        fmt::format("cannot listen on {}:{}: {}", endpoint.address().to_string(), endpoint.port(), error.message()));
}

} // namespace shallotdrift
