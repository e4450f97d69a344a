#include "CrowdConnection.h"
#include "Roles.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(kind, "whole", "what each connection sends; an unknown kind lists all");
DEFINE_string(target, "127.0.0.1:19000", "IP:port that the crowd connects to; a loopback address");
DEFINE_string(path, "/", "path of the requests");
DEFINE_string(host, "reports.example", "Host header of the requests");
DEFINE_string(protocol, "http", "http or grpc: HTTP/1.1 requests, or calls of an HTTP/2 connection");
DEFINE_int32(connections, 100, "number of connections, at most 2000");
DEFINE_int32(body_bytes, 262000, "declared size of a body");
DEFINE_int32(hold_ms, 1500, "time for which the crowd stays; a connection that the server closes is opened again");

namespace shallotdrift::standin {

static constexpr int maximumConnections = 2000;
static constexpr int maximumHoldMilliseconds = 60000;

int runCrowdRole()
{
    auto kind = findCrowdKind(FLAGS_kind);
    std::error_code error;
    auto colon = FLAGS_target.rfind(':');
    auto address = asio::ip::make_address(FLAGS_target.substr(0, colon), error);
    if (!kind || error || colon == std::string::npos || !address.is_loopback() || FLAGS_connections < 1
        || FLAGS_connections > maximumConnections || FLAGS_hold_ms < 0 || FLAGS_hold_ms > maximumHoldMilliseconds) {
        std::cerr << "expected a loopback address as --target, up to " << maximumConnections
                  << " --connections and one of these as --kind:" << crowdKindNames() << "\n";
        return 2;
    }
    asio::io_context io { 1 };
    CrowdPlan plan { *kind, { address, static_cast<uint16_t>(std::stoi(FLAGS_target.substr(colon + 1))) }, FLAGS_path,
        FLAGS_host, static_cast<size_t>(FLAGS_body_bytes), FLAGS_protocol == "grpc" };
    CrowdCounts counts;
    std::vector<std::shared_ptr<CrowdConnection>> connections;
    for (int i = 0; i < FLAGS_connections; ++i) {
        connections.push_back(std::make_shared<CrowdConnection>(io, plan, counts));
        connections.back()->open();
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](std::error_code, int) { io.stop(); });
    io.run_for(Milliseconds { FLAGS_hold_ms });
    std::cout << fmt::format("opened {} closed {} refused {} sent_bytes {} read_bytes {}\n", counts.opened,
        counts.closed, counts.refused, counts.sentBytes, counts.readBytes);
    return 0;
}

} // namespace shallotdrift::standin
