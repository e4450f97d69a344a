#include "PlatformServer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <nlohmann/json.hpp>
#include <platform.pb.h>
#include <sys/socket.h>

namespace shallotdrift::standin {

static constexpr const char* protobufType = "application/x-protobuf";
static constexpr const char* jsonType = "application/json";
static constexpr size_t maximumRequestBytes = 1 << 20;
static constexpr size_t maximumPayloadBytes = 512 << 10;
static constexpr size_t maximumPageItems = 4096;
static constexpr Milliseconds maximumReadWait { 30000 };
// Longest drain of a target plus its reboot; a caller that gave up earlier repeats its call.
static constexpr Milliseconds maximumRebootWait { 60000 };
static constexpr int listenBacklog = 512;
static constexpr int keepAliveSeconds = 60;
static constexpr size_t keepAliveRequests = 1000000000;
static constexpr int maximumDescriptor = 4096;

static void answerJson(httplib::Response& response, int status, const nlohmann::json& body)
{
    response.status = status;
    response.set_content(body.dump(), jsonType);
}

static void answerError(httplib::Response& response, int status, const std::string& text)
{
    answerJson(response, status, { { "error", text } });
}

static int64_t numberParameter(const httplib::Request& request, const char* name, int64_t absent)
{
    if (!request.has_param(name))
        return absent;
    return std::max<int64_t>(std::strtoll(request.get_param_value(name).c_str(), nullptr, 10), 0);
}

static int portOf(int descriptor, decltype(getpeername)* name)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    if (name(descriptor, reinterpret_cast<sockaddr*>(&address), &length) || address.sin_family != AF_INET)
        return -1;
    return ntohs(address.sin_port);
}

int PlatformServer::Listener::bind(const std::string& host, int port)
{
    if (!port)
        port = bind_to_any_port(host);
    else if (!bind_to_port(host, port))
        return -1;
    // The library listens with a backlog of 5; a second listen() raises it.
    return port > 0 && ::listen(svr_sock_, listenBacklog) == 0 ? port : -1;
}

PlatformServer::PlatformServer(PlatformServerOptions options, PlatformReboots::Call call)
    : options_(std::move(options))
    , log_(options_.log)
    , fleet_(options_.listLag)
    , tasks_(options_.usageLag)
    , reboots_(
          fleet_,
          [this, call = std::move(call)](const Reboot& reboot) {
              tasks_.instanceStopped(reboot.instance, BootClock::now());
              bool done = call(reboot);
              counters_.rebootsDone += done ? 1 : 0;
              return done;
          },
          options_.rebootThreads)
{
    server_.new_task_queue = [this] { return new httplib::ThreadPool(options_.threads); };
    server_.set_keep_alive_max_count(keepAliveRequests);
    server_.set_keep_alive_timeout(keepAliveSeconds);
    server_.set_tcp_nodelay(true);
    server_.set_payload_max_length(maximumRequestBytes);
    route("POST", "/log/append", &PlatformServer::append);
    route("GET", "/log/read", &PlatformServer::read);
    route("GET", "/instances", &PlatformServer::instances);
    route("POST", "/instances/([^/]+)/assign", &PlatformServer::assign);
    route("POST", "/instances/([^/]+)/reboot", &PlatformServer::reboot);
    route("POST", "/tasks", &PlatformServer::startTask);
    route("POST", "/tasks/([^/]+)/(renew|throttle|checkpoint|stop)", &PlatformServer::commandTask);
    route("GET", "/tasks", &PlatformServer::listTasks);
    route("POST", "/control/outage", &PlatformServer::controlOutage, false);
    route("POST", "/control/slow", &PlatformServer::controlSlow, false);
    route("POST", "/control/lose_answers", &PlatformServer::controlLoseAnswers, false);
    route("POST", "/control/duplicate_appends", &PlatformServer::controlDuplicateAppends, false);
    route("POST", "/control/(leave|gone|return)", &PlatformServer::controlChange, false);
    route("GET", "/control/counters", &PlatformServer::controlCounters, false);
}

PlatformServer::~PlatformServer() { stop(); }

bool PlatformServer::start()
{
    port_ = server_.bind(options_.host, options_.port);
    if (port_ < 0)
        return false;
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    return true;
}

void PlatformServer::stop()
{
    server_.stop();
    log_.wakeReaders();
    // An idle connection would hold its thread until the keep-alive time is over.
    for (int descriptor = 3; descriptor < maximumDescriptor; ++descriptor) {
        if (port_ > 0 && portOf(descriptor, getsockname) == port_)
            shutdown(descriptor, SHUT_RDWR);
    }
    if (thread_.joinable())
        thread_.join();
}

void PlatformServer::route(const char* method, const char* pattern, Handler handler, bool faultsApply)
{
    auto call = [this, handler, faultsApply](const Request& request, Response& response) {
        if (faultsApply)
            serve(request, response, handler);
        else
            (this->*handler)(request, response);
    };
    bool control = !faultsApply;
    // A POST without Content-Length makes the library wait for a body, so the control calls accept GET as well.
    if (*method == 'P')
        server_.Post(pattern, call);
    if (*method == 'G' || control)
        server_.Get(pattern, call);
}

// Applies the faults around a call of the platform.
void PlatformServer::serve(const Request& request, Response& response, Handler handler)
{
    if (auto delay = faults_.delay(); delay > Milliseconds(0))
        std::this_thread::sleep_for(delay);
    if (!faults_.outage()) {
        try {
            (this->*handler)(request, response);
        } catch (const std::exception& error) {
            answerError(response, 400, error.what());
        }
    }
    if (faults_.outage()) {
        ++counters_.outageCalls;
        dropConnection(request, response);
    } else if (request.method == "POST" && faults_.takeLostAnswer()) {
        ++counters_.lostAnswers;
        dropConnection(request, response);
    }
}

// The library gives handlers no access to the socket, so it is found by the ports of its two ends.
void PlatformServer::dropConnection(const Request& request, Response& response) const
{
    response.set_header("Connection", "close");
    for (int descriptor = 3; descriptor < maximumDescriptor; ++descriptor) {
        if (portOf(descriptor, getpeername) == request.remote_port && portOf(descriptor, getsockname) == port_) {
            shutdown(descriptor, SHUT_RDWR);
            return;
        }
    }
}

void PlatformServer::append(const Request& request, Response& response)
{
    proto::AppendRequest body;
    if (!body.ParseFromString(request.body) || body.payload().empty())
        return answerError(response, 400, "no AppendRequest with a payload");
    if (body.payload().size() > maximumPayloadBytes)
        return answerError(response, 413, "the payload is too large");
    bool duplicate = faults_.takeDuplicateAppend();
    auto bytes = body.payload().size();
    auto offset = log_.append(std::move(*body.mutable_payload()), BootClock::now(), duplicate ? 2 : 1);
    if (!offset) {
        ++counters_.appendsLimited;
        return answerError(response, 429, "too many appends per second");
    }
    ++counters_.appends;
    counters_.appendBytes += bytes;
    counters_.duplicates += duplicate ? 1 : 0;
    proto::AppendReply reply;
    reply.set_offset(*offset);
    response.set_content(reply.SerializeAsString(), protobufType);
}

void PlatformServer::read(const Request& request, Response& response)
{
    ++counters_.reads;
    auto from = static_cast<Offset>(std::max<int64_t>(numberParameter(request, "from", 1), 1));
    auto maximum = std::min(static_cast<size_t>(numberParameter(request, "max", 512)), maximumPageItems);
    auto wait = std::min(Milliseconds(numberParameter(request, "wait_ms", 0)), maximumReadWait);
    auto page = log_.read(from, maximum, wait);
    proto::ReadReply reply;
    reply.set_earliest(page.earliest);
    reply.set_next(page.next);
    for (auto& item : page.items) {
        auto* entry = reply.add_entries();
        entry->set_offset(item.offset);
        entry->set_payload(std::move(item.payload));
    }
    response.set_content(reply.SerializeAsString(), protobufType);
}

void PlatformServer::instances(const Request&, Response& response)
{
    ++counters_.lists;
    response.set_content(fleet_.list(BootClock::now()), jsonType);
}

void PlatformServer::assign(const Request& request, Response& response)
{
    auto body = nlohmann::json::parse(request.body);
    auto pool = body.at("pool").get<std::string>();
    if (pool.empty())
        return answerError(response, 400, "the pool is empty");
    carryOut({ request.matches[1], "", std::move(pool), body.at("epoch").get<uint64_t>() }, response);
}

void PlatformServer::reboot(const Request& request, Response& response)
{
    auto body = nlohmann::json::parse(request.body);
    carryOut({ request.matches[1], "", "", body.at("epoch").get<uint64_t>() }, response);
}

void PlatformServer::carryOut(Reboot reboot, Response& response)
{
    using Acceptance = PlatformFleet::Acceptance;
    ++counters_.rebootCalls;
    auto acceptance = fleet_.accept(reboot);
    if (acceptance == Acceptance::UnknownInstance)
        return answerError(response, 404, "no such target instance");
    if (acceptance == Acceptance::OldEpoch || acceptance == Acceptance::OtherOperation) {
        ++counters_.rebootsRefused;
        return answerError(response, 409,
            acceptance == Acceptance::OldEpoch ? "the epoch is old" : "another operation holds this epoch");
    }
    if (acceptance == Acceptance::Started) {
        ++counters_.rebootsStarted;
        reboots_.add(reboot);
    }
    if (fleet_.waitUntilDone(reboot, maximumRebootWait))
        return answerJson(response, 200, { { "epoch", reboot.epoch } });
    if (fleet_.current(reboot))
        return answerError(response, 504, "the reboot is not done yet");
    answerError(response, 409, "a newer operation took over");
}

void PlatformServer::startTask(const Request& request, Response& response)
{
    ++counters_.taskCalls;
    auto body = nlohmann::json::parse(request.body);
    TaskStart start;
    start.id = body.at("id").get<std::string>();
    start.instance = body.at("instance").get<std::string>();
    start.kind = body.value("kind", "");
    start.token = body.at("token").get<uint64_t>();
    start.lease = Milliseconds(body.at("lease_ms").get<int64_t>());
    start.cores = body.value("cores", 0U);
    start.memoryMegabytes = body.value("memory_mb", uint64_t { 0 });
    start.accelerators = body.value("accelerators", 0U);
    start.input = body.value("input", "");
    if (start.id.empty() || start.lease <= Milliseconds(0))
        return answerError(response, 400, "a task needs an id and a lease");
    if (!fleet_.present(start.instance))
        return answerError(response, 404, "no such instance");
    auto answer = tasks_.start(start, BootClock::now());
    if (answer == PlatformTasks::Answer::Ok)
        return answerJson(response, 200, { { "token", start.token } });
    ++counters_.tasksRefused;
    answerError(response, answer == PlatformTasks::Answer::Full ? 503 : 409, "the task's token is old, or no place");
}

void PlatformServer::commandTask(const Request& request, Response& response)
{
    static const std::map<std::string, TaskCommand> commands { { "renew", TaskCommand::Renew },
        { "throttle", TaskCommand::Throttle }, { "checkpoint", TaskCommand::Checkpoint },
        { "stop", TaskCommand::Stop } };
    ++counters_.taskCalls;
    auto token = nlohmann::json::parse(request.body).at("token").get<uint64_t>();
    auto answer = tasks_.command(request.matches[1], commands.at(request.matches[2]), token, BootClock::now());
    if (answer == PlatformTasks::Answer::Ok)
        return answerJson(response, 200, { { "token", token } });
    ++counters_.tasksRefused;
    if (answer == PlatformTasks::Answer::UnknownTask)
        return answerError(response, 404, "no such task");
    answerError(response, answer == PlatformTasks::Answer::OldToken ? 409 : 410,
        answer == PlatformTasks::Answer::OldToken ? "the token is old" : "the task has ended");
}

void PlatformServer::listTasks(const Request&, Response& response)
{
    static constexpr std::array<const char*, 6> statuses { "running", "throttled", "checkpointed", "succeeded",
        "failed", "lease-lapsed" };
    auto items = nlohmann::json::array();
    for (const auto& task : tasks_.list(BootClock::now())) {
        items.push_back({
            { "id", task.id },
            { "instance", task.instance },
            { "token", task.token },
            { "status", statuses.at(static_cast<size_t>(task.status)) },
            { "receipt", task.receipt },
            { "cores_used", task.coresUsed },
            { "memory_mb_used", task.memoryMegabytesUsed },
        });
    }
    answerJson(response, 200, { { "tasks", std::move(items) } });
}

void PlatformServer::controlOutage(const Request& request, Response& response)
{
    Milliseconds length(numberParameter(request, "ms", 0));
    tasks_.extendLeases(length, BootClock::now());
    faults_.startOutage(length);
    log_.wakeReaders();
    answerJson(response, 200, nlohmann::json::object());
}

void PlatformServer::controlSlow(const Request& request, Response& response)
{
    faults_.slowDown(
        Milliseconds(numberParameter(request, "ms", 0)), Milliseconds(numberParameter(request, "for_ms", 0)));
    answerJson(response, 200, nlohmann::json::object());
}

void PlatformServer::controlLoseAnswers(const Request& request, Response& response)
{
    faults_.loseAnswers(static_cast<int>(numberParameter(request, "count", 1)));
    answerJson(response, 200, nlohmann::json::object());
}

void PlatformServer::controlDuplicateAppends(const Request& request, Response& response)
{
    faults_.duplicateAppends(static_cast<int>(numberParameter(request, "count", 1)));
    answerJson(response, 200, nlohmann::json::object());
}

void PlatformServer::controlChange(const Request& request, Response& response)
{
    static const std::map<std::string, PlatformFleet::Change> changes { { "leave", PlatformFleet::Change::Leave },
        { "gone", PlatformFleet::Change::Gone }, { "return", PlatformFleet::Change::Return } };
    auto change = changes.at(request.matches[1]);
    auto instance = request.get_param_value("instance");
    if (!fleet_.change(instance, change, BootClock::now()))
        return answerError(response, 404, "no such instance");
    if (change == PlatformFleet::Change::Gone)
        tasks_.instanceStopped(instance, BootClock::now());
    answerJson(response, 200, nlohmann::json::object());
}

void PlatformServer::controlCounters(const Request&, Response& response)
{
    answerJson(response, 200,
        {
            { "appends", counters_.appends.load() },
            { "append_bytes", counters_.appendBytes.load() },
            { "appends_limited", counters_.appendsLimited.load() },
            { "duplicates", counters_.duplicates.load() },
            { "reads", counters_.reads.load() },
            { "lists", counters_.lists.load() },
            { "reboot_calls", counters_.rebootCalls.load() },
            { "reboots_started", counters_.rebootsStarted.load() },
            { "reboots_done", counters_.rebootsDone.load() },
            { "reboots_refused", counters_.rebootsRefused.load() },
            { "task_calls", counters_.taskCalls.load() },
            { "tasks_refused", counters_.tasksRefused.load() },
            { "lost_answers", counters_.lostAnswers.load() },
            { "outage_calls", counters_.outageCalls.load() },
            { "log_earliest", log_.earliest() },
            { "log_next", log_.next() },
        });
}

} // namespace shallotdrift::standin
