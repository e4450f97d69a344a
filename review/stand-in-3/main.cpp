// A small platform on loopback for the cases of REPORT-3.md: the store, the list of machines, and the workers of one
// service, built from the project's own stand-ins. Workers can crash, and start again under their id as another kind.
//
// Ports from --port on: the store, the list of machines, then one for each worker. The store's port also serves
//   /control/crash/N         worker N crashes: its connections are reset, nothing runs on it any more
//   /control/boot/N/KIND     worker N starts again under the same id, with KIND as the label of its kind
//   /control/cut/N           worker N is cut off and runs on: calls to it get no answer
//   /control/heal/N          the cut ends
//   /control/drain/N         worker N reports that it is draining
//   /control/wave/N          the operator asks for the upkeep of machine N, in a wave of its own
//   /control/late/N/M/D      of the stops to worker N, the next M get no answer and are carried out 6 s later; with the
//                            first stop that comes, worker D reports that it is draining, in any case
//   /control/log             what the workers have seen, with times
//
// Work items whose Spec begins with "lasts" are at work (percent 100) from 0.7 s after their start on. A stop that ends
// one of them on a worker that isn't draining is logged with the number of others of its step that are away.
//
// With --unguarded the workers start whatever they are told to (AdmissionCheck false), and a stop takes 0.8 s.
#include "standin/StoreStandIn.h"
#include "standin/WorkerStandIn.h"

#include "platform/Platform.h"
#include "shallotdrift/src/Http/DeadlineQueue.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <optional>
#include <sstream>
#include <utility>

using namespace shallotdrift;
using namespace shallotdrift::standin;
using nlohmann::json;

namespace {

constexpr char serviceName[] = "reports";
constexpr char zoneName[] = "a";
constexpr int64_t coresPerWorker = 8;
constexpr Milliseconds pollInterval { 10 };
constexpr Milliseconds heartbeatInterval { 1500 }; // HeartbeatMs of the pages
constexpr Milliseconds stopTime { 800 }; // of unguarded workers; StopMs of the pages is 900
constexpr int64_t unlimitedMilliCores = 1000000;
constexpr Milliseconds startupTime { 700 }; // of work items that last
constexpr Milliseconds lateTime { 6000 };

std::string startTarget() { return "/shallotdrift/run-start"; }

class SmallPlatform {
public:
    SmallPlatform(int port, bool guarded, std::vector<std::string> kinds)
        : port_(port)
        , guarded_(guarded)
        , store_(24)
        , timer_(io_)
        , deadlines_(io_)
    {
        serve(0, [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
            if (request.target.rfind("/control/", 0) == 0)
                control(request.target.substr(9), respond);
            else
                store_.handle(request, std::move(respond));
        });
        serve(1, [this](HttpMessage&& request, const HttpServer::ResponseCallback& respond) {
            respond(platform::isListInstancesRequest(request) ? HttpResponse { 200, listMachines() }
                                                              : HttpResponse { 400 });
        });
        workers_.resize(kinds.size());
        for (size_t i = 0; i < kinds.size(); ++i)
            boot(i, kinds[i]);
        publishConfiguration();
    }

    void run()
    {
        tick();
        asio::signal_set signals(io_, SIGTERM, SIGINT);
        signals.async_wait([this](std::error_code, int) { io_.stop(); });
        io_.run();
    }

private:
    struct WorkerState {
        std::string kind;
        int boots = 0;
        bool cut = false;
        bool draining = false;
        int lateStops = 0; // number of the next stops that get no answer
        std::optional<size_t> drainsWithStop {}; // worker that starts to drain with the next stop
        uint64_t token = 0; // the highest fencing token that this boot has seen
        std::unique_ptr<WorkerStandIn> worker;
        std::unique_ptr<HttpServer> server;
        Instant nextHeartbeatAt {};
        size_t running = 0;
    };

    // A work item that lasts.
    struct Lasting {
        size_t worker = 0;
        Instant startedAt {};
        bool running = false;
        bool atWork(Instant now) const { return running && now - startedAt >= startupTime; }
    };

    std::string address(size_t offset) const { return fmt::format("127.0.0.1:{}", port_ + static_cast<int>(offset)); }

    std::unique_ptr<HttpServer> makeServer(size_t offset, HttpServer::Handler handler)
    {
        auto server = std::make_unique<HttpServer>(
            io_, deadlines_, HttpServerOptions { address(offset) }, std::move(handler));
        if (!handleError([&]() -> Result<bool> { BOOST_LEAF_CHECK(server->start()); return true; },
                [](const Error&) { return false; }))
            std::cerr << "cannot listen on " << address(offset) << std::endl;
        return server;
    }

    void serve(size_t offset, HttpServer::Handler handler)
    {
        servers_.push_back(makeServer(offset, std::move(handler)));
    }

    void log(const std::string& line)
    {
        auto time = std::chrono::duration_cast<Milliseconds>(BootClock::now() - startedAt_).count();
        log_ += fmt::format("{:6d} ms  {}\n", time, line);
    }

    void boot(size_t i, const std::string& kind)
    {
        auto& state = workers_[i];
        state.kind = kind;
        ++state.boots;
        state.token = 0;
        state.worker = std::make_unique<WorkerStandIn>(fmt::format("worker-{}", i),
            guarded_ ? 1000 * coresPerWorker : unlimitedMilliCores, statistics_);
        state.server = makeServer(2 + i, [this, i](HttpMessage&& request, HttpServer::ResponseCallback respond) {
            handle(i, std::move(request), std::move(respond));
        });
        // The first boot is registered at once, a later one with its next check-in.
        state.nextHeartbeatAt = state.boots == 1 ? Instant {} : BootClock::now() + heartbeatInterval / 3;
        log(fmt::format("worker-{} starts: boot {}, born {}, labels [{}, r1]", i, state.boots,
            state.worker->bootTime(), kind));
    }

    void crash(size_t i)
    {
        auto& state = workers_[i];
        if (!state.worker)
            return;
        log(fmt::format("worker-{} crashes, {} work items at work", i, state.worker->runCount()));
        state.worker->killAll();
        state.server.reset();
        state.worker.reset();
        state.running = 0;
    }

    void handle(size_t i, HttpMessage&& request, HttpServer::ResponseCallback respond)
    {
        auto& state = workers_[i];
        if (!state.worker || state.cut)
            return;
        respond = [this, i, respond = std::move(respond)](HttpResponse&& response) {
            if (!workers_[i].cut)
                respond(std::move(response));
        };
        auto body = json::parse(request.body, nullptr, false);
        auto token = body.is_object() ? body.value("FencingToken", uint64_t { 0 }) : 0;
        bool current = token >= state.token;
        state.token = std::max(state.token, token);
        if (!guarded_ && current && request.target == "/shallotdrift/run-stop") {
            respond({ 200 }); // the end is listed later
            auto timer = std::make_shared<asio::steady_timer>(io_, stopTime);
            timer->async_wait([this, i, timer, boot = state.boots, request = std::move(request), body](std::error_code) mutable {
                auto& stopping = workers_[i];
                if (!stopping.worker || stopping.boots != boot)
                    return;
                body["FencingToken"] = stopping.token; // it was checked when the call came
                request.body = body.dump();
                stopping.worker->handle(request, [](HttpResponse&&) {});
            });
            return;
        }
        if (request.target == "/shallotdrift/run-stop" && lasting_.count(body.value("Task", std::string())) != 0) {
            if (auto drains = std::exchange(state.drainsWithStop, std::nullopt)) {
                workers_[*drains].draining = true;
                heartbeat(*drains);
                log(fmt::format("worker-{} reports that it is draining", *drains));
            }
            auto task = body.value("Task", std::string());
            if (state.lateStops > 0) {
                --state.lateStops;
                log(fmt::format("worker-{}: stop {} gets no answer and is carried out later", i, task));
                auto timer = std::make_shared<asio::steady_timer>(io_, lateTime);
                timer->async_wait([this, i, timer, request = std::move(request)](std::error_code) {
                    if (workers_[i].worker)
                        workers_[i].worker->handle(request, [](HttpResponse&&) {});
                });
                return;
            }
            onStop(i, task);
        }
        if (request.target == "/shallotdrift/hold")
            respond = [this, i, respond = std::move(respond)](HttpResponse&& response) {
                respond({ response.status, withPercent(response.body) });
            };
        if (request.target == startTarget()) {
            if (body.is_object() && body.value("Spec", std::string()).rfind("lasts", 0) == 0)
                respond = [this, i, task = body.value("Task", std::string()), respond = std::move(respond)](
                              HttpResponse&& response) {
                    if (response.status == 200)
                        lasting_[task] = { i, BootClock::now(), true };
                    respond(std::move(response));
                };
            auto call = json::parse(request.body, nullptr, false);
            auto task = call.is_object() ? call.value("Task", std::string()) : std::string();
            auto run = call.is_object() ? call.value("RunId", 0) : 0;
            respond = [this, i, task, run, boot = state.boots, kind = state.kind, respond = std::move(respond)](
                          HttpResponse&& response) {
                log(fmt::format("worker-{} (boot {}, kind {}): start {} run {} -> {}", i, boot, kind, task, run,
                    response.status));
                auto running = workers_[i].worker ? workers_[i].worker->runCount() : 0;
                if (response.status == 200 && running > static_cast<size_t>(coresPerWorker))
                    log(fmt::format("worker-{}: over its capacity, {} work items of 1 core at work on {} cores", i,
                        running, coresPerWorker));
                respond(std::move(response));
            };
        }
        state.worker->handle(request, std::move(respond));
    }

    void onStop(size_t i, const std::string& task)
    {
        auto now = BootClock::now();
        auto& stopped = lasting_[task];
        if (stopped.worker != i || !stopped.running)
            return;
        int away = 0;
        for (const auto& [other, item] : lasting_)
            away += other != task && !item.atWork(now) ? 1 : 0;
        log(fmt::format("worker-{}{}: stop ends {} ({}); others of its step that are away: {}", i,
            workers_[i].draining ? " (draining)" : "", task, stopped.atWork(now) ? "at work" : "not at work", away));
        stopped.running = false;
    }

    std::string withPercent(const std::string& text) const
    {
        auto report = json::parse(text, nullptr, false);
        if (!report.is_object() || !report.contains("Running"))
            return text;
        for (auto& row : report["Running"])
            if (auto item = lasting_.find(row[0].get<std::string>()); item != lasting_.end())
                row[3] = item->second.atWork(BootClock::now()) ? 100 : 50;
        return report.dump();
    }

    void heartbeat(size_t i)
    {
        auto& state = workers_[i];
        WorkerInfo info;
        info.id = state.worker->id();
        info.address = address(2 + i);
        info.service = serviceName;
        info.zone = zoneName;
        info.instance = fmt::format("machine-{}", i);
        info.capacity = { 1000 * coresPerWorker, 64000, 0 };
        info.labels = { state.kind, "r1" };
        info.bootTime = state.worker->bootTime();
        info.draining = state.draining;
        auto record = platform::encodeWorker(info);
        store_.put(platform::registryPartition().topic, record.key, record.value);
        if (state.nextHeartbeatAt != Instant {} && state.boots > 1 && !state.worker->runCount())
            log(fmt::format("worker-{} checks in: boot {}, labels [{}, r1]", i, state.boots, state.kind));
        state.nextHeartbeatAt = BootClock::now() + heartbeatInterval;
    }

    std::string listMachines() const
    {
        std::vector<platform::InstanceInfo> list;
        for (size_t i = 0; i < workers_.size(); ++i)
            list.push_back({ fmt::format("machine-{}", i), serviceName,
                workers_[i].worker ? platform::InstanceState::Up : platform::InstanceState::Down, zoneName, "r1",
                { 1000 * coresPerWorker, 64000, 0 }, { workers_[i].kind, "r1" },
                workers_[i].worker ? workers_[i].worker->id() : std::string() });
        return platform::formatListInstancesResponse(list);
    }

    void publishConfiguration()
    {
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
        configuration.services[serviceName] = { serviceName, guarded_, false };
        auto record = platform::encodeConfiguration(configuration, {});
        store_.put(platform::operatorPartition().topic, record.key, record.value);
    }

    void control(const std::string& command, const HttpServer::ResponseCallback& respond)
    {
        std::vector<std::string> words;
        std::istringstream text(command);
        for (std::string word; std::getline(text, word, '/');)
            words.push_back(word);
        if (words.size() == 2 && words[0] == "crash")
            crash(std::stoul(words[1]));
        else if (words.size() == 3 && words[0] == "boot")
            boot(std::stoul(words[1]), words[2]);
        else if (words.size() == 2 && words[0] == "drain")
            workers_[std::stoul(words[1])].draining = true;
        else if (words.size() == 2 && words[0] == "wave")
            store_.put(platform::operatorPartition().topic, "wave/1",
                json { { "Wave", 1 }, { "Machines", { "machine-" + words[1] } }, { "DurationS", 30 }, { "MaxCount", 1 } }
                    .dump());
        else if (words.size() == 4 && words[0] == "late") {
            workers_[std::stoul(words[1])].lateStops = std::stoi(words[2]);
            workers_[std::stoul(words[1])].drainsWithStop = std::stoul(words[3]);
        } else if (words.size() == 2 && (words[0] == "cut" || words[0] == "heal")) {
            workers_[std::stoul(words[1])].cut = words[0] == "cut";
            log(fmt::format("worker-{}: {}", words[1], words[0] == "cut" ? "cut off" : "the cut ends"));
        } else if (words.size() != 1 || words[0] != "log") {
            respond({ 404 });
            return;
        }
        respond({ 200, log_, "text/plain" });
    }

    void tick()
    {
        auto now = BootClock::now();
        store_.poll(now);
        for (size_t i = 0; i < workers_.size(); ++i) {
            auto& state = workers_[i];
            if (!state.worker)
                continue;
            state.worker->poll(now);
            if (now >= state.nextHeartbeatAt)
                heartbeat(i);
            if (auto running = state.worker->runCount(); running != state.running) {
                log(fmt::format("worker-{} (kind {}): {} work items at work", i, state.kind, running));
                state.running = running;
            }
        }
        timer_.expires_after(pollInterval);
        timer_.async_wait([this](std::error_code error) {
            if (!error)
                tick();
        });
    }

    int port_;
    bool guarded_;
    asio::io_context io_ { 1 };
    StoreStandIn store_;
    asio::steady_timer timer_;
    DeadlineQueue deadlines_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
    std::vector<WorkerState> workers_;
    RunStatistics statistics_;
    std::map<std::string, Lasting> lasting_; // by work item
    Instant startedAt_ = BootClock::now();
    std::string log_;
};

} // namespace

// Arguments: the first port, then the kind of each worker.
int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    bool guarded = arguments.empty() || arguments[0] != "--unguarded";
    if (!guarded)
        arguments.erase(arguments.begin());
    if (arguments.size() < 2) {
        std::cerr << "usage: review-stand-in-3 [--unguarded] PORT KIND ...\n";
        return 2;
    }
    SmallPlatform platform(
        std::atoi(arguments[0].c_str()), guarded, std::vector<std::string>(arguments.begin() + 1, arguments.end()));
    platform.run();
    return 0;
}
