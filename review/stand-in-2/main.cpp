// Stand-in of the platform for the scripts of the second review: the store (the project's own stand-in, with the limit
// RecordBytes added), the list of machines, and the workers of one service. It follows the users' pages PROTOCOL and
// DEPLOY; what a work item needs and how long it works is part of its Spec, as words NAME=NUMBER:
//   cpu=1000   thousandths of a core that it takes         work=500   milliseconds of work
//   gang=4     members of its gang (0: no gang)            save=1     it saves a checkpoint each half second
// Control requests on the store's port:
//   GET /control/grey?worker=N&how=fail|busy|off   fail: the worker fails all that it starts; busy: it refuses starts (503)
//   GET /control/facts?job=ID                      what was begun, run and ended
// Everything that the workers do is written to the record file.
//
// `stand-in call METHOD IP:PORT PATH TIMEOUT_MS [BODY]` is the scripts' client: it sends one request and prints the
// body and the status of the answer; status 000 if there is none in time.
#include "platform/Platform.h"
#include "platform/src/ProtocolNames.h"
#include "standin/StoreStandIn.h"

#include <arpa/inet.h>
#include <array>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace shallotdrift; // NOLINT(google-build-using-namespace)
namespace names = platform::names;
using nlohmann::json;

constexpr char serviceName[] = "reports";
constexpr char zoneName[] = "a";
constexpr uint32_t partitionCount = 24; // platform.parts
constexpr size_t recordBytes = 262144; // platform.RecordBytes
constexpr size_t requestBytes = 2097152; // platform.RequestBytes
constexpr int64_t gangWaitMs = 3000; // GangWaitMs
constexpr int64_t maximumHoldMs = 10000; // MaxHoldMs
constexpr int64_t saveIntervalMs = 500; // CheckpointS
constexpr size_t endsPerResponse = 500;
constexpr Milliseconds heartbeatInterval { 1500 }; // HeartbeatMs
constexpr Milliseconds pollInterval { 10 };

int64_t wordOf(const std::string& spec, const std::string& name, int64_t otherwise)
{
    auto found = spec.find(name + "=");
    return found == std::string::npos ? otherwise : std::atoll(spec.c_str() + found + name.size() + 1);
}

class Record {
public:
    explicit Record(const std::string& path)
        : file_(path, std::ios::app)
    {
    }
    void add(const std::string& text)
    {
        file_ << fmt::format("{:>9.3f} {}", std::chrono::duration<double>(BootClock::now() - start_).count(), text)
              << std::endl;
    }

private:
    std::ofstream file_;
    Instant start_ = BootClock::now();
};

struct JobFacts {
    uint64_t starts = 0;
    std::map<std::string, uint64_t> ends; // how -> number
    std::set<uint64_t> failedRuns; // numbers of the runs in which a member or the work item has failed
};

struct Run {
    uint64_t number = 0;
    std::string spec;
    Instant startedAt {};
    std::optional<Instant> begunAt {}; // when it began to work
};

class Worker;

// What the workers share: who is present of each run of a gang, and the facts for the checks.
struct Shared {
    Record& record;
    std::map<std::string, std::map<std::string, Worker*>> gangs; // "JOB.K.STEP run" -> present members
    std::map<std::string, JobFacts> jobs;
};

class Worker {
public:
    Worker(std::string id, std::string address, int64_t milliCores, Shared& shared)
        : id_(std::move(id))
        , address_(std::move(address))
        , milliCores_(milliCores)
        , shared_(shared)
    {
    }

    const std::string& id() const { return id_; }
    const std::string& address() const { return address_; }
    int64_t bootTime() const { return bootTime_; }
    void setGrey(const std::string& how)
    {
        grey_ = how == "off" ? "" : how;
        shared_.record.add(fmt::format("worker {} grey: {}", id_, how));
    }

    void handle(const HttpMessage& request, HttpServer::ResponseCallback respond)
    {
        auto call = json::parse(request.body, nullptr, false);
        if (!call.is_object()) {
            respond({ 400 });
            return;
        }
        const auto* expected = request.findHeader(names::expectedInstanceHeader);
        if (expected && *expected != id_) {
            respond({ 421 });
            return;
        }
        auto token = call.value(names::fencingToken, uint64_t { 0 });
        if (token < token_) {
            respond(rejection("fence"));
            return;
        }
        token_ = token;
        if (request.target == names::runStartPath)
            respond(start(call));
        else if (request.target == names::runStopPath)
            respond(stop(call));
        else if (request.target == names::holdPath)
            hold(call, std::move(respond));
        else
            respond(request.target == names::pacePath ? HttpResponse { 200, clockBody() } : HttpResponse { 404 });
    }

    void poll(Instant now)
    {
        if (!runs_.empty() && clock() > leaseEnd_)
            while (!runs_.empty())
                end(runs_.begin()->first, "lapsed");
        std::vector<std::pair<std::string, std::string>> ends;
        for (const auto& [task, run] : runs_) {
            auto members = wordOf(run.spec, "gang", 0);
            if (members > 0 && !run.begunAt) {
                if (now - run.startedAt > Milliseconds { gangWaitMs })
                    ends.emplace_back(task, "alone");
            } else if (grey_ == "fail")
                ends.emplace_back(task, "failed");
            else if (now - *run.begunAt >= Milliseconds { wordOf(run.spec, "work", 200) })
                ends.emplace_back(task, "done");
        }
        for (const auto& [task, how] : ends)
            if (runs_.count(task) != 0)
                end(task, how);
        answerHolds(now);
    }

    // All members of the gang are present.
    void begin(const std::string& task, Instant now) { runs_.at(task).begunAt = now; }
    bool fails() const { return grey_ == "fail"; }
    bool has(const std::string& task, uint64_t number) const
    {
        auto run = runs_.find(task);
        return run != runs_.end() && run->second.number == number;
    }

    void end(const std::string& task, const std::string& how)
    {
        auto found = runs_.find(task);
        auto run = found->second;
        auto saved = savedOf(run);
        runs_.erase(found);
        ends_.push_back({ ++lastEnd_, task, run.number, how, saved });
        highestEnded_[task] = std::max(highestEnded_[task], run.number);
        auto& facts = shared_.jobs[jobOf(task)];
        ++facts.ends[how];
        if (how == "failed")
            facts.failedRuns.insert(run.number);
        if (wordOf(run.spec, "quiet", 0) == 0 || how != "done")
            shared_.record.add(fmt::format("worker {} end {} run {}: {}", id_, task, run.number, how));
        if (wordOf(run.spec, "gang", 0) > 0)
            endGang(task, run, how);
    }

private:
    struct End {
        uint64_t number = 0;
        std::string task;
        uint64_t run = 0;
        std::string how;
        std::string saved;
    };
    struct PendingHold {
        Instant deadline {};
        HttpServer::ResponseCallback respond;
    };

    static std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }
    static std::string gangKey(const std::string& task, uint64_t run)
    {
        return fmt::format("{} {}", task.substr(0, task.rfind('.')), run);
    }

    int64_t clock() const { return std::chrono::duration_cast<Milliseconds>(BootClock::now() - boot_).count(); }
    std::string clockBody() const { return json { { names::clock, clock() } }.dump(); }
    HttpResponse rejection(const char* reason) const
    {
        return { 409, json { { names::clock, clock() }, { names::reason, reason } }.dump() };
    }

    std::string savedOf(const Run& run) const
    {
        if (wordOf(run.spec, "save", 0) == 0 || !run.begunAt)
            return {};
        auto steps = std::chrono::duration_cast<Milliseconds>(BootClock::now() - *run.begunAt).count() / saveIntervalMs;
        return steps == 0 ? std::string() : fmt::format("{:016x}", steps);
    }

    void extend(int64_t leaseEnd) { leaseEnd_ = std::max(leaseEnd_, std::min(leaseEnd, clock() + maximumHoldMs)); }

    // "broken": another member has ended. Members that fail at the same moment end as "failed", and all members of a
    // gang that has done its work end as "done".
    void endGang(const std::string& task, const Run& run, const std::string& how)
    {
        auto key = gangKey(task, run.number);
        auto members = shared_.gangs[key];
        shared_.gangs.erase(key);
        for (const auto& [other, worker] : members)
            if (other != task && worker->has(other, run.number))
                worker->end(other, how == "done" ? "done" : run.begunAt && worker->fails() ? "failed" : "broken");
    }

    HttpResponse start(const json& call)
    {
        auto task = call.at(names::task).get<std::string>();
        auto number = call.at(names::runId).get<uint64_t>();
        auto spec = call.at(names::payload).get<std::string>();
        auto leaseEnd = call.at(names::leaseEnd).get<int64_t>();
        if (grey_ == "busy") {
            shared_.record.add(fmt::format("worker {} refuses the start of {} run {}: 503", id_, task, number));
            return { 503, clockBody() };
        }
        if (has(task, number))
            return { 200, clockBody() };
        if (auto ended = highestEnded_.find(task); ended != highestEnded_.end() && number <= ended->second) {
            extend(leaseEnd);
            return rejection("old");
        }
        if (leaseEnd <= clock())
            return rejection("late");
        int64_t allocated = wordOf(spec, "cpu", 1000);
        for (const auto& [other, run] : runs_)
            allocated += wordOf(run.spec, "cpu", 1000);
        if (allocated > milliCores_ || runs_.count(task) != 0) {
            extend(leaseEnd);
            return rejection("room");
        }
        extend(leaseEnd);
        auto now = BootClock::now();
        auto members = static_cast<size_t>(wordOf(spec, "gang", 0));
        runs_[task] = { number, spec, now, members == 0 ? std::optional(now) : std::nullopt };
        ++shared_.jobs[jobOf(task)].starts;
        if (wordOf(spec, "quiet", 0) == 0)
            shared_.record.add(fmt::format("worker {} start {} run {}", id_, task, number));
        if (members > 0) {
            auto& present = shared_.gangs[gangKey(task, number)];
            present[task] = this;
            if (present.size() == members)
                for (const auto& [member, worker] : present)
                    worker->begin(member, now);
        }
        return { 200, clockBody() };
    }

    HttpResponse stop(const json& call)
    {
        auto task = call.at(names::task).get<std::string>();
        auto number = call.at(names::runId).get<uint64_t>();
        if (auto run = runs_.find(task); run != runs_.end() && run->second.number <= number)
            end(task, "stopped");
        highestEnded_[task] = std::max(highestEnded_[task], number);
        return { 200, clockBody() };
    }

    void hold(const json& call, HttpServer::ResponseCallback respond)
    {
        extend(call.value(names::leaseEnd, int64_t { 0 }));
        auto seen = call.at(names::acknowledgedEnd).get<uint64_t>();
        ends_.erase(
            std::remove_if(ends_.begin(), ends_.end(), [&](const End& end) { return end.number <= seen; }),
            ends_.end());
        holds_.push_back(
            { BootClock::now() + Milliseconds { call.value(names::wait, int64_t { 0 }) }, std::move(respond) });
        answerHolds(BootClock::now());
    }

    void answerHolds(Instant now)
    {
        auto holds = std::move(holds_);
        holds_.clear();
        for (auto& entry : holds)
            if (!ends_.empty() || entry.deadline <= now)
                entry.respond(report(now));
            else
                holds_.push_back(std::move(entry));
    }

    HttpResponse report(Instant now) const
    {
        auto running = json::array();
        for (const auto& [task, run] : runs_) {
            auto worked = run.begunAt ? std::chrono::duration_cast<Milliseconds>(now - *run.begunAt).count() : 0;
            running.push_back(json::array({ task, run.number, savedOf(run),
                std::min<int64_t>(99, 100 * worked / std::max<int64_t>(1, wordOf(run.spec, "work", 200))),
                wordOf(run.spec, "cpu", 1000) }));
        }
        auto ended = json::array();
        for (const auto& end : ends_)
            if (ended.size() < endsPerResponse)
                ended.push_back(json::array({ end.number, end.task, end.run, end.how, end.saved }));
        return { 200,
            json { { names::clock, clock() }, { names::bootTime, bootTime_ }, { names::running, running },
                { names::ended, ended } }
                .dump() };
    }

    std::string id_;
    std::string address_;
    int64_t milliCores_;
    Shared& shared_;
    std::string grey_;
    Instant boot_ = BootClock::now();
    int64_t bootTime_ = unixMilliseconds(wallNow());
    uint64_t token_ = 0;
    int64_t leaseEnd_ = 0;
    uint64_t lastEnd_ = 0;
    std::map<std::string, Run> runs_;
    std::map<std::string, uint64_t> highestEnded_;
    std::vector<End> ends_;
    std::vector<PendingHold> holds_;
};

class Platform {
public:
    Platform(int port, int workers, int64_t milliCores, const std::string& recordPath)
        : port_(port)
        , milliCores_(milliCores)
        , record_(recordPath)
        , shared_ { record_, {}, {} }
        , store_(partitionCount)
        , timer_(io_)
        , deadlines_(io_)
    {
        addServer(0, [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
            onStoreRequest(request, std::move(respond));
        });
        addServer(1, [this](HttpMessage&& request, const HttpServer::ResponseCallback& respond) {
            onMachinesRequest(request, respond);
        });
        for (int i = 0; i < workers; ++i) {
            workers_.push_back(
                std::make_unique<Worker>(fmt::format("i-{:010x}", 0xa000 + i), address(2 + i), milliCores, shared_));
            addServer(2 + i, [this, i](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                workers_[i]->handle(request, std::move(respond));
            });
        }
        platform::Configuration configuration;
        configuration.version = 1;
        QueueConfiguration queue;
        queue.name = "render";
        queue.host = "reports.example";
        queue.pathPrefix = "/render/";
        queue.service = serviceName;
        queue.maximumAttempts = 3;
        queue.latencyTarget = Milliseconds { 2000 };
        configuration.queues.emplace(queue.name, queue);
        configuration.services[serviceName] = { serviceName, true, false };
        auto entry = platform::encodeConfiguration(configuration);
        store_.put(platform::operatorPartition().topic, entry.key, entry.value);
    }

    Result<void> run()
    {
        for (auto& server : servers_)
            BOOST_LEAF_CHECK(server->start());
        tick();
        asio::signal_set signals(io_, SIGTERM, SIGINT);
        signals.async_wait([this](std::error_code, int) { io_.stop(); });
        io_.run();
        return {};
    }

private:
    void addServer(int offset, HttpServer::Handler handler)
    {
        HttpServerOptions options { address(offset) };
        options.limits = { 64 << 10, 16 << 20 };
        servers_.push_back(std::make_unique<HttpServer>(io_, deadlines_, std::move(options), std::move(handler)));
    }

    std::string address(int offset) const { return fmt::format("127.0.0.1:{}", port_ + offset); }
    Resources capacity() const { return { milliCores_, 64000, 0 }; }

    void heartbeat(const Worker& worker, const std::string& machine)
    {
        WorkerInfo info;
        info.id = worker.id();
        info.address = worker.address();
        info.service = serviceName;
        info.zone = zoneName;
        info.instance = machine;
        info.capacity = capacity();
        info.labels = { "a", "r1" };
        info.bootTime = worker.bootTime();
        auto entry = platform::encodeWorker(info);
        store_.put(platform::registryPartition().topic, entry.key, entry.value);
    }

    void onMachinesRequest(const HttpMessage& request, const HttpServer::ResponseCallback& respond)
    {
        if (!platform::isListInstancesRequest(request)) {
            respond({ 409, R"({"Reason":"busy"})" }); // the deployment has no other pool
            return;
        }
        std::vector<platform::InstanceInfo> list;
        for (size_t i = 0; i < workers_.size(); ++i)
            list.push_back({ machineOf(i), serviceName, platform::InstanceState::Up, zoneName, "r1", capacity(),
                { "a", "r1" }, workers_[i]->id() });
        respond({ 200, platform::formatListInstancesResponse(list) });
    }

    static std::string machineOf(size_t worker) { return fmt::format("m-{}", worker); }

    // The length of the longest record in an append's body.
    static size_t longestRecord(const std::string& body)
    {
        size_t longest = 0;
        for (size_t at = 0; at + 4 <= body.size();) {
            size_t length = 0;
            for (size_t i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(body[at + i]);
            longest = std::max(longest, length);
            at += 4 + length;
        }
        return longest;
    }

    void onStoreRequest(const HttpMessage& request, HttpServer::ResponseCallback respond)
    {
        if (request.target.rfind("/control/", 0) == 0) {
            control(request.target.substr(std::string("/control/").size()), respond);
            return;
        }
        bool isAppend = request.target.rfind(names::logAppendPath, 0) == 0;
        auto longest = isAppend ? longestRecord(request.body) : 0;
        largestRecord_ = std::max(largestRecord_, longest);
        if (longest > recordBytes || (isAppend && request.body.size() > requestBytes)) {
            if (++tooLarge_ <= 5)
                record_.add(fmt::format("store refuses an append of {} bytes, its longest record has {} bytes: 400",
                    request.body.size(), longest));
            respond({ 400 });
            return;
        }
        store_.handle(request, std::move(respond));
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        auto found = target.find(name + "=");
        if (found == std::string::npos)
            return {};
        auto rest = target.substr(found + name.size() + 1);
        return rest.substr(0, rest.find('&'));
    }

    void control(const std::string& target, const HttpServer::ResponseCallback& respond)
    {
        if (target.rfind("grey", 0) == 0)
            workers_.at(std::stoul(parameter(target, "worker")))->setGrey(parameter(target, "how"));
        const auto& facts = shared_.jobs[parameter(target, "job")];
        respond({ 200,
            json { { "starts", facts.starts }, { "ends", facts.ends }, { "failed_runs", facts.failedRuns.size() },
                { "largest_record", largestRecord_ }, { "too_large", tooLarge_ } }
                    .dump()
                + "\n" });
    }

    void tick()
    {
        auto now = BootClock::now();
        store_.poll(now);
        bool heartbeatDue = now >= nextHeartbeatAt_;
        if (heartbeatDue)
            nextHeartbeatAt_ = now + heartbeatInterval;
        for (size_t i = 0; i < workers_.size(); ++i) {
            workers_[i]->poll(now);
            if (heartbeatDue)
                heartbeat(*workers_[i], machineOf(i));
        }
        timer_.expires_after(pollInterval);
        timer_.async_wait([this](std::error_code error) {
            if (!error)
                tick();
        });
    }

    int port_;
    int64_t milliCores_;
    Record record_;
    Shared shared_;
    asio::io_context io_ { 1 };
    standin::StoreStandIn store_;
    asio::steady_timer timer_;
    DeadlineQueue deadlines_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
    std::vector<std::unique_ptr<Worker>> workers_;
    Instant nextHeartbeatAt_ {};
    size_t largestRecord_ = 0;
    uint64_t tooLarge_ = 0;
};

int call(const std::string& method, const std::string& address, const std::string& path, int timeoutMs,
    const std::string& body)
{
    auto colon = address.find(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    auto deadline = BootClock::now() + Milliseconds { timeoutMs };
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    std::string answer;
    if (connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0) {
        auto request = fmt::format("{} {} HTTP/1.1\r\nHost: reports.example\r\nConnection: close\r\nDeadline-Ms: {}\r\n",
            method, path, timeoutMs);
        if (!body.empty() || method == "POST")
            request += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", body.size());
        request += "\r\n" + body;
        for (size_t sent = 0; sent < request.size();) {
            auto count = ::send(socket, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                break;
            sent += static_cast<size_t>(count);
        }
        std::array<char, 65536> buffer {};
        for (;;) {
            auto left = std::chrono::duration_cast<std::chrono::microseconds>(deadline - BootClock::now()).count();
            if (left <= 0)
                break;
            timeval limit { static_cast<time_t>(left / 1000000), static_cast<suseconds_t>(left % 1000000) };
            setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            auto count = ::recv(socket, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            answer.append(buffer.data(), static_cast<size_t>(count));
        }
    }
    ::close(socket);
    auto end = answer.find("\r\n\r\n");
    bool whole = answer.rfind("HTTP/1.1 ", 0) == 0 && end != std::string::npos;
    std::cout << (whole ? answer.substr(end + 4) : "") << " " << (whole ? answer.substr(9, 3) : "000") << "\n";
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc >= 6 && std::string(argv[1]) == "call")
        return call(argv[2], argv[3], argv[4], std::atoi(argv[5]), argc > 6 ? argv[6] : "");
    if (argc != 5) {
        std::cerr << "usage: review-stand-in PORT WORKERS MILLICORES RECORD\n";
        return 2;
    }
    Platform platform(std::atoi(argv[1]), std::atoi(argv[2]), std::atoll(argv[3]), argv[4]);
    return handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(platform.run());
            return 0;
        },
        [](const Error& error) {
            std::cerr << error.message << "\n";
            return 1;
        });
}
