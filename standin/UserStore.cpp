#include "UserStore.h"

#include "platform/src/Names.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallotdrift::standin {

namespace names = platform::names;
using nlohmann::json;

// A repeated append is answered like the first one as long as it is among the newest.
static constexpr size_t rememberedAppends = 5;
static constexpr size_t pageItems = 500;
static constexpr char keyedPrefix[] = "keyed.";

static HttpResponse answer(unsigned status, const json& body) { return { status, body.dump() }; }

static std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> query;
    auto mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        auto pair = rest.substr(0, rest.find('&'));
        auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            query[std::string(pair.substr(0, equals))] = pair.substr(equals + 1);
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return query;
}

static uint64_t number(const std::map<std::string, std::string>& query, const char* name)
{
    auto found = query.find(name);
    return found == query.end() ? 0 : parseNumber(found->second, UINT64_MAX).value_or(0);
}

static std::string bigEndian(uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text.push_back(static_cast<char>(value >> shift));
    return text;
}

static std::string base64(std::string_view bytes)
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

UserStore::UserStore(uint32_t partitions)
    : partitions_(partitions)
{
}

UserStore::PartitionLog& UserStore::log(const Query& query)
{
    auto found = query.find(names::topic);
    const auto& topic = found == query.end() ? std::string() : found->second;
    auto& logs = topics_[topic];
    if (logs.empty())
        logs.resize(partitions_);
    return logs.at(number(query, names::part) % logs.size());
}

void UserStore::put(const std::string& topic, const std::string& key, const std::string& value)
{
    std::string record = bigEndian(1 + key.size() + value.size(), 4);
    record.push_back(static_cast<char>(key.size()));
    append(log({ { names::topic, topic } }), topic, record + key + value);
    poll(BootClock::now());
}

// Takes the records of a call's body and returns the answer to it.
std::string UserStore::append(PartitionLog& partition, const std::string& topic, const std::string& body)
{
    auto offset = partition.end();
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
                partition.newest.erase(key);
            else
                partition.newest[key] = { std::move(value), partition.end() };
        }
        partition.records.push_back(std::string(rest.substr(0, 4 + length)));
        rest.remove_prefix(std::min(rest.size(), 4 + length));
    }
    return json { { names::offset, offset }, { names::endOffset, partition.end() } }.dump();
}

// Status 200 when the append may be made; a repeated one carries its first answer.
HttpResponse UserStore::checkProducer(PartitionLog& partition, const Query& query, bool& repeated)
{
    auto id = query.find(names::producer);
    if (id == query.end())
        return {};
    auto& producer = partition.producers[id->second];
    auto epoch = number(query, names::epoch);
    auto sequence = number(query, names::sequence);
    if (epoch < producer.epoch)
        return answer(409, { { names::reason, "fenced" } });
    if (epoch > producer.epoch) {
        producer = { epoch, sequence, {} };
        return {};
    }
    for (const auto& [known, first] : producer.answers)
        if (known == sequence) {
            repeated = true;
            return { 200, first };
        }
    if (sequence != producer.sequence + 1)
        return answer(409, { { names::reason, "seq" }, { names::sequence, producer.sequence + 1 } });
    producer.sequence = sequence;
    return {};
}

HttpResponse UserStore::appendCall(const Query& query, const std::string& body)
{
    auto& partition = log(query);
    auto expected = query.find(names::expectedEnd);
    if (expected != query.end() && number(query, names::expectedEnd) != partition.end())
        return answer(412, { { names::endOffset, partition.end() } });
    bool repeated = false;
    auto check = checkProducer(partition, query, repeated);
    if (check.status != 200 || repeated)
        return check;
    HttpResponse response { 200, append(partition, query.at(names::topic), body) };
    if (auto id = query.find(names::producer); id != query.end()) {
        auto& answers = partition.producers[id->second].answers;
        answers.emplace_back(number(query, names::sequence), response.body);
        if (answers.size() > rememberedAppends)
            answers.pop_front();
    }
    poll(BootClock::now());
    return response;
}

// True when the read is answered: records are there, it is wrong, or it is the last moment.
bool UserStore::read(const Waiting& waiting, bool last)
{
    auto& partition = log({ { names::topic, waiting.topic }, { names::part, std::to_string(waiting.part) } });
    if (waiting.from < partition.first) {
        waiting.reply(answer(410, { { names::firstOffset, partition.first } }));
        return true;
    }
    if (waiting.from >= partition.end() && !last)
        return false;
    HttpResponse response { 200, bigEndian(partition.end(), 8) + bigEndian(partition.first, 8),
        "application/octet-stream" };
    for (auto offset = waiting.from; offset < partition.end(); ++offset)
        response.body += partition.records[offset - partition.first];
    waiting.reply(std::move(response));
    return true;
}

HttpResponse UserStore::newest(const Query& query)
{
    auto& partition = log(query);
    auto after = query.find(names::after);
    auto item = after == query.end() ? partition.newest.begin() : partition.newest.upper_bound(after->second);
    auto items = json::array();
    for (; item != partition.newest.end() && items.size() < pageItems; ++item)
        items.push_back({ { names::key, item->first }, { names::value, base64(item->second.first) },
            { names::offset, item->second.second } });
    return answer(200,
        { { names::items, std::move(items) }, { names::more, item != partition.newest.end() },
            { names::endOffset, partition.end() } });
}

// Gives each partition to a member in turn. One that has an owner moves when the owner has joined again.
void UserStore::deal(Group& group)
{
    ++group.generation;
    std::set<std::string> topics;
    for (const auto& [id, member] : group.members)
        topics.insert(member.topics.begin(), member.topics.end());
    group.wanted.clear();
    auto next = group.members.begin();
    for (const auto& topic : topics)
        for (uint32_t part = 0; part < partitions_ && !group.members.empty(); ++part) {
            if (next == group.members.end())
                next = group.members.begin();
            group.wanted[{ topic, part }] = next->first;
            auto& owner = group.owners[{ topic, part }];
            if (group.members.count(owner) == 0)
                owner = next->first;
            ++next;
        }
}

HttpResponse UserStore::join(const std::string& body)
{
    auto call = json::parse(body);
    auto& group = groups_[call.at(names::group)];
    std::string id = call.at(names::member);
    bool known = group.members.count(id) != 0;
    auto& member = group.members[id];
    member.topics = call.at(names::topicList).get<std::set<std::string>>();
    member.timeToLive = Milliseconds { call.at(names::timeToLive).get<int64_t>() };
    member.expires = BootClock::now() + member.timeToLive;
    if (!known)
        deal(group);
    bool current = call.at(names::generation).get<uint64_t>() == group.generation;
    auto parts = json::array();
    for (auto& [slot, owner] : group.owners) {
        const auto& wanted = group.wanted[slot];
        if (owner == id && wanted != id && current)
            owner = wanted; // it has been told with this generation that the partition moves
        if (owner == id && wanted == id)
            parts.push_back(json::array({ slot.first, slot.second, 0 }));
    }
    return answer(200, { { names::generation, group.generation }, { names::partitions, std::move(parts) } });
}

HttpResponse UserStore::leave(const std::string& body)
{
    auto call = json::parse(body);
    auto& group = groups_[call.at(names::group)];
    if (group.members.erase(call.at(names::member)) != 0)
        deal(group);
    return answer(200, json::object());
}

HttpResponse UserStore::owners(const Query& query)
{
    auto rows = json::array();
    for (const auto& [slot, owner] : groups_[query.at(names::group)].owners)
        rows.push_back(json::array({ slot.first, slot.second, owner, 0 }));
    return answer(200, { { names::partitions, std::move(rows) } });
}

void UserStore::poll(Instant now)
{
    for (auto& [name, group] : groups_) {
        size_t before = group.members.size();
        for (auto item = group.members.begin(); item != group.members.end();)
            item = item->second.expires < now ? group.members.erase(item) : std::next(item);
        if (group.members.size() != before)
            deal(group);
    }
    auto waiting = std::move(waiting_);
    waiting_.clear();
    for (auto& entry : waiting)
        if (!read(entry, entry.until <= now))
            waiting_.push_back(std::move(entry));
}

void UserStore::handle(const HttpMessage& request, HttpServer::ResponseCallback reply)
{
    if (faults_.down) {
        reply({ 503 });
        return;
    }
    auto query = parseQuery(request.target);
    auto path = request.target.substr(0, request.target.find('?'));
    if (path == names::logAppend) {
        auto response = appendCall(query, request.body);
        if (faults_.loseEvery == 0 || ++appends_ % faults_.loseEvery != 0)
            reply(std::move(response));
    } else if (path == names::logRead) {
        Waiting waiting { query[names::topic], static_cast<uint32_t>(number(query, names::part)),
            number(query, names::from),
            BootClock::now() + Milliseconds { static_cast<int64_t>(number(query, names::wait)) }, std::move(reply) };
        if (!read(waiting, waiting.until <= BootClock::now()))
            waiting_.push_back(std::move(waiting));
    } else if (path == names::logNewest)
        reply(newest(query));
    else if (path == names::logJoin)
        reply(join(request.body));
    else if (path == names::logLeave)
        reply(leave(request.body));
    else if (path == names::logOwners)
        reply(owners(query));
    else
        reply({ 404 });
}

} // namespace shallotdrift::standin
