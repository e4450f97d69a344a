#include "NodeProcess.h"

#include "../Base/Logging.h"
#include "../Operators/OperatorServer.h"
#include "FleetManager.h"
#include "FleetProtocol.h"
#include "GuardedLoop.h"
#include "OperatorCallRouter.h"
#include "RequestRouter.h"
#include "Watchers.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>

namespace shallotdrift {

using namespace internal; // NOLINT(google-build-using-namespace)

// A worker accepts 64 connections. An owner uses one for the long-polling lease renewal and a few for orders.
static constexpr HttpClientOptions workerOptions { 5, 8 << 20, Milliseconds { 500 }, Milliseconds { 30000 } };
static constexpr HttpClientOptions peerOptions { 16, 8 << 20, Milliseconds { 300 }, Milliseconds { 8000 },
    Milliseconds { 300 } };
static constexpr HttpClientOptions platformOptions { 12, 16 << 20, Milliseconds { 400 }, Milliseconds { 30000 },
    Milliseconds { 600 } };
// The platform checks readiness once a second and stops sending new connections after two failed checks.
static constexpr Milliseconds listenTimeAfterStop { 2600 };
// Part of the grace period that is kept for writing the last responses.
static constexpr Milliseconds responseWriteMargin { 700 };
static constexpr Milliseconds stopPollInterval { 50 };
// Offset from the first internal port. The internal ports serve, in order: other entry instances, metrics, operators.
static constexpr uint32_t operatorPortOffset = 2;

static constexpr Milliseconds budgetInterval { 1000 };
// Beyond it, delays of the event loop are logged.
static constexpr Milliseconds loggedLoopDelay { 250 };
// Of a machine whose memory is unknown.
static constexpr size_t assumedMemoryMegabytes = 160;
static constexpr size_t bytesPerMegabyte = 1 << 20;
// Descriptors that are kept for files.
static constexpr size_t fileDescriptors = 200;
// Descriptors that are kept for workers, the store and other entry instances, if the process has so many.
static constexpr size_t internalDescriptors = 1800;
// Maximum connections to the listeners for readiness checks and for metrics, each.
static constexpr size_t probeConnections = 128;
static constexpr size_t maximumProbeReserveBytes = 1 << 20;
// Number of descriptors that the listeners share at least.
static constexpr size_t leastDescriptors = 128;

namespace {

    // What the connections of each listener may hold.
    struct ConnectionShare {
        size_t memoryBytes;
        size_t peerReserveBytes;
        size_t probeReserveBytes;
        size_t callers;
        size_t peers;
        size_t probes;
    };

    ConnectionShare shareConnections(const NodeSettings& settings)
    {
        auto megabytes = settings.memoryMegabytes > 0 ? settings.memoryMegabytes : assumedMemoryMegabytes;
        ConnectionShare share {};
        share.memoryBytes
            = static_cast<size_t>(static_cast<double>(megabytes * bytesPerMegabyte) * settings.connectionMemoryShare);
        share.peerReserveBytes = share.memoryBytes / 4;
        share.probeReserveBytes = std::min(maximumProbeReserveBytes, share.memoryBytes / 16);
        if (settings.descriptors == 0) {
            share.callers = share.peers = settings.clientConnections;
            share.probes = probeConnections;
            return share;
        }
        auto available = std::max<size_t>(settings.descriptors, fileDescriptors + leastDescriptors) - fileDescriptors;
        auto internal = std::min(internalDescriptors, available / 2);
        share.callers = std::min<size_t>(settings.clientConnections, available - internal);
        share.peers = internal / 2;
        share.probes = std::min(probeConnections, internal / 8);
        return share;
    }

    class NodeProcess {
    public:
        explicit NodeProcess(const NodeSettings& settings)
            : settings_(settings)
            , deadlines_(io_)
            , workerClient_(io_, deadlines_, workerOptions)
            , peerClient_(io_, deadlines_, peerOptions)
            , platformClient_(io_, deadlines_, platformOptions)
            , storeClient_(platformClient_, settings_.storeAddress)
            , context_ { io_, deadlines_, settings_, workerClient_, peerClient_, platformClient_, storeClient_ }
            , membership_(context_,
                  { [this](uint32_t partition, uint64_t generation) { onPartitionAssigned(partition, generation); },
                      [this](uint32_t partition) { release(partition); } })
            , registryWatcher_(context_, [this] { forEachOwned(&OwnedPartition::onRegistry); })
            , configurationWatcher_(context_, membership_, [this] { onConfiguration(); })
            , requestRouter_(context_, membership_, [this](uint32_t partition) { return findOwned(partition); })
            , operatorCallRouter_(context_, membership_, [this] { return fleetManager_; })
            , share_(shareConnections(settings_))
            , budget_(std::make_shared<ConnectionBudget>(share_.memoryBytes, settings_.stallTimeout))
            , callerServer_(
                  io_, deadlines_, serverOptions(settings_.callerAddress, "callers", share_.callers, 0),
                  [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                      requestRouter_.handle(std::move(request), std::move(respond));
                  },
                  [this](const HttpMessage& head) { return requestRouter_.checkHead(head); })
            , readinessServer_(
                  io_, deadlines_,
                  serverOptions(settings_.readyAddress, "ready", share_.probes, share_.probeReserveBytes),
                  [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                      requestRouter_.handle(std::move(request), std::move(respond));
                  },
                  [this](const HttpMessage& head) { return checkHeadAtReadyAddress(head); })
            , peerServer_(
                  io_, deadlines_, serverOptions(internalAddress(0), "peers", share_.peers, share_.peerReserveBytes),
                  [this](HttpMessage&& request, HttpServer::ResponseCallback respond) {
                      handlePeer(std::move(request), std::move(respond));
                  },
                  [this](const HttpMessage& head) { return checkPeerHead(head); })
            , metricsServer_(
                  io_, deadlines_,
                  serverOptions(internalAddress(1), "metrics", share_.probes, share_.probeReserveBytes),
                  [](HttpMessage&&, const HttpServer::ResponseCallback& respond) { respond({ 404 }); },
                  [this](const HttpMessage&) {
                      return HttpResponse { 200, metricsText(), "text/plain" };
                  })
            , budgetTimer_(io_)
            , signals_(io_)
            , stopTimer_(io_)
        {
        }

        Result<void> start()
        {
            BOOST_LEAF_CHECK(callerServer_.start());
            if (settings_.readyAddress != settings_.callerAddress)
                BOOST_LEAF_CHECK(readinessServer_.start());
            BOOST_LEAF_CHECK(peerServer_.start());
            BOOST_LEAF_CHECK(metricsServer_.start());
            startOperatorServer();
            maintainBudget();
            configurationWatcher_.start();
            membership_.start();
            for (int signal : { SIGTERM, SIGINT, SIGHUP })
                signals_.add(signal);
            waitForSignal();
            logger("node")->info("event=start name={} zone={} caller_address={} member={} instances_address={}",
                settings_.name, settings_.zone, settings_.callerAddress, membership_.memberId(),
                settings_.instancesAddress);
            return {};
        }

        void run()
        {
            runGuarded(io_, [this](const std::exception& error) { onUnexpectedError(error); });
            if (operatorServer_)
                operatorServer_->stop();
        }

    private:
        // The state of an owner or of the fleet manager may be half changed, so other members take the partitions over
        // from the store.
        void onUnexpectedError(const std::exception& error)
        {
            ++context_.counters.unexpectedErrors;
            logger("node")->critical("event=unexpected_error reason=\"{}\" partitions={} fleet_manager={}",
                error.what(), owned_.size(), fleetManager_ != nullptr);
            if (!context_.stopping)
                membership_.rejoin();
        }

        HttpServerOptions serverOptions(
            const std::string& address, const char* name, size_t connections, size_t reservedBytes) const
        {
            HttpServerOptions options { address };
            options.limits.maximumHeaderFields = settings_.headerFields;
            options.maximumConnections = connections;
            options.name = name;
            options.budget = budget_;
            options.reservedBytes = reservedBytes;
            return options;
        }

        void maintainBudget()
        {
            budget_->maintain();
            auto dueAt = BootClock::now() + budgetInterval;
            budgetTimer_.expires_after(budgetInterval);
            budgetTimer_.async_wait([this, dueAt](std::error_code error) {
                if (error)
                    return;
                observeLoopDelay(std::chrono::duration_cast<Milliseconds>(BootClock::now() - dueAt));
                maintainBudget();
            });
        }

        // A late timer shows that the process was paused, or had too little processor time for its events.
        void observeLoopDelay(Milliseconds delay)
        {
            loopDelay_ = delay;
            if (delay >= loggedLoopDelay)
                logger("node")->warn("event=loop_delayed delay_ms={}", delay.count());
        }

        // Jobs are handed in at the callers' address only, and nothing else has a body.
        std::optional<HttpResponse> checkHeadAtReadyAddress(const HttpMessage& head)
        {
            if (head.method == "POST")
                return platform::isReadinessProbe(head) ? requestRouter_.checkHead(head) : HttpResponse { 405 };
            return requestRouter_.checkHead(head);
        }

        std::optional<HttpResponse> checkPeerHead(const HttpMessage& head) const
        {
            if (head.target == fleetPath || OperatorCallRouter::isPeerCall(head.target)
                || ConfigurationRelay::isRelayRequest(head))
                return std::nullopt;
            return requestRouter_.checkPeerHead(head);
        }

        std::string internalAddress(uint32_t offset) const
        {
            return fmt::format("{}:{}", settings_.ip, settings_.firstInternalPort + offset);
        }

        void forEachOwned(void (OwnedPartition::*function)())
        {
            auto owned = owned_; // a call may release a partition
            for (auto& [number, partition] : owned)
                ((*partition).*function)();
        }

        OwnedPartition* findOwned(uint32_t partition)
        {
            auto found = owned_.find(partition);
            return found == owned_.end() ? nullptr : found->second.get();
        }

        // Whether the partition stores an active service (not a standby) and therefore needs an owner.
        bool holdsService(uint32_t partition) const
        {
            for (const auto& [name, service] : context_.configuration->services)
                if (!service.standby && partitionOf(name, settings_.storePartitions) == partition)
                    return true;
            return false;
        }

        void onPartitionAssigned(uint32_t partition, uint64_t generation)
        {
            assignedGenerations_[partition] = generation;
            takeOver(partition);
        }

        void takeOver(uint32_t partition)
        {
            if (partition == FleetManager::partition) {
                takeOverFleet();
                return;
            }
            if (!context_.configuration || context_.stopping || owned_.count(partition) != 0
                || !holdsService(partition))
                return;
            auto owned = std::make_shared<OwnedPartition>(
                context_, partition, assignedGenerations_.at(partition), [this, partition] {
                    release(partition);
                    membership_.onPartitionFenced(partition);
                });
            owned_.emplace(partition, owned);
            registryWatcher_.setEnabled(true);
            owned->start();
        }

        void takeOverFleet()
        {
            if (!context_.configuration || context_.stopping || fleetManager_ || settings_.instancesAddress.empty())
                return;
            FleetManager::Callbacks callbacks;
            callbacks.waves = [this]() -> const std::map<uint64_t, platform::WaveRequest>& {
                return configurationWatcher_.waves();
            };
            callbacks.applyCordonsLocally = [this](const std::string& cordons) { return applyCordonsLocally(cordons); };
            fleetManager_ = std::make_shared<FleetManager>(
                context_, membership_, assignedGenerations_.at(FleetManager::partition), std::move(callbacks), [this] {
                    release(FleetManager::partition);
                    membership_.onPartitionFenced(FleetManager::partition);
                });
            fleetManager_->start();
        }

        std::string applyCordonsLocally(const std::string& cordons)
        {
            auto now = currentTime();
            return applyCordons(cordons, owned_, context_.membershipLease.valid(now.steady), now);
        }

        void handlePeer(HttpMessage&& request, HttpServer::ResponseCallback respond)
        {
            if (request.target == fleetPath)
                respond({ 200, applyCordonsLocally(request.body) });
            else if (ConfigurationRelay::isRelayRequest(request))
                configurationWatcher_.relay().handle(request, std::move(respond));
            else if (OperatorCallRouter::isPeerCall(request.target))
                operatorCallRouter_.handlePeer(std::move(request), std::move(respond));
            else
                requestRouter_.handlePeer(std::move(request), std::move(respond));
        }

        // A failure is only logged, since callers can be served without the operators' server.
        void startOperatorServer()
        {
            if (!settings_.operatorsServed)
                return;
            OperatorServerOptions options;
            options.listenAddress = settings_.operatorAddress.empty()
                ? fmt::format("127.0.0.1:{}", settings_.firstInternalPort + operatorPortOffset)
                : settings_.operatorAddress;
            options.certificateFile = settings_.certificateFile;
            options.keyFile = settings_.keyFile;
            options.clientAuthorityFile = settings_.clientAuthorityFile;
            operatorServer_ = std::make_unique<OperatorServer>(std::move(options), operatorCallRouter_);
            handleError([this] { return operatorServer_->start(); },
                [](const Error& error) {
                    logger("operators")
                        ->error("event=start_failed code={} reason=\"{}\"", static_cast<unsigned>(error.code),
                            error.message);
                });
        }

        void release(uint32_t partition)
        {
            assignedGenerations_.erase(partition);
            if (partition == FleetManager::partition && fleetManager_) {
                fleetManager_->stop();
                asio::post(io_, [keptAlive = std::move(fleetManager_)] {});
                fleetManager_ = nullptr;
                return;
            }
            auto found = owned_.find(partition);
            if (found == owned_.end())
                return;
            found->second->stop();
            // Member functions of the object may be on the call stack, so it is destroyed later.
            asio::post(io_, [keptAlive = found->second] {});
            owned_.erase(found);
            registryWatcher_.setEnabled(!owned_.empty());
        }

        void onConfiguration()
        {
            const auto& limits = context_.configuration->limits;
            callerServer_.setLimits({ limits.maximumHeaderBytes, limits.maximumBodyBytes, settings_.headerFields },
                limits.headerTimeout, limits.idleTimeout);
            for (const auto& [partition, generation] : assignedGenerations_)
                takeOver(partition);
            forEachOwned(&OwnedPartition::onConfiguration);
        }

        void waitForSignal()
        {
            signals_.async_wait([this](std::error_code error, int signal) {
                if (error)
                    return;
                if (signal == SIGHUP) {
                    logger("node")->info("event=reload"); // no effect: settings are read at the start only
                    waitForSignal();
                    return;
                }
                stop();
            });
        }

        // Releases the partitions at once. Goes on forwarding callers' requests to the new owners until no request is
        // open or the grace period is almost over.
        void stop()
        {
            if (context_.stopping)
                return;
            logger("node")->info(
                "event=stopping open_requests={} partitions={}", callerServer_.openRequests(), owned_.size());
            context_.stopping = true;
            stopStartedAt_ = BootClock::now();
            callerServer_.beginDrain();
            releaseAll();
            pollStop();
        }

        void releaseAll()
        {
            auto owned = owned_;
            for (const auto& [number, partition] : owned)
                release(number);
            release(FleetManager::partition);
            membership_.leave([] {});
        }

        void pollStop()
        {
            auto spent = BootClock::now() - stopStartedAt_;
            bool keepListening = spent < listenTimeAfterStop;
            if (!keepListening)
                callerServer_.closeListener();
            if ((!keepListening && callerServer_.openRequests() == 0)
                || spent > settings_.stopGrace() - responseWriteMargin) {
                logger("node")->info("event=stop open_requests={}", callerServer_.openRequests());
                io_.stop();
                return;
            }
            stopTimer_.expires_after(stopPollInterval);
            stopTimer_.async_wait([this](std::error_code error) {
                if (!error)
                    pollStop();
            });
        }

        // For the accounts with the most cores in use, since each account adds lines.
        void addQuotaMetrics(std::string& text) const
        {
            static constexpr size_t maximumAccounts = 50;
            for (const auto& [number, partition] : owned_)
                for (const auto& [service, entry] : partition->services()) {
                    auto holdings = entry->scheduler.quotas().holdings();
                    std::sort(holdings.begin(), holdings.end(), [](const auto& left, const auto& right) {
                        return left.used.milliCores > right.used.milliCores;
                    });
                    holdings.resize(std::min(holdings.size(), maximumAccounts));
                    for (const auto& holding : holdings)
                        for (const auto& [name, amount] : { std::make_pair("used", holding.used.milliCores),
                                 std::make_pair("lent", holding.lent.milliCores),
                                 std::make_pair("wanted", holding.wanted.milliCores) })
                            text
                                += fmt::format("shallotdrift_quota_{}_millicores{{service=\"{}\",account=\"{}\"}} {}\n",
                                    name, service, holding.account, amount);
                }
        }

        std::string metricsText() const
        {
            const auto& counters = context_.counters;
            std::string text;
            auto add = [&text](const char* name, uint64_t value) {
                text += fmt::format("shallotdrift_{} {}\n", name, value);
            };
            add("requests_total", counters.requests);
            add("jobs_accepted_total", counters.jobsAccepted);
            add("jobs_refused_total", counters.jobsRefused);
            add("jobs_beyond_share_total", counters.jobsBeyondShare);
            add("requests_unanswered_total", counters.requestsUnanswered);
            add("starts_sent_total", counters.startsSent);
            add("starts_refused_total", counters.startsRefused);
            add("starts_unanswered_total", counters.startsUnanswered);
            add("starts_not_sent_total", counters.startsNotSent);
            add("runs_ended_total", counters.runsEnded);
            add("holds_sent_total", counters.leaseRenewalsSent);
            add("holds_failed_total", counters.leaseRenewalsFailed);
            add("partitions_taken_total", counters.partitionsTaken);
            add("partitions_lost_total", counters.partitionsLost);
            add("instances_moved_total", counters.instancesMoved);
            add("instances_maintained_total", counters.instancesMaintained);
            add("worker_connections_total", workerClient_.connectionsOpened());
            add("loop_delay_ms", static_cast<uint64_t>(std::max<int64_t>(loopDelay_.count(), 0)));
            add("store_calls_total", storeClient_.requestsSent());
            for (const auto& [path, counts] : storeClient_.requestCounts())
                for (const auto& [name, count] : { std::make_pair("sent", counts.sent),
                         std::make_pair("refused", counts.refused), std::make_pair("unanswered", counts.unanswered) })
                    text += fmt::format("shallotdrift_store_requests_{}_total{{path=\"{}\"}} {}\n", name, path, count);
            add("store_reachable", storeClient_.reachable() ? 1 : 0);
            add("configuration_version", context_.configuration ? context_.configuration->version : 0);
            add("partitions_owned", owned_.size());
            add("keys_refused_total", counters.keysRefused);
            add("requests_unconfirmed_total", counters.requestsUnconfirmed);
            add("configuration_age_ms", context_.configurationAge(BootClock::now()).count());
            add("configuration_reads_failed_total", counters.configurationReadsFailed);
            add("configuration_relayed_reads_total", counters.relayedReads);
            add("configuration_relayed_reads_failed_total", counters.relayedReadsFailed);
            addQuotaMetrics(text);
            add("unexpected_errors_total", counters.unexpectedErrors);
            for (const auto& use : budget_->use()) {
                text += fmt::format("shallotdrift_connections_open{{listener=\"{}\"}} {}\n", use.name, use.connections);
                text += fmt::format(
                    "shallotdrift_connections_memory_bytes{{listener=\"{}\"}} {}\n", use.name, use.bytes);
            }
            add("connections_memory_limit_bytes", budget_->memoryBytes());
            for (size_t i = 0; i < ConnectionBudget::shedReasons; ++i) {
                auto reason = static_cast<ConnectionBudget::ShedReason>(i);
                text += fmt::format("shallotdrift_connections_shed_total{{reason=\"{}\"}} {}\n",
                    ConnectionBudget::shedReasonName(reason), budget_->shedCount(reason));
            }
            return text;
        }

        NodeSettings settings_;
        asio::io_context io_ { 1 };
        DeadlineQueue deadlines_;
        HttpClient workerClient_;
        HttpClient peerClient_;
        HttpClient platformClient_;
        StoreClient storeClient_;
        NodeContext context_;
        std::map<uint32_t, uint64_t> assignedGenerations_; // partition -> generation at which it was assigned
        std::map<uint32_t, std::shared_ptr<OwnedPartition>> owned_;
        std::shared_ptr<FleetManager> fleetManager_;
        Membership membership_;
        RegistryWatcher registryWatcher_;
        ConfigurationWatcher configurationWatcher_;
        RequestRouter requestRouter_;
        OperatorCallRouter operatorCallRouter_;
        std::unique_ptr<OperatorServer> operatorServer_;
        ConnectionShare share_;
        std::shared_ptr<ConnectionBudget> budget_;
        HttpServer callerServer_;
        HttpServer readinessServer_;
        HttpServer peerServer_;
        HttpServer metricsServer_;
        asio::steady_timer budgetTimer_;
        Milliseconds loopDelay_ { 0 }; // of the last second
        asio::signal_set signals_;
        asio::steady_timer stopTimer_;
        Instant stopStartedAt_ {};
    };

} // namespace

int runNode(const NodeSettings& settings)
{
    setLogLevel(settings.logLevel);
    NodeProcess process(settings);
    bool started = handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(process.start());
            return true;
        },
        [](const Error& error) {
            logger("node")->error(
                "event=start_failed code={} reason=\"{}\"", static_cast<unsigned>(error.code), error.message);
            return false;
        });
    if (started)
        process.run();
    shutDownLog();
    return started ? 0 : 1;
}

} // namespace shallotdrift
