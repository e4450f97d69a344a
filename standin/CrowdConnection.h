#pragma once

#include "shallotdrift/Base.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace shallotdrift::standin {

// How a client of a crowd misbehaves.
enum class CrowdKind : uint8_t { Whole, Pieces, Chunks, Large, Fields, Ahead, SlowSender, SlowReader, HalfWay };

std::optional<CrowdKind> findCrowdKind(std::string_view name);
// The names of all kinds, each after a space.
std::string crowdKindNames();

struct CrowdPlan {
    CrowdKind kind;
    asio::ip::tcp::endpoint target;
    std::string path;
    std::string host;
    size_t bodyBytes;
    bool grpc;
};

struct CrowdCounts {
    uint64_t opened = 0;
    uint64_t closed = 0; // by the server
    uint64_t refused = 0; // responses of 4xx or 5xx that have been read
    uint64_t sentBytes = 0;
    uint64_t readBytes = 0;
};

// Connection of one client of a crowd; it is opened again after the server has closed it.
class CrowdConnection : public std::enable_shared_from_this<CrowdConnection> {
public:
    CrowdConnection(asio::io_context&, const CrowdPlan&, CrowdCounts&);
    void open();

private:
    void send();
    void receive();
    void reopen();
    // The delay before the next bytes are sent.
    Milliseconds sendPause() const;
    size_t pieceBytes() const;
    bool reads() const;

    asio::ip::tcp::socket socket_;
    asio::steady_timer sendTimer_;
    asio::steady_timer readTimer_;
    const CrowdPlan& plan_;
    CrowdCounts& counts_;
    std::string request_;
    size_t sent_ = 0;
    uint64_t attempt_ = 0; // callbacks of an earlier attempt are ignored
    std::array<char, 4096> readBuffer_ {};
};

// What a client of the crowd sends in total.
std::string crowdBytes(const CrowdPlan&);

} // namespace shallotdrift::standin
