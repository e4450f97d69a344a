#include "NodeProcess.h"

#include "../Base/Logging.h"
#include "../Operators/OperatorServer.h"
#include "FleetExchange.h"
#include "FleetManager.h"
#include "Followers.h"
#include "Front.h"
#include "OperatorLink.h"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>

namespace shallotdrift {

using namespace internal; // NOLINT(google-build-using-namespace)

// Workers accept 64 connections each; an owner needs one for the waiting call and a few for orders.
static constexpr HttpClientOptions workerOptions { 5, 8 << 20, Milliseconds { 500 }, Milliseconds { 30000 } };
static constexpr HttpClientOptions peerOptions { 16, 8 << 20, Milliseconds { 300 }, Milliseconds { 8000 } };
static constexpr HttpClientOptions platformOptions { 12, 16 << 20, Milliseconds { 400 }, Milliseconds { 30000 } };
// The platform stops sending new connections after two failed checks of readiness, one a second.
static constexpr Milliseconds listenAfterStop { 2600 };
// Part of the grace time that is left for the last answers to be written.
static constexpr Milliseconds stopReserve { 700 };
static constexpr Milliseconds stopPoll { 50 };
// The internal ports in order: the other entry instances, metrics, operators.
static constexpr uint32_t operatorPortOffset = 2;

namespace {

    class NodeProcess {
    public:
        explicit NodeProcess(const NodeSettings& settings)
            : settings_(settings)
            , deadlines_(io_)
            , workers_(io_, deadlines_, workerOptions)
            , peers_(io_, deadlines_, peerOptions)
            , platformClient_(io_, deadlines_, platformOptions)
            , store_(platformClient_, settings_.storeAddress)
            , context_ { io_, deadlines_, settings_, workers_, peers_, platformClient_, store_ }
            , membership_(context_,
                  { [this](uint32_t partition, uint64_t generation) { gain(partition, generation); },
                      [this](uint32_t partition) { drop(partition); } })
            , registry_(context_, [this] { forEachOwned(&OwnedPartition::onRegistry); })
            , configuration_(context_, [this] { onConfiguration(); })
            , front_(context_, membership_, [this](uint32_t partition) { return findOwned(partition); })
            , operatorLink_(context_, membership_, [this] { return fleet_; })
            , callers_(io_, deadlines_, { settings_.callerAddress },
                  [this](HttpMessage&& request, HttpServer::ResponseCallback reply) {
                      front_.handle(std::move(request), std::move(reply));
                  })
            , ready_(io_, deadlines_, { settings_.readyAddress },
                  [this](HttpMessage&& request, HttpServer::ResponseCallback reply) {
                      front_.handle(std::move(request), std::move(reply));
                  })
            , peerServer_(io_, deadlines_, { internalAddress(0) },
                  [this](HttpMessage&& request, HttpServer::ResponseCallback reply) {
                      handlePeer(std::move(request), std::move(reply));
                  })
            , metrics_(io_, deadlines_, { internalAddress(1) },
                  [this](HttpMessage&&, const HttpServer::ResponseCallback& reply) {
                      reply({ 200, metricsText(), "text/plain" });
                  })
            , signals_(io_)
            , stopTimer_(io_)
        {
        }

        Result<void> start()
        {
            BOOST_LEAF_CHECK(callers_.start());
            if (settings_.readyAddress != settings_.callerAddress)
                BOOST_LEAF_CHECK(ready_.start());
            BOOST_LEAF_CHECK(peerServer_.start());
            BOOST_LEAF_CHECK(metrics_.start());
            startOperatorServer();
            configuration_.start();
            membership_.start();
            for (int signal : { SIGTERM, SIGINT, SIGHUP })
                signals_.add(signal);
            waitForSignal();
            logger("node")->info("event=start name={} zone={} callers={} member={} instances={}", settings_.name,
                settings_.zone, settings_.callerAddress, membership_.member(), settings_.instancesAddress);
            return {};
        }

        void run()
        {
            io_.run();
            if (operatorServer_)
                operatorServer_->stop();
        }

    private:
        std::string internalAddress(uint32_t offset) const
        {
            return fmt::format("{}:{}", settings_.ip, settings_.firstInternalPort + offset);
        }

        void forEachOwned(void (OwnedPartition::*function)())
        {
            auto owned = owned_; // a callback may drop one
            for (auto& [number, partition] : owned)
                ((*partition).*function)();
        }

        OwnedPartition* findOwned(uint32_t partition)
        {
            auto found = owned_.find(partition);
            return found == owned_.end() ? nullptr : found->second.get();
        }

        // Partitions that hold no service need no owner.
        bool inUse(uint32_t partition) const
        {
            for (const auto& [name, service] : context_.configuration->services)
                if (!service.standby && partitionOf(name, settings_.storePartitions) == partition)
                    return true;
            return false;
        }

        void gain(uint32_t partition, uint64_t generation)
        {
            granted_[partition] = generation;
            take(partition);
        }

        void take(uint32_t partition)
        {
            if (partition == FleetManager::partition) {
                takeFleet();
                return;
            }
            if (!context_.configuration || context_.stopping || owned_.count(partition) != 0 || !inUse(partition))
                return;
            auto owned
                = std::make_shared<OwnedPartition>(context_, partition, granted_.at(partition), [this, partition] {
                      drop(partition);
                      membership_.partitionRefused(partition);
                  });
            owned_.emplace(partition, owned);
            registry_.setWanted(true);
            owned->start();
        }

        void takeFleet()
        {
            if (!context_.configuration || context_.stopping || fleet_ || settings_.instancesAddress.empty())
                return;
            FleetManager::Links links;
            links.waves
                = [this]() -> const std::map<uint64_t, platform::WaveRequest>& { return configuration_.waves(); };
            links.exchangeHere = [this](const std::string& cordons) { return exchangeHere(cordons); };
            fleet_ = std::make_shared<FleetManager>(
                context_, membership_, granted_.at(FleetManager::partition), std::move(links), [this] {
                    drop(FleetManager::partition);
                    membership_.partitionRefused(FleetManager::partition);
                });
            fleet_->start();
        }

        std::string exchangeHere(const std::string& cordons) { return answerCordons(cordons, owned_, currentTime()); }

        void handlePeer(HttpMessage&& request, HttpServer::ResponseCallback reply)
        {
            if (request.target == fleetTarget)
                reply({ 200, exchangeHere(request.body) });
            else if (OperatorLink::isPeerCall(request.target))
                operatorLink_.handlePeer(std::move(request), std::move(reply));
            else
                front_.handlePeer(std::move(request), std::move(reply));
        }

        // Callers are served without operators, too.
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
            operatorServer_ = std::make_unique<OperatorServer>(std::move(options), operatorLink_);
            handleError([this] { return operatorServer_->start(); },
                [](const Error& error) {
                    logger("operators")
                        ->error("event=start_failed code={} reason=\"{}\"", static_cast<unsigned>(error.code),
                            error.message);
                });
        }

        void drop(uint32_t partition)
        {
            granted_.erase(partition);
            if (partition == FleetManager::partition && fleet_) {
                fleet_->stop();
                asio::post(io_, [held = std::move(fleet_)] {});
                fleet_ = nullptr;
                return;
            }
            auto found = owned_.find(partition);
            if (found == owned_.end())
                return;
            found->second->stop();
            // Frames of the object may be on the stack.
            asio::post(io_, [held = found->second] {});
            owned_.erase(found);
            registry_.setWanted(!owned_.empty());
        }

        void onConfiguration()
        {
            const auto& limits = context_.configuration->limits;
            callers_.setLimits(
                { limits.maximumHeaderBytes, limits.maximumBodyBytes }, limits.headerTimeout, limits.idleTimeout);
            for (const auto& [partition, generation] : granted_)
                take(partition);
            forEachOwned(&OwnedPartition::onConfiguration);
        }

        void waitForSignal()
        {
            signals_.async_wait([this](std::error_code error, int signal) {
                if (error)
                    return;
                if (signal == SIGHUP) {
                    logger("node")->info("event=reload"); // the settings in use do not change while the process runs
                    waitForSignal();
                    return;
                }
                stop();
            });
        }

        // Partitions are handed over at once; callers are served through their new owners until none is left.
        void stop()
        {
            if (context_.stopping)
                return;
            logger("node")->info(
                "event=stopping open_requests={} partitions={}", callers_.openRequests(), owned_.size());
            context_.stopping = true;
            stopBegan_ = BootClock::now();
            callers_.beginDrain();
            releaseWhenStored();
            pollStop();
        }

        void releaseWhenStored()
        {
            auto owned = owned_;
            for (const auto& [number, partition] : owned)
                drop(number);
            drop(FleetManager::partition);
            membership_.leave([] {});
        }

        void pollStop()
        {
            auto spent = BootClock::now() - stopBegan_;
            bool listening = spent < listenAfterStop;
            if (!listening)
                callers_.closeListener();
            if ((!listening && callers_.openRequests() == 0) || spent > settings_.stopGrace() - stopReserve) {
                logger("node")->info("event=stop open_requests={}", callers_.openRequests());
                io_.stop();
                return;
            }
            stopTimer_.expires_after(stopPoll);
            stopTimer_.async_wait([this](std::error_code error) {
                if (!error)
                    pollStop();
            });
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
            add("requests_unanswered_total", counters.requestsUnanswered);
            add("starts_sent_total", counters.startsSent);
            add("starts_refused_total", counters.startsRefused);
            add("starts_unanswered_total", counters.startsUnanswered);
            add("runs_ended_total", counters.runsEnded);
            add("holds_sent_total", counters.holdsSent);
            add("holds_failed_total", counters.holdsFailed);
            add("partitions_taken_total", counters.partitionsTaken);
            add("partitions_lost_total", counters.partitionsLost);
            add("instances_moved_total", counters.instancesMoved);
            add("instances_maintained_total", counters.instancesMaintained);
            add("worker_connections_total", workers_.connectionsOpened());
            add("store_calls_total", store_.calls());
            add("store_reachable", store_.reachable() ? 1 : 0);
            add("configuration_version", context_.configuration ? context_.configuration->version : 0);
            add("partitions_owned", owned_.size());
            return text;
        }

        NodeSettings settings_;
        asio::io_context io_ { 1 };
        DeadlineQueue deadlines_;
        HttpClient workers_;
        HttpClient peers_;
        HttpClient platformClient_;
        StoreLink store_;
        NodeContext context_;
        std::map<uint32_t, uint64_t> granted_; // partition -> generation at which it was given to this entry instance
        std::map<uint32_t, std::shared_ptr<OwnedPartition>> owned_;
        std::shared_ptr<FleetManager> fleet_;
        Membership membership_;
        RegistryFollower registry_;
        ConfigurationFollower configuration_;
        Front front_;
        OperatorLink operatorLink_;
        std::unique_ptr<OperatorServer> operatorServer_;
        HttpServer callers_;
        HttpServer ready_;
        HttpServer peerServer_;
        HttpServer metrics_;
        asio::signal_set signals_;
        asio::steady_timer stopTimer_;
        Instant stopBegan_ {};
    }; // namespace shallotdrift

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
    flushLog();
    return started ? 0 : 1;
}

} // namespace shallotdrift
