#pragma once

#include <cstddef>
#include <nng/nng.h>
#include <string_view>
#include <utility>

namespace shallotdrift::internal {

// Owner of an nng message.
class NngMessage {
public:
    explicit NngMessage(nng_msg* message = nullptr)
        : message_(message)
    {
    }

    static NngMessage copyOf(std::string_view bytes)
    {
        nng_msg* message = nullptr;
        if (nng_msg_alloc(&message, 0) || nng_msg_append(message, bytes.data(), bytes.size())) {
            nng_msg_free(message);
            return NngMessage();
        }
        return NngMessage(message);
    }

    ~NngMessage()
    {
        if (message_)
            nng_msg_free(message_);
    }

    NngMessage(NngMessage&& other) noexcept
        : message_(std::exchange(other.message_, nullptr))
    {
    }
    NngMessage& operator=(NngMessage&& other) noexcept
    {
        std::swap(message_, other.message_);
        return *this;
    }
    NngMessage(const NngMessage&) = delete;
    NngMessage& operator=(const NngMessage&) = delete;

    explicit operator bool() const { return message_; }
    nng_pipe pipe() const { return nng_msg_get_pipe(message_); }
    void setPipe(nng_pipe pipe) { nng_msg_set_pipe(message_, pipe); }

    std::string_view body() const
    {
        return { static_cast<const char*>(nng_msg_body(message_)), nng_msg_len(message_) };
    }

    // Receives from the socket; an empty message on any error.
    static NngMessage receive(nng_socket socket, int flags)
    {
        nng_msg* message = nullptr;
        return NngMessage(nng_recvmsg(socket, &message, flags) ? nullptr : message);
    }

    // Hands the message to the socket; it stays owned here when the socket does not take it.
    bool send(nng_socket socket, int flags)
    {
        if (!message_ || nng_sendmsg(socket, message_, flags))
            return false;
        message_ = nullptr;
        return true;
    }

private:
    nng_msg* message_;
};

} // namespace shallotdrift::internal
