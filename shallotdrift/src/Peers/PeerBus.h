#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"

#include <peer.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace shallotdrift {

struct PeerBusOptions {
    std::string entry;
    uint64_t boot = 0;
    std::string listenAddress; // IP:port
    size_t maximumMessageBytes = 1 << 20;
    Milliseconds silenceLimit { 5000 }; // a connection without a message for so long is dialled again
};

struct PeerBusCounters {
    uint64_t received = 0;
    uint64_t sent = 0; // once per receiver
    uint64_t bytesReceived = 0; // of message bodies, with keep-alives
    uint64_t bytesSent = 0; // of message bodies, without keep-alives
    uint64_t unreachable = 0; // dropped: no connection, or its buffer is full
    uint64_t oversized = 0; // dropped, on either side
    uint64_t unparsable = 0; // dropped on receipt
    uint64_t redials = 0;
    uint64_t unanswered = 0; // keep-alives that the socket had no room for
};

// Sends and receives PeerMessages over nng, with a receiving thread of its own.
class PeerBus {
public:
    using MessageHandler = std::function<void(proto::PeerMessage&&)>; // on the receiving thread

    PeerBus(PeerBusOptions, MessageHandler);
    ~PeerBus();
    PeerBus(const PeerBus&) = delete;
    PeerBus& operator=(const PeerBus&) = delete;

    Result<void> start();
    // Entry id to IP:port; dials new ones and drops those that are missing. The own entry is ignored.
    void setPeers(const std::map<std::string, std::string>&);
    // Fills in the sender; an empty receiver sends to all. A message for an unreachable peer is dropped.
    void send(proto::PeerMessage);
    PeerBusCounters counters() const;
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
