#include "Roles.h"
#include "UserStore.h"
#include "UserWorker.h"

#include "platform/Platform.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(users_port, 19000, "port of the store; the next one is the instances' interface, then the workers");
DEFINE_int32(users_workers, 4, "workers of the service; as many instances are switched off");
DEFINE_int32(users_cores, 8, "cores of a worker");

namespace shallotdrift::standin {

using nlohmann::json;

static constexpr char serviceName[] = "reports";
static constexpr char standbyName[] = "office";
static constexpr char zoneName[] = "a";
static constexpr char kindName[] = "a";
static constexpr char rackName[] = "r1";
static constexpr Milliseconds pollInterval { 10 };
static constexpr Milliseconds beatInterval { 500 };
static constexpr Milliseconds moveTime { 300 };
static constexpr uint32_t partitionCount = 24;

namespace {

    // The users' platform on loopback: the store, the workers of one service, and the interface to their instances.
    class UsersPlatform {
    public:
        UsersPlatform()
            : store_(partitionCount)
            , timer_(io_)
            , deadlines_(io_)
        {
            serve(0, [this](HttpMessage&& request, HttpServer::Reply reply) { onStore(request, std::move(reply)); });
            serve(1, [this](HttpMessage&& request, const HttpServer::Reply& reply) { onInstances(request, reply); });
            for (int i = 0; i < 2 * FLAGS_users_workers; ++i) {
                auto& instance = instances_["m-" + std::to_string(i)];
                instance.port = 2 + i;
                instance.pool = i < FLAGS_users_workers ? serviceName : standbyName;
                serve(2 + i, [this, i](HttpMessage&& request, HttpServer::Reply reply) {
                    auto& worker = instances_.at("m-" + std::to_string(i)).worker;
                    if (worker)
                        worker->handle(request, std::move(reply));
                    else
                        reply({ 503 });
                });
            }
            for (auto& [id, instance] : instances_)
                if (instance.pool == serviceName)
                    boot(id, instance);
            configure();
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
        struct Instance {
            int port = 0;
            std::string pool;
            platform::InstanceState state = platform::InstanceState::Up;
            Instant ready {}; // end of a move
            std::unique_ptr<UserWorker> worker {};
        };

        void serve(int offset, HttpServer::Handler handler)
        {
            servers_.push_back(std::make_unique<HttpServer>(
                io_, deadlines_, HttpServerOptions { address(offset) }, std::move(handler)));
        }

        static std::string address(int offset) { return fmt::format("127.0.0.1:{}", FLAGS_users_port + offset); }

        void configure()
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
            configuration.services[serviceName] = { serviceName, true, false };
            configuration.services[standbyName] = { standbyName, true, true };
            auto record = platform::writeConfiguration(configuration);
            store_.put(platform::operatorPartition().topic, record.key, record.value);
        }

        void boot(const std::string& id, Instance& instance)
        {
            instance.worker
                = std::make_unique<UserWorker>(fmt::format("i-{}-{}", id, ++boots_), 1000 * FLAGS_users_cores, ledger_);
            beat(id, instance);
        }

        void beat(const std::string& id, const Instance& instance)
        {
            WorkerInfo info;
            info.id = instance.worker->id();
            info.address = address(instance.port);
            info.service = instance.pool;
            info.zone = zoneName;
            info.instance = id;
            info.capacity = capacity();
            info.labels = { kindName, rackName };
            info.bootTime = instance.worker->bornAt();
            auto record = platform::writeWorker(info);
            store_.put(platform::registryPartition().topic, record.key, record.value);
        }

        static Resources capacity() { return { int64_t { 1000 } * FLAGS_users_cores, 64000, 0 }; }

        void onStore(const HttpMessage& request, HttpServer::Reply reply)
        {
            if (request.target.rfind("/control/", 0) == 0)
                control(request.target.substr(std::string_view("/control/").size()), reply);
            else
                store_.handle(request, std::move(reply));
        }

        void control(const std::string& command, const HttpServer::Reply& reply)
        {
            if (command == "down" || command == "up")
                store_.faults().down = command == "down";
            else if (command == "lose")
                store_.faults().loseEvery = 3;
            else if (command == "keep")
                store_.faults().loseEvery = 0;
            reply({ 200,
                json { { "starts", ledger_.starts }, { "twice", ledger_.twice }, { "moves", moves_ },
                    { "killed", killed_ }, { "serving", serving() } }
                    .dump() });
        }

        size_t serving() const
        {
            size_t count = 0;
            for (const auto& [id, instance] : instances_)
                count += instance.worker ? 1 : 0;
            return count;
        }

        void onInstances(const HttpMessage& request, const HttpServer::Reply& reply)
        {
            if (platform::isListCall(request)) {
                std::vector<platform::InstanceInfo> list;
                for (const auto& [id, instance] : instances_)
                    list.push_back({ id, instance.pool, instance.state, zoneName, rackName, capacity(),
                        { kindName, rackName }, instance.worker ? instance.worker->id() : std::string() });
                reply({ 200, platform::writeInstances(list) });
                return;
            }
            auto command = platform::readCommand(request);
            auto found = command ? instances_.find(command->instance) : instances_.end();
            if (found == instances_.end() || command->pool.empty()) {
                reply({ 400 });
                return;
            }
            auto& instance = found->second;
            if (instance.worker) {
                killed_ += instance.worker->runs();
                instance.worker->kill();
                store_.put(platform::registryPartition().topic, instance.worker->id(), {});
                instance.worker.reset();
            }
            instance.pool = command->pool;
            instance.state = platform::InstanceState::Moving;
            instance.ready = BootClock::now() + moveTime;
            ++moves_;
            reply({ 200, "{}" });
        }

        void tick()
        {
            auto now = BootClock::now();
            store_.poll(now);
            bool beatNow = now >= nextBeat_;
            if (beatNow)
                nextBeat_ = now + beatInterval;
            for (auto& [id, instance] : instances_) {
                if (instance.state == platform::InstanceState::Moving && instance.ready <= now) {
                    instance.state = platform::InstanceState::Up;
                    if (instance.pool != standbyName)
                        boot(id, instance);
                }
                if (!instance.worker)
                    continue;
                instance.worker->poll(now);
                if (beatNow && !store_.faults().down)
                    beat(id, instance);
            }
            timer_.expires_after(pollInterval);
            timer_.async_wait([this](std::error_code error) {
                if (!error)
                    tick();
            });
        }

        asio::io_context io_ { 1 };
        UserStore store_;
        asio::steady_timer timer_;
        DeadlineQueue deadlines_;
        std::vector<std::unique_ptr<HttpServer>> servers_;
        std::map<std::string, Instance> instances_;
        RunLedger ledger_;
        Instant nextBeat_ {};
        uint64_t boots_ = 0;
        uint64_t moves_ = 0;
        uint64_t killed_ = 0;
    };

} // namespace

int runUsersRole()
{
    UsersPlatform platform;
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

} // namespace shallotdrift::standin
