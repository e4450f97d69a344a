#include "CrowdConnection.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <fmt/format.h>

namespace shallotdrift::standin {

static constexpr size_t piece = 4096;
static constexpr size_t chunk = 1000;
static constexpr size_t largeBodyBytes = size_t { 64 } << 20;
static constexpr size_t sentOfLargeBody = size_t { 2 } << 20;
// As many fields as a head of 16 KiB may have.
static constexpr int shortFields = 3000;
static constexpr int requestsAhead = 8000;
static constexpr size_t slowBytes = 100;
static constexpr int smallReceiveBuffer = 4096;
static constexpr Milliseconds slowPause { 100 };
static constexpr Milliseconds reopenPause { 50 };

struct CrowdKindName {
    std::string_view name;
    CrowdKind kind;
};
static constexpr std::array<CrowdKindName, 9> kindNames { { { "whole", CrowdKind::Whole },
    { "pieces", CrowdKind::Pieces }, { "chunks", CrowdKind::Chunks }, { "large", CrowdKind::Large },
    { "fields", CrowdKind::Fields }, { "ahead", CrowdKind::Ahead }, { "slow-sender", CrowdKind::SlowSender },
    { "slow-reader", CrowdKind::SlowReader }, { "half-way", CrowdKind::HalfWay } } };

std::optional<CrowdKind> findCrowdKind(std::string_view name)
{
    const auto* found
        = std::find_if(kindNames.begin(), kindNames.end(), [&](const auto& entry) { return entry.name == name; });
    return found == kindNames.end() ? std::nullopt : std::optional(found->kind);
}

std::string crowdKindNames()
{
    std::string text;
    for (const auto& entry : kindNames)
        text += fmt::format(" {}", entry.name);
    return text;
}

namespace {

    std::string postHead(const CrowdPlan& plan, std::string_view length)
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n{}\r\n\r\n", plan.path, plan.host, length);
    }

    std::string sizedBody(const CrowdPlan& plan, size_t declared, size_t sent)
    {
        return postHead(plan, fmt::format("Content-Length: {}", declared)) + std::string(sent, '[');
    }

    std::string chunkedBody(const CrowdPlan& plan)
    {
        auto text = postHead(plan, "Transfer-Encoding: chunked");
        for (size_t sent = 0; sent + chunk < plan.bodyBytes; sent += chunk)
            text += fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, '['));
        return text;
    }

    std::string manyFields(const CrowdPlan& plan)
    {
        auto text = fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n", plan.path, plan.host);
        for (int i = 0; i < shortFields; ++i)
            text += "a:\r\n";
        return text;
    }

    std::string requestsInAdvance(const CrowdPlan& plan)
    {
        std::string text;
        for (int i = 0; i < requestsAhead; ++i)
            text += fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", plan.path, plan.host);
        return text;
    }

    std::string http1Bytes(const CrowdPlan& plan)
    {
        switch (plan.kind) {
        case CrowdKind::Chunks:
            return chunkedBody(plan);
        case CrowdKind::Large:
            return sizedBody(plan, largeBodyBytes, sentOfLargeBody);
        case CrowdKind::Fields:
            return manyFields(plan);
        case CrowdKind::Ahead:
        case CrowdKind::SlowReader:
            return requestsInAdvance(plan);
        case CrowdKind::HalfWay:
            return sizedBody(plan, plan.bodyBytes, plan.bodyBytes / 2);
        case CrowdKind::Whole:
        case CrowdKind::Pieces:
        case CrowdKind::SlowSender:
            break;
        }
        return sizedBody(plan, plan.bodyBytes, plan.bodyBytes - 1);
    }

    // Frames of HTTP/2 (RFC 9113) and their header fields without compression (RFC 7541).
    enum FrameType : uint8_t { Data = 0, Headers = 1, Settings = 4, Continuation = 9 };
    constexpr char endOfHeaders = 4;
    constexpr size_t maximumFrameBytes = 16384;
    constexpr uint32_t firstWindowBytes = 65535; // what may be sent before the server has granted more

    std::string frame(FrameType type, char flags, uint32_t stream, std::string_view payload)
    {
        std::string text;
        for (int shift : { 16, 8, 0 })
            text += static_cast<char>(payload.size() >> shift);
        text += static_cast<char>(type);
        text += flags;
        for (int shift : { 24, 16, 8, 0 })
            text += static_cast<char>(stream >> shift);
        return text.append(payload);
    }

    std::string headerField(std::string_view name, std::string_view value)
    {
        std::string text(1, '\0');
        text += static_cast<char>(name.size());
        text.append(name);
        text += static_cast<char>(value.size());
        return text.append(value);
    }

    std::string callHeaders()
    {
        return headerField(":method", "POST") + headerField(":scheme", "http")
            + headerField(":path", "/shallotdrift.proto.Operator/Status") + headerField(":authority", "127.0.0.1")
            + headerField("content-type", "application/grpc") + headerField("te", "trailers");
    }

    std::string grpcMessage(size_t declared, size_t sent)
    {
        std::string text(1, '\0');
        for (int shift : { 24, 16, 8, 0 })
            text += static_cast<char>(declared >> shift);
        return text + std::string(sent, '\x01');
    }

    std::string dataFrames(uint32_t stream, std::string_view message)
    {
        std::string text;
        for (; !message.empty(); message.remove_prefix(std::min(message.size(), maximumFrameBytes)))
            text += frame(Data, 0, stream, message.substr(0, maximumFrameBytes));
        return text;
    }

    // Calls of an operator. The crowd sends no more than the first window of the connection.
    std::string grpcBytes(const CrowdPlan& plan)
    {
        std::string text = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(Settings, 0, 0, {});
        if (plan.kind == CrowdKind::Fields) {
            std::string fields = callHeaders();
            for (int i = 0; i < shortFields; ++i)
                fields += headerField("a", "");
            text += frame(Headers, 0, 1, std::string_view(fields).substr(0, maximumFrameBytes));
            return text;
        }
        if (plan.kind == CrowdKind::Ahead || plan.kind == CrowdKind::SlowReader) {
            for (uint32_t i = 0; i < requestsAhead; ++i)
                text += frame(Headers, endOfHeaders, 2 * i + 1, callHeaders())
                    + frame(Data, 1, 2 * i + 1, grpcMessage(0, 0));
            return text;
        }
        constexpr size_t messageHeaderBytes = 5;
        auto bytes = std::min<size_t>(plan.bodyBytes, firstWindowBytes - messageHeaderBytes);
        if (plan.kind == CrowdKind::HalfWay)
            bytes /= 2;
        auto declared = plan.kind == CrowdKind::Large ? largeBodyBytes : plan.bodyBytes;
        text += frame(Headers, endOfHeaders, 1, callHeaders());
        return text + dataFrames(1, grpcMessage(declared, bytes));
    }

} // namespace

std::string crowdBytes(const CrowdPlan& plan) { return plan.grpc ? grpcBytes(plan) : http1Bytes(plan); }

CrowdConnection::CrowdConnection(asio::io_context& io, const CrowdPlan& plan, CrowdCounts& counts)
    : socket_(io)
    , sendTimer_(io)
    , readTimer_(io)
    , plan_(plan)
    , counts_(counts)
{
}

void CrowdConnection::open()
{
    std::error_code ignored;
    socket_.close(ignored);
    sent_ = 0;
    request_ = crowdBytes(plan_);
    socket_.open(plan_.target.protocol(), ignored);
    if (!reads())
        socket_.set_option(asio::socket_base::receive_buffer_size(smallReceiveBuffer), ignored);
    socket_.async_connect(plan_.target, [self = shared_from_this(), attempt = ++attempt_](std::error_code error) {
        if (attempt != self->attempt_)
            return;
        if (error) {
            self->reopen();
            return;
        }
        ++self->counts_.opened;
        self->send();
        self->receive();
    });
}

Milliseconds CrowdConnection::sendPause() const
{
    bool headSent = sent_ * 2 > request_.size();
    return plan_.kind == CrowdKind::SlowSender && headSent ? slowPause : Milliseconds { 0 };
}

size_t CrowdConnection::pieceBytes() const
{
    if (plan_.kind == CrowdKind::SlowSender && sendPause().count() > 0)
        return slowBytes;
    return plan_.kind == CrowdKind::Whole ? request_.size() : piece;
}

bool CrowdConnection::reads() const { return plan_.kind != CrowdKind::Ahead && plan_.kind != CrowdKind::SlowReader; }

void CrowdConnection::send()
{
    if (sent_ == request_.size())
        return;
    auto bytes = std::string_view(request_).substr(sent_, pieceBytes());
    socket_.async_write_some(asio::buffer(bytes.data(), bytes.size()),
        [self = shared_from_this(), attempt = attempt_](std::error_code error, size_t length) {
            if (attempt != self->attempt_)
                return;
            if (error) {
                self->reopen();
                return;
            }
            self->sent_ += length;
            self->counts_.sentBytes += length;
            self->sendTimer_.expires_after(self->sendPause());
            self->sendTimer_.async_wait([self, attempt](std::error_code failed) {
                if (!failed && attempt == self->attempt_)
                    self->send();
            });
        });
}

void CrowdConnection::receive()
{
    if (plan_.kind == CrowdKind::Ahead)
        return;
    auto length = plan_.kind == CrowdKind::SlowReader ? slowBytes : readBuffer_.size();
    socket_.async_read_some(asio::buffer(readBuffer_.data(), length),
        [self = shared_from_this(), attempt = attempt_](std::error_code error, size_t received) {
            if (attempt != self->attempt_)
                return;
            if (error) {
                ++self->counts_.closed;
                self->reopen();
                return;
            }
            self->counts_.readBytes += received;
            std::string_view text(self->readBuffer_.data(), received);
            if (text.substr(0, 9) == "HTTP/1.1 " && received > 9 && (text[9] == '4' || text[9] == '5'))
                ++self->counts_.refused;
            self->readTimer_.expires_after(self->reads() ? Milliseconds { 0 } : slowPause);
            self->readTimer_.async_wait([self, attempt](std::error_code failed) {
                if (!failed && attempt == self->attempt_)
                    self->receive();
            });
        });
}

void CrowdConnection::reopen()
{
    ++attempt_;
    std::error_code ignored;
    socket_.close(ignored);
    sendTimer_.expires_after(reopenPause);
    sendTimer_.async_wait([self = shared_from_this(), attempt = attempt_](std::error_code error) {
        if (!error && attempt == self->attempt_)
            self->open();
    });
}

} // namespace shallotdrift::standin
