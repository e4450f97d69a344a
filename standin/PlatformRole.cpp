#include "Roles.h"
#include "StoreStandIn.h"
#include "WorkerStandIn.h"

#include "platform/Platform.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(users_port, 19000, "first of consecutive ports: the store, the instance API, then one for each instance");
DEFINE_int32(
    users_workers, 4, "initial number of workers of the service; as many switched-off standby instances are added");
DEFINE_int32(users_cores, 8, "cores of each worker");

namespace shallotdrift::standin {

using nlohmann::json;

static constexpr char serviceName[] = "reports";
static constexpr char standbyServiceName[] = "office";
static constexpr char zoneName[] = "a";
static constexpr char instanceTypeName[] = "a";
static constexpr char rackName[] = "r1";
static constexpr Milliseconds pollInterval { 10 };
static constexpr Milliseconds heartbeatInterval { 500 };
static constexpr Milliseconds moveDuration { 300 };
static constexpr uint32_t partitionCount = 24;

namespace {

    // Simulates the platform on loopback: the store, the workers of one service, and the API of their instances.
    class PlatformStandIn {
    public:
        PlatformStandIn()
            : store_(partitionCount)
            , timer_(io_)
            , deadlines_(io_)
        {
            addServer(0, [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                onStoreRequest(request, std::move(respond));
            });
            addServer(1, [this](HttpMessage&& request, const HttpServer::ResponseCallback& respond) {
                onInstanceRequest(request, respond);
            });
            for (int i = 0; i < 2 * FLAGS_users_workers; ++i) {
                auto& instance = instances_["m-" + std::to_string(i)];
                instance.port = 2 + i;
                instance.pool = i < FLAGS_users_workers ? serviceName : standbyServiceName;
                addServer(2 + i, [this, i](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                    auto& worker = instances_.at("m-" + std::to_string(i)).worker;
                    if (worker)
                        worker->handle(request, std::move(respond));
                    else
                        respond({ 503 });
                });
            }
            for (auto& [id, instance] : instances_)
                if (instance.pool == serviceName)
                    startWorker(id, instance);
            publishConfiguration();
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
            Instant moveEndsAt {};
            std::unique_ptr<WorkerStandIn> worker {};
        };

        void addServer(int offset, HttpServer::Handler handler)
        {
            servers_.push_back(std::make_unique<HttpServer>(
                io_, deadlines_, HttpServerOptions { address(offset) }, std::move(handler)));
        }

        static std::string address(int offset) { return fmt::format("127.0.0.1:{}", FLAGS_users_port + offset); }

        // With accounts, the queue "render" needs a key, and a queue "open" needs none.
        void publishConfiguration()
        {
            platform::Configuration configuration;
            configuration.version = ++configurationVersion_;
            QueueConfiguration queue;
            queue.name = "render";
            queue.host = "reports.example";
            queue.pathPrefix = "/render/";
            queue.service = serviceName;
            queue.maximumAttempts = 3;
            queue.latencyTarget = Milliseconds { 2000 };
            configuration.queues.emplace(queue.name, queue);
            if (!keysByAccount_.empty()) {
                queue.name = "open";
                queue.pathPrefix = "/open/";
                queue.isPublic = true;
                configuration.queues.emplace(queue.name, queue);
                configuration.hasAccounts = true;
                for (const auto& [name, keys] : keysByAccount_)
                    configuration.accounts[name] = { name, { quotaMilliCores_, 0, 0 }, 0 };
            }
            configuration.services[serviceName] = { serviceName, true, false };
            configuration.services[standbyServiceName] = { standbyServiceName, true, true };
            auto record = platform::encodeConfiguration(configuration, keysByAccount_);
            store_.put(platform::operatorPartition().topic, record.key, record.value);
        }

        void startWorker(const std::string& id, Instance& instance)
        {
            instance.worker = std::make_unique<WorkerStandIn>(
                fmt::format("i-{}-{}", id, ++incarnations_), 1000 * FLAGS_users_cores, statistics_);
            heartbeat(id, instance);
        }

        void heartbeat(const std::string& id, const Instance& instance)
        {
            WorkerInfo info;
            info.id = instance.worker->id();
            info.address = address(instance.port);
            info.service = instance.pool;
            info.zone = zoneName;
            info.instance = id;
            info.capacity = capacity();
            info.labels = { instanceTypeName, rackName };
            info.bootTime = instance.worker->bootTime();
            auto record = platform::encodeWorker(info);
            store_.put(platform::registryPartition().topic, record.key, record.value);
        }

        static Resources capacity() { return { int64_t { 1000 } * FLAGS_users_cores, 64000, 0 }; }

        void onStoreRequest(const HttpMessage& request, HttpServer::ResponseCallback respond)
        {
            if (request.target.rfind("/control/", 0) == 0)
                handleControl(request.target.substr(std::string_view("/control/").size()), respond);
            else
                store_.handle(request, std::move(respond));
        }

        void handleControl(const std::string& command, const HttpServer::ResponseCallback& respond)
        {
            if (command == "down" || command == "up")
                store_.faults().down = command == "down";
            else if (command == "lose")
                store_.faults().dropResponseEvery = 3;
            else if (command == "keep")
                store_.faults().dropResponseEvery = 0;
            else if (command == "odd")
                putOddEntries();
            else if (command == "accounts" || command == "withdraw" || command == "quota")
                changeAccounts(command);
            else if (command == "reset")
                statistics_.peakRunning = statistics_.running;
            respond({ 200,
                json { { "starts", statistics_.starts }, { "twice", statistics_.duplicateRuns }, { "moves", moves_ },
                    { "killed", killedRuns_ }, { "serving", runningWorkers() }, { "peak", statistics_.peakRunning } }
                    .dump() });
        }

        void changeAccounts(const std::string& command)
        {
            static constexpr int64_t smallQuota = 3000; // thousandths of a core
            if (command == "accounts")
                keysByAccount_ = { { "team-a", { "kq7firsta", "kq7seconda" } }, { "team-b", { "kq7b" } } };
            else if (command == "withdraw")
                keysByAccount_["team-a"].erase(keysByAccount_["team-a"].begin());
            else
                quotaMilliCores_ = smallQuota;
            publishConfiguration();
        }

        // Entries of another writer in the registry: malformed ones, ones that name nothing that can be reached, and
        // more than a page of keys that are not URL-safe.
        void putOddEntries()
        {
            static constexpr size_t nesting = 200000;
            static constexpr int oddKeys = 1399;
            auto topic = platform::registryPartition().topic;
            auto entry = [](const std::string& entryAddress, const std::string& cores) {
                return fmt::format(R"({{"Service":"{}","Address":"{}","State":"ready","Capacity":{{"Cpu":{}}}}})",
                    serviceName, entryAddress, cores);
            };
            std::vector<std::string> values { std::string(nesting, '['), R"({"Capacity":)" + std::string(nesting, '['),
                "null", "[]", "7", "\"text\"", std::string("\0\0{", 3), "\xff\xfe", entry("127.0.0.1:99999", "1000"),
                entry("127.0.0.1:0", "1000"), entry("127.0.0.1", "1000"), entry("nowhere", "1000"),
                entry("127.0.0.1:1", "1e400"), entry("127.0.0.1:1", "9223372036854775808"),
                entry("127.0.0.1:1", "9e18"), entry("127.0.0.1:1", "-1") };
            for (size_t i = 0; i < values.size(); ++i)
                store_.put(topic, fmt::format("odd-{}", i), values[i]);
            for (int i = 0; i < oddKeys; ++i)
                store_.put(topic, fmt::format("w {}&x=#%", i), entry("127.0.0.1:1", "1000"));
            store_.put(topic, "w\r\nX: y", entry("127.0.0.1:1", "1000"));
        }

        size_t runningWorkers() const
        {
            size_t count = 0;
            for (const auto& [id, instance] : instances_)
                count += instance.worker ? 1 : 0;
            return count;
        }

        void onInstanceRequest(const HttpMessage& request, const HttpServer::ResponseCallback& respond)
        {
            if (platform::isListInstancesRequest(request)) {
                std::vector<platform::InstanceInfo> list;
                for (const auto& [id, instance] : instances_)
                    list.push_back({ id, instance.pool, instance.state, zoneName, rackName, capacity(),
                        { instanceTypeName, rackName }, instance.worker ? instance.worker->id() : std::string() });
                respond({ 200, platform::formatListInstancesResponse(list) });
                return;
            }
            auto order = platform::parseInstanceOrderRequest(request);
            auto found = order ? instances_.find(order->instance) : instances_.end();
            if (found == instances_.end() || order->pool.empty()) {
                respond({ 400 });
                return;
            }
            auto& instance = found->second;
            if (instance.worker) {
                killedRuns_ += instance.worker->runCount();
                instance.worker->killAll();
                store_.put(platform::registryPartition().topic, instance.worker->id(), {});
                instance.worker.reset();
            }
            instance.pool = order->pool;
            instance.state = platform::InstanceState::Moving;
            instance.moveEndsAt = BootClock::now() + moveDuration;
            ++moves_;
            respond({ 200, "{}" });
        }

        void tick()
        {
            auto now = BootClock::now();
            store_.poll(now);
            bool heartbeatDue = now >= nextHeartbeatAt_;
            if (heartbeatDue)
                nextHeartbeatAt_ = now + heartbeatInterval;
            for (auto& [id, instance] : instances_) {
                if (instance.state == platform::InstanceState::Moving && instance.moveEndsAt <= now) {
                    instance.state = platform::InstanceState::Up;
                    if (instance.pool != standbyServiceName)
                        startWorker(id, instance);
                }
                if (!instance.worker)
                    continue;
                instance.worker->poll(now);
                if (heartbeatDue && !store_.faults().down)
                    heartbeat(id, instance);
            }
            timer_.expires_after(pollInterval);
            timer_.async_wait([this](std::error_code error) {
                if (!error)
                    tick();
            });
        }

        asio::io_context io_ { 1 };
        StoreStandIn store_;
        asio::steady_timer timer_;
        DeadlineQueue deadlines_;
        std::vector<std::unique_ptr<HttpServer>> servers_;
        std::map<std::string, Instance> instances_;
        RunStatistics statistics_;
        Instant nextHeartbeatAt_ {};
        uint64_t configurationVersion_ = 0;
        std::map<std::string, std::vector<std::string>> keysByAccount_; // empty: the configuration has no accounts
        int64_t quotaMilliCores_ = 0; // of each account; 0: none
        uint64_t incarnations_ = 0;
        uint64_t moves_ = 0;
        uint64_t killedRuns_ = 0;
    };

} // namespace

int runPlatformRole()
{
    PlatformStandIn platform;
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
