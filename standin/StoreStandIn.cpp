#include "StoreStandIn.h"

#include "platform/src/ProtocolNames.h"

#include <boost/url/pct_string_view.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallotdrift::standin {

namespace names = platform::names;
using nlohmann::json;

// Number of recent responses kept per partition and producer. A repeated append gets the response of the first append
// as long as that response is kept.
static constexpr size_t recentResponsesKept = 5;
static constexpr size_t itemsPerPage = 500;
static constexpr char keyedPrefix[] = "keyed.";

static HttpResponse jsonResponse(unsigned status, const json& body) { return { status, body.dump() }; }

// Returns the text as it is if it is not percent-encoded correctly.
static std::string decodePercent(std::string_view text)
{
    auto encoded = boost::urls::make_pct_string_view({ text.data(), text.size() });
    return encoded ? encoded->decode() : std::string(text);
}

static std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> query;
    auto mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        auto pair = rest.substr(0, rest.find('&'));
        auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            query[std::string(pair.substr(0, equals))] = decodePercent(pair.substr(equals + 1));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return query;
}

static uint64_t numberParameter(const std::map<std::string, std::string>& query, const char* name)
{
    auto found = query.find(name);
    return found == query.end() ? 0 : parseNumber(found->second, UINT64_MAX).value_or(0);
}

static std::string encodeBigEndian(uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text.push_back(static_cast<char>(value >> shift));
    return text;
}

static std::string encodeBase64(std::string_view bytes)
{
    static constexpr char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t bits = 0;
        for (size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            text.push_back(i + k <= bytes.size() ? letters[bits >> (18 - 6 * k) & 63] : '=');
    }
    return text;
}

StoreStandIn::StoreStandIn(uint32_t partitions)
    : partitions_(partitions)
{
}

StoreStandIn::PartitionLog& StoreStandIn::partitionLog(const Query& query)
{
    auto found = query.find(names::topic);
    const auto& topic = found == query.end() ? std::string() : found->second;
    auto& logs = topics_[topic];
    if (logs.empty())
        logs.resize(partitions_);
    return logs.at(numberParameter(query, names::part) % logs.size());
}

void StoreStandIn::put(const std::string& topic, const std::string& key, const std::string& value)
{
    std::string record = encodeBigEndian(1 + key.size() + value.size(), 4);
    record.push_back(static_cast<char>(key.size()));
    append(partitionLog({ { names::topic, topic } }), topic, record + key + value);
    poll(BootClock::now());
}

// Appends the records of a request's body and returns the body of the response.
std::string StoreStandIn::append(PartitionLog& partition, const std::string& topic, const std::string& body)
{
    auto offset = partition.endOffset();
    std::string_view rest = body;
    while (rest.size() >= 4) {
        size_t length = 0;
        for (int i = 0; i < 4; ++i)
            length = length << 8 | static_cast<unsigned char>(rest[i]);
        auto record = rest.substr(4, length);
        if (topic.rfind(keyedPrefix, 0) == 0 && !record.empty()) {
            size_t keyLength = static_cast<unsigned char>(record[0]);
            std::string key(record.substr(1, keyLength));
            std::string value(record.substr(std::min(record.size(), 1 + keyLength)));
            if (value.empty())
                partition.latest.erase(key);
            else
                partition.latest[key] = { std::move(value), partition.endOffset() };
        }
        partition.records.push_back(std::string(rest.substr(0, 4 + length)));
        rest.remove_prefix(std::min(rest.size(), 4 + length));
    }
    return json { { names::offset, offset }, { names::endOffset, partition.endOffset() } }.dump();
}

// Returns status 200 when the append may proceed. For a repeated append, sets `repeated` and returns the response of
// the first append.
HttpResponse StoreStandIn::checkProducer(PartitionLog& partition, const Query& query, bool& repeated)
{
    auto id = query.find(names::producer);
    if (id == query.end())
        return {};
    auto& producer = partition.producers[id->second];
    auto epoch = numberParameter(query, names::epoch);
    auto sequence = numberParameter(query, names::sequence);
    if (epoch < producer.epoch)
        return jsonResponse(409, { { names::reason, "fenced" } });
    if (epoch > producer.epoch) {
        producer = { epoch, sequence, {} };
        return {};
    }
    for (const auto& [knownSequence, firstResponse] : producer.recentResponses)
        if (knownSequence == sequence) {
            repeated = true;
            return { 200, firstResponse };
        }
    if (sequence != producer.sequence + 1)
        return jsonResponse(409, { { names::reason, "seq" }, { names::sequence, producer.sequence + 1 } });
    producer.sequence = sequence;
    return {};
}

bool StoreStandIn::withinLimits(std::string_view body) const
{
    if (body.size() > limits_.requestBytes)
        return false;
    while (body.size() >= 4) {
        size_t length = 0;
        for (int i = 0; i < 4; ++i)
            length = length << 8 | static_cast<unsigned char>(body[i]);
        if (length > limits_.recordBytes)
            return false;
        body.remove_prefix(std::min(body.size(), 4 + length));
    }
    return true;
}

HttpResponse StoreStandIn::handleAppend(const Query& query, const std::string& body)
{
    if (!withinLimits(body))
        return jsonResponse(400, json::object());
    auto& partition = partitionLog(query);
    auto expected = query.find(names::expectedEnd);
    if (expected != query.end() && numberParameter(query, names::expectedEnd) != partition.endOffset())
        return jsonResponse(412, { { names::endOffset, partition.endOffset() } });
    bool repeated = false;
    auto check = checkProducer(partition, query, repeated);
    if (check.status != 200 || repeated)
        return check;
    HttpResponse response { 200, append(partition, query.at(names::topic), body) };
    if (auto id = query.find(names::producer); id != query.end()) {
        auto& recentResponses = partition.producers[id->second].recentResponses;
        recentResponses.emplace_back(numberParameter(query, names::sequence), response.body);
        if (recentResponses.size() > recentResponsesKept)
            recentResponses.pop_front();
    }
    poll(BootClock::now());
    return response;
}

// Sends a response if records are available, the offset is out of range or the deadline is reached. Returns whether a
// response has been sent.
bool StoreStandIn::tryRead(const PendingRead& pending, bool deadlineReached)
{
    auto& partition = partitionLog({ { names::topic, pending.topic }, { names::part, std::to_string(pending.part) } });
    if (pending.from < partition.firstOffset) {
        pending.respond(jsonResponse(410, { { names::firstOffset, partition.firstOffset } }));
        return true;
    }
    if (pending.from >= partition.endOffset() && !deadlineReached)
        return false;
    HttpResponse response { 200, encodeBigEndian(partition.endOffset(), 8) + encodeBigEndian(partition.firstOffset, 8),
        "application/octet-stream" };
    for (auto offset = pending.from; offset < partition.endOffset(); ++offset)
        response.body += partition.records[offset - partition.firstOffset];
    sendRead(std::move(response), pending.respond);
    return true;
}

void StoreStandIn::sendRead(HttpResponse&& response, const HttpServer::ResponseCallback& respond)
{
    if (limits_.readBytesPerSecond == 0) {
        respond(std::move(response));
        return;
    }
    advanceTransfers(BootClock::now());
    auto bytes = static_cast<double>(response.body.size());
    transfers_.push_back({ bytes, std::move(response), respond });
}

void StoreStandIn::advanceTransfers(Instant now)
{
    auto seconds = std::chrono::duration<double>(now - transfersAdvancedAt_).count();
    transfersAdvancedAt_ = now;
    if (transfers_.empty())
        return;
    auto share = seconds * static_cast<double>(limits_.readBytesPerSecond) / static_cast<double>(transfers_.size());
    auto transfers = std::move(transfers_);
    transfers_.clear();
    for (auto& transfer : transfers) {
        transfer.remainingBytes -= share;
        if (transfer.remainingBytes > 0)
            transfers_.push_back(std::move(transfer));
        else
            transfer.respond(std::move(transfer.response));
    }
}

HttpResponse StoreStandIn::latestRecords(const Query& query)
{
    auto& partition = partitionLog(query);
    auto after = query.find(names::after);
    auto item = after == query.end() ? partition.latest.begin() : partition.latest.upper_bound(after->second);
    auto items = json::array();
    for (; item != partition.latest.end() && items.size() < itemsPerPage; ++item)
        items.push_back({ { names::key, item->first }, { names::value, encodeBase64(item->second.first) },
            { names::offset, item->second.second } });
    return jsonResponse(200,
        { { names::items, std::move(items) }, { names::hasMore, item != partition.latest.end() },
            { names::endOffset, partition.endOffset() } });
}

// Assigns the partitions to the members round-robin. A partition whose owner is still a member moves only when that
// owner joins again with the new generation, so that two members never own it at once.
void StoreStandIn::rebalance(Group& group)
{
    ++group.generation;
    std::set<std::string> topics;
    for (const auto& [id, member] : group.members)
        topics.insert(member.topics.begin(), member.topics.end());
    group.targetOwners.clear();
    auto next = group.members.begin();
    for (const auto& topic : topics)
        for (uint32_t part = 0; part < partitions_ && !group.members.empty(); ++part) {
            if (next == group.members.end())
                next = group.members.begin();
            group.targetOwners[{ topic, part }] = next->first;
            auto& owner = group.owners[{ topic, part }];
            if (group.members.count(owner) == 0)
                owner = next->first;
            ++next;
        }
}

HttpResponse StoreStandIn::join(const std::string& body)
{
    auto request = json::parse(body);
    auto& group = groups_[request.at(names::group)];
    std::string id = request.at(names::member);
    bool known = group.members.count(id) != 0;
    auto& member = group.members[id];
    member.topics = request.at(names::topicList).get<std::set<std::string>>();
    member.timeToLive = Milliseconds { request.at(names::timeToLive).get<int64_t>() };
    member.expires = BootClock::now() + member.timeToLive;
    if (!known)
        rebalance(group);
    bool current = request.at(names::generation).get<uint64_t>() == group.generation;
    auto parts = json::array();
    for (auto& [topicPartition, owner] : group.owners) {
        const auto& targetOwner = group.targetOwners[topicPartition];
        if (owner == id && targetOwner != id && current)
            owner = targetOwner; // an earlier response of this generation has revoked the partition
        if (owner == id && targetOwner == id)
            parts.push_back(json::array({ topicPartition.first, topicPartition.second, 0 }));
    }
    return jsonResponse(200, { { names::generation, group.generation }, { names::partitions, std::move(parts) } });
}

HttpResponse StoreStandIn::leave(const std::string& body)
{
    auto request = json::parse(body);
    auto& group = groups_[request.at(names::group)];
    if (group.members.erase(request.at(names::member)) != 0)
        rebalance(group);
    return jsonResponse(200, json::object());
}

HttpResponse StoreStandIn::owners(const Query& query)
{
    auto rows = json::array();
    for (const auto& [topicPartition, owner] : groups_[query.at(names::group)].owners)
        rows.push_back(json::array({ topicPartition.first, topicPartition.second, owner, 0 }));
    return jsonResponse(200, { { names::partitions, std::move(rows) } });
}

void StoreStandIn::poll(Instant now)
{
    for (auto& [name, group] : groups_) {
        size_t before = group.members.size();
        for (auto item = group.members.begin(); item != group.members.end();)
            item = item->second.expires < now ? group.members.erase(item) : std::next(item);
        if (group.members.size() != before)
            rebalance(group);
    }
    advanceTransfers(now);
    auto pending = std::move(pendingReads_);
    pendingReads_.clear();
    for (auto& entry : pending)
        if (!tryRead(entry, entry.deadline <= now))
            pendingReads_.push_back(std::move(entry));
}

void StoreStandIn::handle(const HttpMessage& request, HttpServer::ResponseCallback respond)
{
    if (faults_.down) {
        respond({ 503 });
        return;
    }
    auto query = parseQuery(request.target);
    auto path = request.target.substr(0, request.target.find('?'));
    if (path == names::logAppendPath) {
        auto response = handleAppend(query, request.body);
        if (faults_.dropResponseEvery == 0 || ++appends_ % faults_.dropResponseEvery != 0)
            respond(std::move(response));
    } else if (path == names::logReadPath) {
        PendingRead pending { query[names::topic], static_cast<uint32_t>(numberParameter(query, names::part)),
            numberParameter(query, names::from),
            BootClock::now() + Milliseconds { static_cast<int64_t>(numberParameter(query, names::wait)) },
            std::move(respond) };
        if (!tryRead(pending, pending.deadline <= BootClock::now()))
            pendingReads_.push_back(std::move(pending));
    } else if (path == names::logNewestPath)
        sendRead(latestRecords(query), respond);
    else if (path == names::logJoinPath)
        respond(join(request.body));
    else if (path == names::logLeavePath)
        respond(leave(request.body));
    else if (path == names::logOwnersPath)
        respond(owners(query));
    else
        respond({ 404 });
}

} // namespace shallotdrift::standin
