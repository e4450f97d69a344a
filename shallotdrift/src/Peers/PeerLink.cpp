#include "PeerLink.h"

#include "../Base/Logging.h"

#include <nng/protocol/pair1/pair.h>

namespace shallotdrift::internal {

// Room for a snapshot's parts (some 5 at 125 pools and 730 workers) beside heartbeats. Small, because messages that
// wait here while a connection breaks are delivered late by the next one.
static constexpr int sendBufferMessages = 32;
static constexpr nng_duration firstRedialMilliseconds = 100;
static constexpr nng_duration lastRedialMilliseconds = 1000;

PeerLink::PeerLink(std::string address, size_t maximumMessageBytes)
    : lastHeard(BootClock::now())
    , address_(std::move(address))
    , maximumMessageBytes_(maximumMessageBytes)
{
    open();
}

PeerLink::~PeerLink() { nng_close(socket_); }

void PeerLink::open()
{
    lastHeard = BootClock::now();
    lastSent = Instant {};
    connections_ = 0;
    auto url = "tcp://" + address_;
    int status = nng_pair1_open(&socket_);
    if (!status) {
        nng_socket_set_int(socket_, NNG_OPT_SENDBUF, sendBufferMessages);
        nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, maximumMessageBytes_);
        nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, firstRedialMilliseconds);
        nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, lastRedialMilliseconds);
        nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_POST, connectionChanged, this);
        nng_pipe_notify(socket_, NNG_PIPE_EV_REM_POST, connectionChanged, this);
        status = nng_dial(socket_, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    if (status)
        logger("peers")->error("cannot dial {}: {}", url, nng_strerror(status));
}

void PeerLink::connectionChanged(nng_pipe, nng_pipe_ev event, void* link)
{
    static_cast<PeerLink*>(link)->connections_ += event == NNG_PIPE_EV_ADD_POST ? 1 : -1;
}

bool PeerLink::send(std::string_view bytes)
{
    if (connections_ <= 0)
        return false;
    lastSent = BootClock::now();
    return NngMessage::copyOf(bytes).send(socket_, NNG_FLAG_NONBLOCK);
}

bool PeerLink::drain()
{
    bool heard = false;
    while (NngMessage::receive(socket_, NNG_FLAG_NONBLOCK))
        heard = true;
    return heard;
}

void PeerLink::redial()
{
    nng_close(socket_);
    open();
}

} // namespace shallotdrift::internal
