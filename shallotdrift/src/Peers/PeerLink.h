#pragma once

#include "../Base/Time.h"
#include "NngMessage.h"

#include <atomic>
#include <string>
#include <string_view>

namespace shallotdrift::internal {

// The connection that this entry dials to one peer. Only its own messages travel on it; the peer answers them with
// keep-alives, which prove that this very connection works in both directions.
class PeerLink {
public:
    PeerLink(std::string address, size_t maximumMessageBytes);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    const std::string& address() const { return address_; }
    // Drops the message when there is no connection or its buffer is full.
    bool send(std::string_view bytes);
    // Takes received keep-alives off the socket. Returns whether there were any.
    bool drain();
    // Closes the connection and dials again.
    void redial();

    Instant lastHeard; // or the time of the last dial
    Instant lastSent;

private:
    void open();
    static void connectionChanged(nng_pipe, nng_pipe_ev, void* link);

    const std::string address_;
    const size_t maximumMessageBytes_;
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
    std::atomic<int> connections_ { 0 };
};

} // namespace shallotdrift::internal
