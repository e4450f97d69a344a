#include "trial.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace trial {

static const Instant trialStart = Clock::now();
static std::mutex recordMutex;
static FILE* recordFile = nullptr;

int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

double elapsedSeconds() { return std::chrono::duration<double>(Clock::now() - trialStart).count(); }

void openRecord(const std::string& path) { recordFile = fopen(path.c_str(), "w"); }

void record(const std::string& line)
{
    std::lock_guard<std::mutex> lock(recordMutex);
    if (recordFile) {
        fprintf(recordFile, "%9.3f %s\n", elapsedSeconds(), line.c_str());
        fflush(recordFile);
    }
}

// HTTP

static std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return tolower(c); });
    return text;
}

// Reads one message. The first line is stored in `first`. False at the end of the stream, after an error or when `stop`
// returns true while nothing arrives.
static bool readMessage(int descriptor, std::string& buffer, std::string& first,
    std::map<std::string, std::string>& headers, std::string& body, const std::function<bool()>& stop)
{
    size_t headEnd = std::string::npos;
    size_t length = 0;
    headers.clear();
    for (;;) {
        if (headEnd == std::string::npos) {
            headEnd = buffer.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                std::istringstream lines(buffer.substr(0, headEnd));
                std::getline(lines, first);
                if (!first.empty() && first.back() == '\r')
                    first.pop_back();
                std::string line;
                while (std::getline(lines, line)) {
                    if (!line.empty() && line.back() == '\r')
                        line.pop_back();
                    auto colon = line.find(':');
                    if (colon == std::string::npos)
                        continue;
                    auto value = line.substr(colon + 1);
                    value.erase(0, value.find_first_not_of(' '));
                    headers[lower(line.substr(0, colon))] = value;
                }
                auto found = headers.find("content-length");
                length = found == headers.end() ? 0 : std::stoul(found->second);
            }
        }
        if (headEnd != std::string::npos && buffer.size() >= headEnd + 4 + length) {
            body = buffer.substr(headEnd + 4, length);
            buffer.erase(0, headEnd + 4 + length);
            return true;
        }
        pollfd waiting { descriptor, POLLIN, 0 };
        int ready = ::poll(&waiting, 1, 50);
        if (stop())
            return false;
        if (ready <= 0)
            continue;
        char bytes[65536];
        auto count = ::recv(descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<size_t>(count));
    }
}

static bool writeAll(int descriptor, const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        auto count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

static void setNoDelay(int descriptor)
{
    int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

Server::Server(int port, Handler handler)
    : handler_(std::move(handler))
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || ::listen(listener_, 256) != 0) {
        fprintf(stderr, "cannot listen on port %d\n", port);
        exit(2);
    }
    thread_ = std::thread([this] { accept(); });
}

Server::~Server()
{
    stopping_ = true;
    thread_.join();
    ::close(listener_);
    std::unique_lock<std::mutex> lock(mutex_);
    idle_.wait(lock, [this] { return connections_.empty(); });
}

void Server::setDark(bool dark) { dark_ = dark; }

void Server::resetConnections()
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (int descriptor : connections_) {
        linger reset { 1, 0 };
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

// Whether the peer has closed the connection.
static bool isClosed(int descriptor)
{
    char byte;
    errno = 0;
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0
        || (errno != EAGAIN && errno != EWOULDBLOCK && errno != 0);
}

void Server::accept()
{
    while (!stopping_) {
        pollfd waiting { listener_, POLLIN, 0 };
        if (::poll(&waiting, 1, 50) <= 0)
            continue;
        int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        setNoDelay(descriptor);
        std::lock_guard<std::mutex> lock(mutex_);
        connections_.insert(descriptor);
        std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
}

void Server::waitUntilClosed(int descriptor)
{
    while (!stopping_ && !isClosed(descriptor))
        sleepFor(5);
}

void Server::serve(int descriptor)
{
    std::string buffer;
    std::string first;
    Request request;
    auto stop = [this] { return stopping_.load(); };
    while (readMessage(descriptor, buffer, first, request.headers, request.body, stop)) {
        if (dark_) {
            waitUntilClosed(descriptor);
            break;
        }
        std::istringstream line(first);
        line >> request.method >> request.target;
        auto response = handler_(request);
        if (dark_)
            waitUntilClosed(descriptor);
        if (dark_ || response.silent)
            break;
        auto bytes = "HTTP/1.1 " + std::to_string(response.status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
            + "\r\n\r\n" + response.body;
        if (!writeAll(descriptor, bytes))
            break;
    }
    std::lock_guard<std::mutex> lock(mutex_);
    ::close(descriptor);
    connections_.erase(descriptor);
    idle_.notify_all();
}

Response call(int port, const Request& request, int timeoutMilliseconds)
{
    Response response;
    response.status = 0;
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        setNoDelay(descriptor);
        std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : request.headers)
            bytes += name + ": " + value + "\r\n";
        if (!request.body.empty())
            bytes += "Content-Type: application/json\r\n";
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
        auto deadline = after(timeoutMilliseconds);
        std::string buffer;
        std::string first;
        std::map<std::string, std::string> headers;
        if (writeAll(descriptor, bytes)
            && readMessage(descriptor, buffer, first, headers, response.body, [&] { return Clock::now() > deadline; })
            && first.size() > 12)
            response.status = std::stoi(first.substr(9, 3));
    }
    ::close(descriptor);
    return response;
}

// Store

static constexpr int partitionCount = 24;
static constexpr size_t recordBytes = 262144;
static constexpr size_t requestBytes = 2097152;
static constexpr size_t pageItems = 500;

static std::string bigEndian(uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text.push_back(static_cast<char>(value >> shift));
    return text;
}

static std::string base64(const std::string& bytes)
{
    static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
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

static std::string unescape(const std::string& text)
{
    std::string plain;
    for (size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && i + 2 < text.size()) {
            plain.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else
            plain.push_back(text[i]);
    return plain;
}

static std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> query;
    auto mark = target.find('?');
    if (mark == std::string::npos)
        return query;
    std::istringstream pairs(target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        auto equals = pair.find('=');
        if (equals != std::string::npos)
            query[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
    }
    return query;
}

static uint64_t numberIn(const std::map<std::string, std::string>& query, const char* name)
{
    auto found = query.find(name);
    return found == query.end() ? 0 : std::stoull(found->second);
}

Store::Store(int port)
    : server_(std::make_unique<Server>(port, [this](const Request& request) { return handle(request); }))
{
}

Store::Partition& Store::partition(const std::string& topic, int number) { return partitions_[{ topic, number }]; }

std::string Store::appendRecords(const std::string& topic, Partition& target, const std::string& body)
{
    auto offset = target.records.size();
    for (size_t at = 0; at + 4 <= body.size();) {
        size_t length = 0;
        for (int i = 0; i < 4; ++i)
            length = length << 8 | static_cast<unsigned char>(body[at + static_cast<size_t>(i)]);
        auto content = body.substr(at + 4, length);
        if (topic.rfind("keyed.", 0) == 0 && !content.empty()) {
            size_t keyLength = static_cast<unsigned char>(content[0]);
            auto key = content.substr(1, keyLength);
            auto value = content.substr(1 + keyLength);
            if (value.empty())
                target.newest.erase(key);
            else
                target.newest[key] = { value, target.records.size() };
        }
        target.records.push_back(body.substr(at, 4 + length));
        at += 4 + length;
    }
    changed_.notify_all();
    return Json { { "Offset", offset }, { "EndOffset", target.records.size() } }.dump();
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto content = std::string(1, static_cast<char>(key.size())) + key + value;
    appendRecords(topic, partition(topic, 0), bigEndian(content.size(), 4) + content);
}

void Store::erase(const std::string& topic, const std::string& key) { put(topic, key, {}); }

Response Store::append(const std::map<std::string, std::string>& query, const std::string& body)
{
    auto topic = query.at("Topic");
    auto number = static_cast<int>(numberIn(query, "part"));
    auto& target = partition(topic, number);
    if (body.size() > requestBytes)
        return { 413, Json { { "Reason", "size" } }.dump() };
    for (size_t at = 0; at + 4 <= body.size();) {
        size_t length = 0;
        for (int i = 0; i < 4; ++i)
            length = length << 8 | static_cast<unsigned char>(body[at + static_cast<size_t>(i)]);
        if (length > recordBytes) {
            record("store: append refused, a record of " + std::to_string(length) + " bytes");
            return { 413, Json { { "Reason", "size" } }.dump() };
        }
        at += 4 + length;
    }
    if (query.count("At") != 0 && numberIn(query, "At") != target.records.size())
        return { 412, Json { { "EndOffset", target.records.size() } }.dump() };
    auto id = query.find("ProducerId");
    if (id == query.end())
        return { 200, appendRecords(topic, target, body) };
    auto& producer = target.producers[id->second];
    auto epoch = numberIn(query, "epoch");
    auto sequence = numberIn(query, "Sequence");
    if (epoch < producer.epoch)
        return { 409, Json { { "Reason", "fenced" } }.dump() };
    if (epoch > producer.epoch)
        producer = { epoch, sequence, {} };
    for (const auto& [known, first] : producer.recent)
        if (known == sequence)
            return { 200, first };
    if (sequence != producer.next)
        return { 409, Json { { "Reason", "seq" }, { "Sequence", producer.next } }.dump() };
    if (topic == "keyed.jobs" && number != 0)
        jobsPartition_ = number;
    auto answer = appendRecords(topic, target, body);
    producer.next = sequence + 1;
    producer.recent.emplace_back(sequence, answer);
    if (producer.recent.size() > 5)
        producer.recent.pop_front();
    return { 200, answer };
}

Response Store::read(std::unique_lock<std::mutex>& lock, const std::map<std::string, std::string>& query)
{
    auto& source = partition(query.at("Topic"), static_cast<int>(numberIn(query, "part")));
    auto from = numberIn(query, "From");
    changed_.wait_until(
        lock, after(static_cast<int64_t>(numberIn(query, "WaitMs"))), [&] { return source.records.size() > from; });
    Response response { 200, bigEndian(source.records.size(), 8) + bigEndian(0, 8) };
    for (auto offset = from; offset < source.records.size() && response.body.size() < 1000000; ++offset)
        response.body += source.records[offset];
    return response;
}

Response Store::newest(const std::map<std::string, std::string>& query)
{
    auto& source = partition(query.at("Topic"), static_cast<int>(numberIn(query, "part")));
    auto last = query.find("After");
    auto item = last == query.end() ? source.newest.begin() : source.newest.upper_bound(last->second);
    auto items = Json::array();
    size_t bytes = 0;
    for (; item != source.newest.end() && items.size() < pageItems && bytes < 1000000; ++item) {
        items.push_back(
            { { "Key", item->first }, { "Value", base64(item->second.first) }, { "Offset", item->second.second } });
        bytes += item->second.first.size() * 4 / 3;
    }
    return { 200,
        Json { { "items", items }, { "HasMore", item != source.newest.end() }, { "EndOffset", source.records.size() } }
            .dump() };
}

// Deals all partitions evenly, from the member on that follows the one that was first the last time. A partition of a
// member stays with it until it joins with the new generation.
void Store::deal(Group& group)
{
    ++group.generation;
    changed_.notify_all();
    std::set<std::string> topics;
    for (const auto& [id, member] : group.members)
        topics.insert(member.topics.begin(), member.topics.end());
    group.targets.clear();
    auto next = group.members.upper_bound(group.first);
    if (next == group.members.end())
        next = group.members.begin();
    group.first = next == group.members.end() ? std::string() : next->first;
    for (const auto& topic : topics)
        for (int number = 0; number < partitionCount && !group.members.empty(); ++number) {
            if (next == group.members.end())
                next = group.members.begin();
            group.targets[{ topic, number }] = next->first;
            auto& owner = group.owners[{ topic, number }];
            if (group.members.count(owner) == 0)
                owner = next->first;
            ++next;
        }
}

Response Store::join(const Json& request)
{
    auto& group = groups_[request.at("group")];
    std::string id = request.at("MemberId");
    bool known = group.members.count(id) != 0;
    auto& member = group.members[id];
    member.topics = request.at("Topics").get<std::vector<std::string>>();
    member.expires = after(request.at("TtlMs").get<int64_t>());
    if (!known)
        deal(group);
    bool current = request.at("Generation").get<uint64_t>() == group.generation;
    auto parts = Json::array();
    for (auto& [part, owner] : group.owners) {
        const auto& target = group.targets[part];
        if (owner == id && target != id && current)
            owner = target;
        if (owner == id && target == id)
            parts.push_back(Json::array({ part.first, part.second, 0 }));
    }
    return { 200, Json { { "Generation", group.generation }, { "parts", parts } }.dump() };
}

Response Store::leave(const Json& request)
{
    auto& group = groups_[request.at("group")];
    if (group.members.erase(request.at("MemberId")) != 0)
        deal(group);
    return { 200, "{}" };
}

Response Store::owners(const std::string& name)
{
    auto rows = Json::array();
    for (const auto& [part, owner] : groups_[name].owners)
        rows.push_back(Json::array({ part.first, part.second, owner, 0 }));
    return { 200, Json { { "owners", rows } }.dump() };
}

std::string Store::ownerOfJobs() { return ownerOf(jobsPartition_); }

std::string Store::ownerOf(int number)
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [name, group] : groups_)
        for (const auto& [part, owner] : group.owners)
            if (part.first == "keyed.jobs" && part.second == number)
                return owner;
    return {};
}

void Store::setDown(bool down)
{
    std::lock_guard<std::mutex> lock(mutex_);
    record(down ? "the store is down" : "the store is back");
    if (down)
        downSince_ = Clock::now();
    else
        for (auto& [name, group] : groups_)
            for (auto& [id, member] : group.members)
                member.expires += Clock::now() - downSince_;
    down_ = down;
}

void Store::tick()
{
    std::lock_guard<std::mutex> lock(mutex_);
    if (down_)
        return;
    auto now = Clock::now();
    for (auto& [name, group] : groups_) {
        bool lost = false;
        for (auto item = group.members.begin(); item != group.members.end();) {
            bool expired = item->second.expires < now;
            lost = lost || expired;
            item = expired ? group.members.erase(item) : std::next(item);
        }
        if (lost)
            deal(group);
    }
}

Response Store::handle(const Request& request)
{
    auto query = queryOf(request.target);
    auto path = request.target.substr(0, request.target.find('?'));
    std::unique_lock<std::mutex> lock(mutex_);
    if (down_)
        return { 503, "{}" };
    if (path == "/shallotdrift/log-append")
        return append(query, request.body);
    if (path == "/shallotdrift/log-read")
        return read(lock, query);
    if (path == "/shallotdrift/log-newest")
        return newest(query);
    if (path == "/shallotdrift/log-owners")
        return owners(query["group"]);
    auto body = Json::parse(request.body, nullptr, false);
    if (path == "/shallotdrift/log-join")
        return join(body);
    if (path == "/shallotdrift/log-leave")
        return leave(body);
    return { 404, "{}" };
}

// Ledger

size_t Ledger::started(const std::string& task, uint64_t run, const std::string& worker)
{
    std::lock_guard<std::mutex> lock(mutex_);
    RunRecord entry;
    entry.task = task;
    entry.run = run;
    entry.worker = worker;
    entry.start = elapsedSeconds();
    runs_.push_back(entry);
    return runs_.size() - 1;
}

void Ledger::ended(size_t index, const std::string& how)
{
    std::lock_guard<std::mutex> lock(mutex_);
    runs_[index].end = elapsedSeconds();
    runs_[index].how = how;
}

void Ledger::noted(size_t index, bool lapsedBetween)
{
    std::lock_guard<std::mutex> lock(mutex_);
    runs_[index].noted = true;
    runs_[index].lapsedBetween = lapsedBetween;
}

std::vector<std::string> Ledger::twice()
{
    std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, std::vector<const RunRecord*>> byTask;
    for (const auto& run : runs_)
        byTask[run.task].push_back(&run);
    std::vector<std::string> broken;
    auto text = [](const RunRecord& run) {
        char bytes[300];
        snprintf(bytes, sizeof bytes, "run %llu on %s, %.3f s to %.3f s %s%s", static_cast<unsigned long long>(run.run),
            run.worker.c_str(), run.start, run.end, run.how.empty() ? "running" : run.how.c_str(),
            run.noted ? ", noted" : "");
        return std::string(bytes);
    };
    for (const auto& [task, runs] : byTask) {
        std::string why;
        for (size_t i = 0; i < runs.size() && why.empty(); ++i)
            for (size_t k = i + 1; k < runs.size() && why.empty(); ++k) {
                const auto& first = *runs[i];
                const auto& second = *runs[k];
                if (first.end < 0 || second.start < first.end)
                    why = "two runs at the same time: ";
                else if (first.how == "done" && first.noted && !first.lapsedBetween)
                    why = "a start after a noted end done: ";
                if (!why.empty())
                    why += text(first) + "; " + text(second);
            }
        if (!why.empty())
            broken.push_back(task + ": " + why);
    }
    return broken;
}

size_t Ledger::starts()
{
    std::lock_guard<std::mutex> lock(mutex_);
    return runs_.size();
}

size_t Ledger::running()
{
    std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<size_t>(std::count_if(runs_.begin(), runs_.end(), [](const auto& run) { return run.end < 0; }));
}

size_t Ledger::doneOf(const std::string& job)
{
    std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<size_t>(std::count_if(runs_.begin(), runs_.end(),
        [&](const auto& run) { return run.how == "done" && run.task.compare(0, job.size(), job) == 0; }));
}

bool Ledger::began(const std::string& job)
{
    std::lock_guard<std::mutex> lock(mutex_);
    return std::any_of(
        runs_.begin(), runs_.end(), [&](const auto& run) { return run.task.compare(0, job.size(), job) == 0; });
}

void Ledger::write()
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& run : runs_) {
        char bytes[300];
        snprintf(bytes, sizeof bytes, "run %s %llu worker=%s start=%.3f end=%.3f how=%s noted=%d", run.task.c_str(),
            static_cast<unsigned long long>(run.run), run.worker.c_str(), run.start, run.end,
            run.how.empty() ? "-" : run.how.c_str(), run.noted ? 1 : 0);
        record(bytes);
    }
}

// Worker

static constexpr int64_t longestLease = 10000;
static constexpr int64_t stopMilliseconds = 200; // a stop takes at most StopMs, 900 in the settings
static constexpr double clockRate = 0.99; // a worker's clock may be 2% slow

static int64_t valueIn(const std::string& spec, const char* name, int64_t otherwise)
{
    auto found = spec.find(name);
    return found == std::string::npos ? otherwise : std::atoll(spec.c_str() + found + strlen(name));
}

Worker::Worker(std::string id, std::string machine, std::string kind, int port, int cpu, std::string service,
    Store& store, Ledger& ledger)
    : id_(std::move(id))
    , machine_(std::move(machine))
    , kind_(std::move(kind))
    , port_(port)
    , cpu_(cpu)
    , service_(std::move(service))
    , store_(store)
    , ledger_(ledger)
    , born_(unixMilliseconds())
    , bornAt_(Clock::now())
{
    server_ = std::make_unique<Server>(port, [this](const Request& request) { return handle(request); });
    ticker_ = std::thread([this] {
        while (!stopping_) {
            tick();
            sleepFor(3);
        }
    });
    heartbeat();
}

Worker::~Worker()
{
    stopping_ = true;
    changed_.notify_all();
    ticker_.join();
    server_.reset();
}

int64_t Worker::clock() const
{
    return 100000
        + static_cast<int64_t>(clockRate * std::chrono::duration<double, std::milli>(Clock::now() - bornAt_).count());
}

void Worker::heartbeat()
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (!up_)
        return;
    Json entry { { "Service", service_ }, { "Address", "127.0.0.1:" + std::to_string(port_) }, { "Zone", "a" },
        { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" }, { "ColdRemainingMs", 0 }, { "Machine", machine_ },
        { "Capacity", { { "Cpu", cpu_ }, { "MemMb", 65536 }, { "Gpu", 0 } } }, { "Labels", { kind_, "r1-1" } },
        { "ClockMs", clock() }, { "Sequence", ++sequence_ }, { "born", born_ } };
    lock.unlock();
    store_.put("keyed.servers", id_, entry.dump());
}

void Worker::crash()
{
    std::lock_guard<std::mutex> lock(mutex_);
    record("worker " + id_ + " ends at once, runs lost: " + std::to_string(runs_.size()));
    up_ = false;
    server_->setDark(true);
    for (const auto& [task, run] : runs_)
        ledger_.ended(run.index, "crashed");
    runs_.clear();
    ends_.clear();
    ++life_;
    changed_.notify_all();
}

void Worker::restart()
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        highest_.clear();
        fence_ = 0;
        leaseEnd_ = 0;
        sequence_ = 0;
        lastEnd_ = 0;
        born_ = unixMilliseconds();
        bornAt_ = Clock::now();
        up_ = true;
        record("worker " + id_ + " starts again, born " + std::to_string(born_));
    }
    heartbeat();
    server_->resetConnections();
    server_->setDark(false);
}

size_t Worker::unnotedEnds()
{
    std::lock_guard<std::mutex> lock(mutex_);
    return ends_.size();
}

size_t Worker::running()
{
    std::lock_guard<std::mutex> lock(mutex_);
    return runs_.size();
}

int Worker::freeCpu()
{
    std::lock_guard<std::mutex> lock(mutex_);
    int used = 0;
    for (const auto& [task, run] : runs_)
        used += run.cpu;
    return cpu_ - used;
}

void Worker::cut(bool isCut)
{
    record("worker " + id_ + (isCut ? " is cut off" : " is reached again"));
    server_->setDark(isCut);
}

void Worker::end(const std::pair<std::string, uint64_t>& key, const std::string& how)
{
    auto found = runs_.find(key);
    const auto& [task, number] = key;
    ends_.push_back({ ++lastEnd_, task, number, how, found->second.index, false });
    highest_[task] = std::max(highest_[task], number);
    ledger_.ended(found->second.index, how);
    runs_.erase(found);
    changed_.notify_all();
}

void Worker::tick()
{
    std::lock_guard<std::mutex> lock(mutex_);
    if (!up_)
        return;
    auto now = Clock::now();
    std::vector<std::pair<std::string, uint64_t>> over;
    bool lapsed = clock() > leaseEnd_;
    for (const auto& [key, run] : runs_)
        if (lapsed || run.finish <= now || (run.stopsAt && *run.stopsAt <= now))
            over.push_back(key);
    if (lapsed)
        for (auto& entry : ends_)
            entry.lapsed = true;
    for (const auto& key : over)
        end(key, lapsed ? "lapsed" : runs_.at(key).stopsAt ? "stopped" : "done");
}

Json Worker::lists()
{
    auto now = Clock::now();
    auto running = Json::array();
    for (const auto& [key, run] : runs_) {
        auto total = std::chrono::duration<double>(run.finish - run.start).count();
        auto spent = std::chrono::duration<double>(now - run.start).count();
        running.push_back(Json::array({ key.first, key.second, "", static_cast<int>(100 * spent / total), run.cpu }));
    }
    auto ended = Json::array();
    for (const auto& entry : ends_) {
        if (ended.size() >= 500) // "500 at a time"
            break;
        ended.push_back(Json::array({ entry.number, entry.task, entry.run, entry.how, "" }));
    }
    return { { "ClockMs", clock() }, { "born", born_ }, { "Running", running }, { "Ended", ended } };
}

static Response rejected(const char* reason, int64_t clock)
{
    return { 409, Json { { "ClockMs", clock }, { "Reason", reason } }.dump() };
}

Response Worker::start(const Json& request)
{
    std::string task = request.at("Task");
    uint64_t number = request.at("RunId");
    std::string spec = request.at("Spec");
    int64_t until = std::min(request.at("EndTimeMs").get<int64_t>(), clock() + longestLease);
    if (runs_.count({ task, number }) != 0) {
        leaseEnd_ = std::max(leaseEnd_, until);
        return { 200, Json { { "ClockMs", clock() } }.dump() };
    }
    auto highest = highest_.find(task);
    if (highest != highest_.end() && number <= highest->second) {
        leaseEnd_ = std::max(leaseEnd_, until);
        return rejected("old", clock());
    }
    if (until <= clock())
        return rejected("late", clock());
    leaseEnd_ = std::max(leaseEnd_, until);
    int cpu = static_cast<int>(valueIn(spec, "cpu=", 1000));
    int used = 0;
    for (const auto& [other, run] : runs_)
        used += run.cpu;
    if (used + cpu > cpu_)
        return rejected("room", clock());
    Run run;
    run.cpu = cpu;
    run.index = ledger_.started(task, number, id_);
    run.start = Clock::now();
    run.finish = after(valueIn(spec, "ms=", 500));
    runs_[{ task, number }] = run;
    return { 200, Json { { "ClockMs", clock() } }.dump() };
}

Response Worker::stop(const Json& request)
{
    std::string task = request.at("Task");
    uint64_t number = request.at("RunId");
    highest_[task] = std::max(highest_[task], number);
    for (auto run = runs_.lower_bound({ task, 0 });
         run != runs_.end() && run->first.first == task && run->first.second <= number; ++run)
        if (!run->second.stopsAt)
            run->second.stopsAt = after(stopMilliseconds);
    return { 200, Json { { "ClockMs", clock() } }.dump() };
}

Response Worker::hold(std::unique_lock<std::mutex>& lock, const Json& request)
{
    if (request.contains("EndTimeMs"))
        leaseEnd_ = std::max(leaseEnd_, std::min(request["EndTimeMs"].get<int64_t>(), clock() + longestLease));
    uint64_t seen = request.value("LastSeen", uint64_t { 0 });
    while (!ends_.empty() && ends_.front().number <= seen) {
        ledger_.noted(ends_.front().index, ends_.front().lapsed);
        ends_.pop_front();
    }
    auto life = life_;
    changed_.wait_until(lock, after(std::min<int64_t>(request.value("WaitMs", int64_t { 0 }), 2000)),
        [&] { return stopping_ || life != life_ || !ends_.empty(); });
    if (life != life_ || stopping_)
        return { 0, {}, true };
    return { 200, lists().dump() };
}

Response Worker::handle(const Request& request)
{
    auto body = Json::parse(request.body, nullptr, false);
    std::unique_lock<std::mutex> lock(mutex_);
    if (!up_)
        return { 0, {}, true };
    if (!body.is_object())
        return { 400, Json { { "ClockMs", clock() } }.dump() };
    auto expected = request.headers.find("expected-instance");
    if (expected != request.headers.end() && expected->second != id_)
        return { 421, Json { { "ClockMs", clock() } }.dump() };
    uint64_t fence = body.value("FencingToken", uint64_t { 0 });
    if (fence < fence_)
        return rejected("fence", clock());
    fence_ = fence;
    if (request.target == "/shallotdrift/run-start")
        return start(body);
    if (request.target == "/shallotdrift/run-stop")
        return stop(body);
    if (request.target == "/shallotdrift/hold")
        return hold(lock, body);
    return { request.target == "/shallotdrift/pace" ? 200 : 404, Json { { "ClockMs", clock() } }.dump() };
}

// Fleet

static constexpr char serviceName[] = "desk";
static constexpr char spareName[] = "spare";
static constexpr int migrationMilliseconds = 1500;
static constexpr int maintenanceMilliseconds = 2000;

Fleet::Fleet(int port, int firstWorkerPort, int workers, int spares, int cpu, const std::string& lastKind, Store& store,
    Ledger& ledger)
    : firstWorkerPort_(firstWorkerPort)
    , cpu_(cpu)
    , lastKind_(lastKind)
    , lastWorker_(static_cast<size_t>(workers) - 1)
    , store_(store)
    , ledger_(ledger)
    , machines_(static_cast<size_t>(workers + spares))
    , workers_(machines_.size())
{
    for (size_t i = 0; i < machines_.size(); ++i) {
        machines_[i].pool = i <= lastWorker_ ? serviceName : spareName;
        if (i <= lastWorker_)
            startWorker(i);
    }
    server_ = std::make_unique<Server>(port, [this](const Request& request) { return handle(request); });
    ticker_ = std::thread([this] {
        while (!stopping_) {
            tick();
            sleepFor(10);
        }
    });
}

Fleet::~Fleet()
{
    stopping_ = true;
    ticker_.join();
    server_.reset();
}

void Fleet::startWorker(size_t index)
{
    auto& machine = machines_[index];
    auto id = "i-" + std::to_string(1000 * machine.life + static_cast<int>(index));
    workers_[index] = std::make_unique<Worker>(id, "m-" + std::to_string(index), index == lastWorker_ ? lastKind_ : "a",
        firstWorkerPort_ + static_cast<int>(index), cpu_, machine.pool, store_, ledger_);
}

void Fleet::heartbeat()
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto& worker : workers_)
        if (worker)
            worker->heartbeat();
}

void Fleet::tick()
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (size_t i = 0; i < machines_.size(); ++i) {
        auto& machine = machines_[i];
        if (machine.state == "up" || machine.readyAt > Clock::now())
            continue;
        machine.state = "up";
        ++machine.life;
        if (machine.pool != spareName)
            startWorker(i);
    }
}

std::vector<FleetOrder> Fleet::orders()
{
    std::lock_guard<std::mutex> lock(mutex_);
    return orders_;
}

void Fleet::requestWave(uint64_t number, const std::string& machine)
{
    auto machinesOfWave = Json::array({ machine });
    {
        std::lock_guard<std::mutex> lock(mutex_);
        for (size_t i = 0; i < machines_.size(); ++i) // and one that is off
            if (machines_[i].pool == spareName && machines_[i].state == "up") {
                machinesOfWave.push_back("m-" + std::to_string(i));
                break;
            }
    }
    record("operator: wave " + std::to_string(number) + " of " + machinesOfWave.dump());
    store_.put("keyed.op", "wave/" + std::to_string(number),
        Json { { "Wave", number }, { "Machines", machinesOfWave }, { "DurationS", 10 }, { "MaxCount", 2 } }.dump());
}

Response Fleet::handle(const Request& request)
{
    if (request.target.rfind("/shallotdrift/machines", 0) == 0) {
        std::lock_guard<std::mutex> lock(mutex_);
        auto list = Json::array();
        for (size_t i = 0; i < machines_.size(); ++i)
            list.push_back({ { "Machine", "m-" + std::to_string(i) }, { "Pool", machines_[i].pool },
                { "State", workers_[i] && !workers_[i]->up() ? "down" : machines_[i].state }, { "Zone", "a" },
                { "Labels", { i == lastWorker_ ? lastKind_ : "a", "r1-1" } },
                { "Capacity", { { "Cpu", cpu_ }, { "MemMb", 65536 }, { "Gpu", 0 } } },
                { "Id", workers_[i] ? "i-" + std::to_string(1000 * machines_[i].life + static_cast<int>(i)) : "" } });
        return { 200, Json { { "Machines", list }, { "NextToken", nullptr } }.dump() };
    }
    bool move = request.target == "/shallotdrift/machine-move";
    auto body = Json::parse(request.body, nullptr, false);
    if ((!move && request.target != "/shallotdrift/machine-upkeep") || !body.is_object())
        return { 400, "{}" };
    FleetOrder order;
    order.at = elapsedSeconds();
    order.machine = body.value("Machine", std::string());
    order.pool = body.value("Pool", std::string());
    order.move = move;
    order.holder = request.headers.at("duty-holder");
    order.token = std::stoull(request.headers.at("fencing-token"));
    order.calmFor = calmFor ? calmFor(order.holder) : 0;
    for (const auto& earlier : orders())
        if (earlier.machine == order.machine)
            order.earlierCalmFor = calmFor ? calmFor(earlier.holder) : 0;
    auto index = std::stoul(order.machine.substr(2));
    std::unique_ptr<Worker> ended;
    std::lock_guard<std::mutex> lock(mutex_);
    auto& machine = machines_.at(index);
    if (order.token < machine.token)
        order.status = 409;
    else {
        machine.token = order.token;
        if ((move && machine.pool == order.pool) || (!move && machine.wave == body.value("Wave", uint64_t { 0 })))
            order.status = 200;
        else if (machine.state != "up")
            order.status = 409;
        else {
            order.status = 200;
            if (workers_[index]) {
                workers_[index]->crash();
                store_.erase("keyed.servers", "i-" + std::to_string(1000 * machine.life + static_cast<int>(index)));
                workers_[index].reset();
            }
            machine.state = move ? "moving" : "upkeep";
            machine.readyAt = after(move ? migrationMilliseconds : maintenanceMilliseconds);
            if (move)
                machine.pool = order.pool;
            else
                machine.wave = body.value("Wave", uint64_t { 0 });
        }
    }
    orders_.push_back(order);
    return { order.status,
        Json { { "Reason",
                   order.status == 200               ? ""
                       : order.token < machine.token ? "fence"
                                                     : "busy" } }
            .dump() };
}

// Entries

Entry::Entry(int number, int firstPort, int storePort, int cloudPort, const std::string& directory)
    : number_(number)
    , firstPort_(firstPort)
    , settings_(directory + "/entry-" + std::to_string(number) + ".ini")
    , log_(directory + "/entry-" + std::to_string(number) + ".log")
{
    FILE* file = fopen(settings_.c_str(), "w");
    // deploy/node.ini with the figures of the pages' example
    fprintf(file,
        "[node]\nname = entry-%d\nzone = a\nip = 127.0.0.1\ncaller_address = 127.0.0.1:%d\n"
        "ready_address = 127.0.0.1:%d\nfirst_internal_port = %d\n\n[store]\naddress = 127.0.0.1:%d\npartitions = %d\n"
        "[machine]\ncpu_share = 0.25\nlink_mbps = 1000\n[instances]\naddress = 127.0.0.1:%d\n[bounds]\n"
        "longest_lease_ms = 10000\nstatus_kept_s = 120\nstop_grace_s = 6\nmaintenance_s = 2\norder_pause_ms = 3000\n"
        "drain_ms = 2000\nstop_ms = 900\n",
        number, firstPort, firstPort + 1, firstPort + 2, storePort, partitionCount, cloudPort);
    fclose(file);
}

Entry::~Entry() { killAndReap(); }

void Entry::start()
{
    process_ = fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the trial
        int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        auto option = "--settings=" + settings_;
        ::execl("target/shallotdrift", "target/shallotdrift", "node", option.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
}

void Entry::signal(int number)
{
    if (process_ > 0)
        ::kill(process_, number);
}

void Entry::killAndReap()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = -1;
}

// Installation

static constexpr int portCount = 200;

static bool arePortsFree(int first)
{
    for (int port = first; port < first + portCount; ++port) {
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopback(port);
        bool free = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (!free)
            return false;
    }
    return true;
}

Installation::Installation(int workerCount, int cpuOfWorker, const std::string& lastKind, int spares, int entryCount)
{
    ::signal(SIGPIPE, SIG_IGN);
    char name[] = "/tmp/trial-XXXXXX";
    directory = mkdtemp(name);
    std::random_device random;
    do
        basePort = 12000 + static_cast<int>(random() % 100) * portCount;
    while (!arePortsFree(basePort));
    store = std::make_unique<Store>(basePort);
    Json route { { "Name", "r-quick" }, { "Host", "reports.example" }, { "PathPrefix", "/quick/" },
        { "Type", "non_idempotent" }, { "TimeoutMs", 3000 }, { "TargetLatencyMs", 600 }, { "Priority", 0 },
        { "Service", serviceName }, { "MaxAttempts", 4 }, { "Stretch", 1.6 } };
    Json service { { "Name", serviceName }, { "AdmissionCheck", true } };
    Json spare { { "Name", spareName }, { "Standby", true } };
    auto services = Json::array({ service });
    if (spares > 0)
        services.push_back(spare);
    store->put("keyed.op", "config",
        Json { { "Version", 1 }, { "Routes", { route } }, { "Services", services }, { "Limits", Json::object() } }
            .dump());
    fleet = std::make_unique<Fleet>(
        basePort + 1, basePort + 100, workerCount, spares, cpuOfWorker, lastKind, *store, ledger);
    fleet->calmFor = [this](const std::string& holder) {
        auto* entry = entryOf(holder);
        if (!entry)
            return 0.0;
        return elapsedSeconds() - std::max(entry->startedAt, entry->stoppedAt);
    };
    ticker_ = std::thread([this] {
        for (int count = 0; !stopping_; ++count) {
            store->tick();
            if (count % 150 == 0) // the check-in interval
                fleet->heartbeat();
            sleepFor(10);
        }
    });
    for (int i = 0; i < entryCount; ++i) {
        entries.push_back(std::make_unique<Entry>(i + 1, basePort + 10 + 10 * i, basePort, basePort + 1, directory));
        entries.back()->start();
    }
}

Installation::~Installation()
{
    entries.clear();
    stopping_ = true;
    ticker_.join();
    fleet.reset();
    std::error_code ignored;
    std::filesystem::remove_all(directory, ignored);
}

bool Installation::waitUntilReady(int seconds)
{
    auto deadline = after(1000 * seconds);
    for (auto& entry : entries) {
        while (
            call(entry->port() + 1, { "GET", "/shallotdrift/ready", { { "Host", "ready" } }, {} }, 500).status != 200) {
            if (Clock::now() > deadline)
                return false;
            sleepFor(50);
        }
    }
    return true;
}

Entry* Installation::owner() { return entryOf(store->ownerOfJobs()); }
Entry* Installation::fleetOwner() { return entryOf(store->ownerOf(0)); }

Entry* Installation::entryOf(const std::string& member)
{
    for (auto& entry : entries)
        if (member.rfind("127.0.0.1:" + std::to_string(entry->internalPort()) + "-", 0) == 0)
            return entry.get();
    return nullptr;
}

std::string jobId(uint64_t number)
{
    char text[20];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

bool submit(Installation& installation, const std::string& id, const Json& job)
{
    static std::atomic<size_t> next { 0 };
    auto deadline = after(10000);
    while (Clock::now() < deadline) {
        auto& entry = *installation.entries[next++ % installation.entries.size()];
        auto response = call(entry.port(),
            { "POST", "/quick/" + id, { { "Host", "reports.example" }, { "Deadline-Ms", "3000" } }, job.dump() }, 3000);
        record("client: POST " + id + " at entry " + std::to_string(entry.number()) + " -> "
            + std::to_string(response.status));
        if (response.status >= 200 && response.status < 300)
            return true;
        if (response.status == 400 || response.status == 404)
            return false;
        sleepFor(100);
    }
    return false;
}

std::string stateOf(Installation& installation, const std::string& id)
{
    static std::atomic<size_t> next { 0 };
    auto& entry = *installation.entries[next++ % installation.entries.size()];
    auto response = call(entry.port(),
        { "GET", "/quick/" + id, { { "Host", "reports.example" }, { "Deadline-Ms", "3000" } }, {} }, 3000);
    auto body = Json::parse(response.body, nullptr, false);
    return response.status == 200 && body.is_object() ? body.value("State", std::string())
                                                      : std::to_string(response.status);
}

} // namespace trial
