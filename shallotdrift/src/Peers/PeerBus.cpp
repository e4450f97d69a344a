#include "PeerBus.h"

#include "../Base/Logging.h"
#include "PeerLink.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <nng/protocol/pair1/pair.h>
#include <thread>
#include <vector>

namespace shallotdrift {

using internal::NngMessage;
using internal::PeerLink;

// Every entry dials every other one and sends only on the connections that it dialled, so that no message can arrive
// twice although both ends dial. The listening socket receives, and answers with keep-alives alone.
class PeerBus::Implementation {
public:
    Implementation(PeerBusOptions options, MessageHandler handler)
        : options_(std::move(options))
        , handler_(std::move(handler))
        , keepAliveInterval_(options_.silenceLimit / 4)
        , maintenanceInterval_(
              std::clamp<Milliseconds>(options_.silenceLimit / 16, Milliseconds(10), Milliseconds(250)))
        , log_(logger("peers"))
    {
        proto::PeerMessage message;
        message.set_sender(options_.entry);
        message.set_sender_boot(options_.boot);
        keepAlive_ = message.SerializeAsString();
    }

    ~Implementation() { stop(); }

    Result<void> start()
    {
        auto url = "tcp://" + options_.listenAddress;
        int status = nng_pair1_open_poly(&listener_);
        if (!status) {
            open_ = true;
            // Twice the limit, so that a message somewhat above it can be read and counted. The transport breaks the
            // connection of a sender that exceeds even this.
            nng_socket_set_size(listener_, NNG_OPT_RECVMAXSZ, options_.maximumMessageBytes * 2);
            nng_socket_set_ms(listener_, NNG_OPT_RECVTIMEO, static_cast<nng_duration>(maintenanceInterval_.count()));
            // Heartbeats of all peers can arrive at once; without room for the answers to all of them, connections
            // that work would look silent to their dialling ends.
            nng_socket_set_int(listener_, NNG_OPT_SENDBUF, static_cast<int>(maximumInbound));
            nng_pipe_notify(listener_, NNG_PIPE_EV_ADD_PRE, inboundChanged, this);
            nng_pipe_notify(listener_, NNG_PIPE_EV_REM_POST, inboundChanged, this);
            status = nng_listen(listener_, url.c_str(), nullptr, 0);
        }
        if (status)
            return fail(ResultCode::PeerUnreachable, "cannot listen on " + url + ": " + nng_strerror(status));
        thread_ = std::thread([this] { run(); });
        return {};
    }

    void setPeers(const std::map<std::string, std::string>& peers)
    {
        std::vector<std::unique_ptr<PeerLink>> removed; // closed without the lock, as closing waits for the library
        std::lock_guard changes(changeMutex_);
        std::lock_guard lock(linksMutex_);
        for (auto link = links_.begin(); link != links_.end();) {
            auto peer = peers.find(link->first);
            if (peer != peers.end() && peer->second == link->second->address()) {
                ++link;
                continue;
            }
            removed.push_back(std::move(link->second));
            link = links_.erase(link);
        }
        for (const auto& [id, address] : peers) {
            if (id != options_.entry && !links_.count(id))
                links_.emplace(id, std::make_unique<PeerLink>(address, options_.maximumMessageBytes));
        }
    }

    void send(proto::PeerMessage&& message)
    {
        message.set_sender(options_.entry);
        message.set_sender_boot(options_.boot);
        auto bytes = message.SerializeAsString();
        if (bytes.size() > options_.maximumMessageBytes) {
            log_->error("a message of {} bytes exceeds the limit and is not sent", bytes.size());
            ++oversized_;
            return;
        }
        std::lock_guard lock(linksMutex_);
        if (message.receiver().empty()) {
            for (auto& [id, link] : links_)
                sendOn(*link, bytes);
        } else if (auto link = links_.find(message.receiver()); link != links_.end()) {
            sendOn(*link->second, bytes);
        } else {
            ++unreachable_;
        }
    }

    PeerBusCounters counters() const
    {
        return { received_, sent_, bytesReceived_, bytesSent_, unreachable_, oversized_, unparsable_, redials_,
            unanswered_ };
    }

    void stop()
    {
        stopped_ = true;
        if (thread_.joinable())
            thread_.join();
        setPeers({});
        if (open_.exchange(false))
            nng_close(listener_);
    }

private:
    struct Inbound {
        Instant heard;
        Instant answered;
    };

    // Four times the 56 entries of the design's size, for connections that overlap while entries are replaced.
    static constexpr size_t maximumInbound = 224;

    void run()
    {
        auto nextMaintenance = BootClock::now();
        while (!stopped_) {
            auto now = BootClock::now();
            if (now >= nextMaintenance) {
                maintain(now);
                nextMaintenance = now + maintenanceInterval_;
            }
            if (auto message = NngMessage::receive(listener_, 0))
                receive(message);
        }
    }

    void receive(const NngMessage& raw)
    {
        auto body = raw.body();
        if (body.size() > options_.maximumMessageBytes) {
            ++oversized_;
            return;
        }
        proto::PeerMessage message;
        if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())) || message.sender().empty()) {
            ++unparsable_;
            return;
        }
        bytesReceived_ += body.size();
        answer(raw.pipe());
        if (message.body_case() == proto::PeerMessage::BODY_NOT_SET || message.sender() == options_.entry)
            return;
        // An address that now belongs to another entry still receives what was meant for the previous one.
        if (!message.receiver().empty() && message.receiver() != options_.entry)
            return;
        ++received_;
        handler_(std::move(message));
    }

    // Tells the dialling end that its connection works, at most once per interval.
    void answer(nng_pipe pipe)
    {
        auto now = BootClock::now();
        if (!answerDue(pipe, now))
            return;
        auto reply = NngMessage::copyOf(keepAlive_);
        reply.setPipe(pipe);
        // Sent without the lock, as the library calls inboundChanged from threads of its own.
        if (!reply.send(listener_, NNG_FLAG_NONBLOCK)) {
            ++unanswered_;
            return;
        }
        std::lock_guard lock(inboundMutex_);
        if (auto inbound = inbound_.find(pipe.id); inbound != inbound_.end())
            inbound->second.answered = now;
    }

    bool answerDue(nng_pipe pipe, Instant now)
    {
        std::lock_guard lock(inboundMutex_);
        auto inbound = inbound_.find(pipe.id);
        if (inbound == inbound_.end())
            return false;
        inbound->second.heard = now;
        return now - inbound->second.answered >= keepAliveInterval_;
    }

    static void inboundChanged(nng_pipe pipe, nng_pipe_ev event, void* bus)
    {
        auto* self = static_cast<Implementation*>(bus);
        std::unique_lock lock(self->inboundMutex_);
        if (event == NNG_PIPE_EV_REM_POST) {
            self->inbound_.erase(pipe.id);
        } else if (self->inbound_.size() < maximumInbound) {
            self->inbound_[pipe.id] = { BootClock::now(), {} };
        } else {
            lock.unlock();
            nng_pipe_close(pipe);
        }
    }

    // A peer that vanished without closing its connection would otherwise keep a place for ever.
    void closeSilentInbound(Instant now)
    {
        std::vector<uint32_t> silent;
        {
            std::lock_guard lock(inboundMutex_);
            for (const auto& [id, inbound] : inbound_) {
                if (now - inbound.heard > options_.silenceLimit * 2)
                    silent.push_back(id);
            }
        }
        for (auto id : silent)
            nng_pipe_close(nng_pipe { id });
    }

    void maintain(Instant now)
    {
        closeSilentInbound(now);
        std::lock_guard lock(linksMutex_);
        for (auto& [id, link] : links_) {
            if (link->drain())
                link->lastHeard = now;
            if (now - link->lastHeard > options_.silenceLimit) {
                log_->debug("{} at {} is silent, dialling again", id, link->address());
                ++redials_;
                link->redial();
            } else if (now - link->lastSent >= keepAliveInterval_) {
                link->send(keepAlive_);
            }
        }
    }

    void sendOn(PeerLink& link, const std::string& bytes)
    {
        if (!link.send(bytes)) {
            ++unreachable_;
            return;
        }
        ++sent_;
        bytesSent_ += bytes.size();
    }

    const PeerBusOptions options_;
    const MessageHandler handler_;
    const Milliseconds keepAliveInterval_;
    const Milliseconds maintenanceInterval_;
    std::shared_ptr<spdlog::logger> log_;
    std::string keepAlive_;
    nng_socket listener_ = NNG_SOCKET_INITIALIZER;
    std::atomic<bool> open_ { false };
    std::atomic<bool> stopped_ { false };
    std::mutex changeMutex_; // held by one setPeers at a time
    std::mutex linksMutex_;
    std::map<std::string, std::unique_ptr<PeerLink>> links_;
    std::mutex inboundMutex_;
    std::map<uint32_t, Inbound> inbound_; // by id of the connection
    std::atomic<uint64_t> received_ { 0 };
    std::atomic<uint64_t> sent_ { 0 };
    std::atomic<uint64_t> bytesReceived_ { 0 };
    std::atomic<uint64_t> bytesSent_ { 0 };
    std::atomic<uint64_t> unreachable_ { 0 };
    std::atomic<uint64_t> oversized_ { 0 };
    std::atomic<uint64_t> unparsable_ { 0 };
    std::atomic<uint64_t> redials_ { 0 };
    std::atomic<uint64_t> unanswered_ { 0 };
    std::thread thread_;
};

PeerBus::PeerBus(PeerBusOptions options, MessageHandler handler)
    : implementation_(std::make_unique<Implementation>(std::move(options), std::move(handler)))
{
}

PeerBus::~PeerBus() = default;

Result<void> PeerBus::start() { return implementation_->start(); }

void PeerBus::setPeers(const std::map<std::string, std::string>& peers) { implementation_->setPeers(peers); }

void PeerBus::send(proto::PeerMessage message) { implementation_->send(std::move(message)); }

PeerBusCounters PeerBus::counters() const { return implementation_->counters(); }

void PeerBus::stop() { implementation_->stop(); }

} // namespace shallotdrift
