#include "ConfigurationRelay.h"

#include "ErrorResponses.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallotdrift::internal {

using nlohmann::json;

static constexpr char fromParameter[] = "?from=";
static constexpr char nextOffsetHeader[] = "Configuration-Next-Offset";
static constexpr char ageHeader[] = "Configuration-Age-Ms";
static constexpr char heldHeader[] = "Configuration-Held-Ms";
// A relay whose own reads are short enough confirms its records sooner.
static constexpr Milliseconds renewalAge { 600 };
// A relay counts as in use for this time after a request.
static constexpr Milliseconds useTimeout { 3000 };
// Of the responses to all waiting readers together.
static constexpr size_t maximumResponseBytes = 16 << 20;
static constexpr size_t fewestReaders = 8;
static constexpr size_t mostReaders = 200;
// Longer times in a response are taken as unreadable.
static constexpr uint64_t maximumMilliseconds = 86'400'000;

HttpRequest relayedRecordsRequest(uint64_t from)
{
    return { "GET", fmt::format("{}{}{}", relayPath, fromParameter, from), {}, {}, {} };
}

std::optional<RelayedRecords> parseRelayedRecords(const HttpMessage& response)
{
    auto nextOffset = parseNumber(response.uniqueHeader(nextOffsetHeader), UINT64_MAX);
    auto age = parseNumber(response.uniqueHeader(ageHeader), maximumMilliseconds);
    auto held = parseNumber(response.uniqueHeader(heldHeader), maximumMilliseconds);
    if (response.status != 200 || !nextOffset || !age || !held)
        return std::nullopt;
    RelayedRecords result;
    result.nextOffset = *nextOffset;
    result.age = Milliseconds { static_cast<int64_t>(*age) };
    result.held = Milliseconds { static_cast<int64_t>(*held) };
    try {
        for (const auto& row : json::from_msgpack(response.body)) {
            const auto& value = row.at(1).get_ref<const json::binary_t&>();
            result.records.push_back(
                { row.at(0).get<std::string>(), std::string(value.begin(), value.end()), row.at(2).get<uint64_t>() });
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return result;
}

ConfigurationRelay::ConfigurationRelay(
    NodeContext& context, const OperatorRecordCache& cache, std::function<void()> renew)
    : context_(context)
    , cache_(cache)
    , renew_(std::move(renew))
    , timer_(context.io)
{
}

bool ConfigurationRelay::isRelayRequest(const HttpMessage& head)
{
    return head.method == "GET" && head.target.substr(0, head.target.find('?')) == relayPath;
}

void ConfigurationRelay::handle(const HttpMessage& request, HttpServer::ResponseCallback respond)
{
    auto now = BootClock::now();
    if (context_.configurationAge(now) > renewalAge)
        renew_();
    inUseUntil_ = now + useTimeout;
    auto parameter = request.target.find(fromParameter);
    auto from = parameter == std::string::npos
        ? std::nullopt
        : parseNumber(request.target.substr(parameter + sizeof(fromParameter) - 1), UINT64_MAX);
    if (!from) {
        respond({ 400 });
        return;
    }
    WaitingReader reader { *from, now, std::move(respond) };
    if (waiting_.size() >= maximumReaders()) {
        reader.respond(notRunResponse("too many readers"));
        return;
    }
    if (tryRespond(reader, now))
        return;
    waiting_.push_back(std::move(reader));
    if (waiting_.size() == 1)
        awaitHoldEnd();
}

// A change is sent to all waiting readers at once, each with a copy of its own.
size_t ConfigurationRelay::maximumReaders() const
{
    size_t bytes = 0;
    for (const auto& [key, record] : cache_.records)
        bytes += record.value.size();
    return std::clamp(maximumResponseBytes / std::max<size_t>(bytes, 1), fewestReaders, mostReaders);
}

const std::string& ConfigurationRelay::encodedSince(uint64_t from)
{
    if (encodedFrom_ != from) {
        auto rows = json::array();
        for (const auto& [key, record] : cache_.records)
            if (record.offset >= from)
                rows.push_back({ key, json::binary({ record.value.begin(), record.value.end() }), record.offset });
        auto bytes = json::to_msgpack(rows);
        encoded_.assign(bytes.begin(), bytes.end());
        encodedFrom_ = from;
    }
    return encoded_;
}

bool ConfigurationRelay::tryRespond(const WaitingReader& reader, Instant now)
{
    auto held = std::chrono::duration_cast<Milliseconds>(now - reader.arrivedAt);
    bool complete = context_.configuration && cache_.nextOffset > 0; // all pages of the first read have come
    bool changed = complete && cache_.nextOffset > reader.from;
    bool unconfirmed = complete && cache_.failedReads > 0;
    if (!changed && !unconfirmed && held < holdTime)
        return false;
    if (!complete || unconfirmed) {
        reader.respond(notRunResponse("no confirmed configuration"));
        return true;
    }
    HttpResponse response { 200, encodedSince(reader.from), "application/msgpack" };
    response.headers = { { nextOffsetHeader, std::to_string(cache_.nextOffset) },
        { ageHeader, std::to_string(context_.configurationAge(now).count()) },
        { heldHeader, std::to_string(held.count()) } };
    reader.respond(std::move(response));
    return true;
}

void ConfigurationRelay::onChange()
{
    encodedFrom_.reset();
    auto now = BootClock::now();
    auto waiting = std::move(waiting_);
    waiting_.clear();
    // Readers may have come before the size of the records was known.
    auto limit = maximumReaders();
    for (size_t i = 0; i < waiting.size(); ++i) {
        if (i >= limit)
            waiting[i].respond(notRunResponse("too many readers"));
        else if (!tryRespond(waiting[i], now))
            waiting_.push_back(std::move(waiting[i]));
    }
}

void ConfigurationRelay::awaitHoldEnd()
{
    timer_.expires_after(std::max(Duration {}, waiting_.front().arrivedAt + holdTime - BootClock::now()));
    timer_.async_wait([this](std::error_code error) {
        if (error)
            return;
        auto now = BootClock::now();
        while (!waiting_.empty()) {
            // A response may let the reader's next request in, which is added to the list.
            auto reader = std::move(waiting_.front());
            waiting_.pop_front();
            if (tryRespond(reader, now))
                continue;
            waiting_.push_front(std::move(reader));
            break;
        }
        if (!waiting_.empty())
            awaitHoldEnd();
    });
}

} // namespace shallotdrift::internal
