#include "EntryProcess.h"

#include "../Base/Logging.h"
#include "../Callers/CallerServer.h"
#include "../Operators/OperatorServer.h"
#include "../Peers/PeerBus.h"
#include "../Platform/LogReader.h"
#include "../Platform/LogWriter.h"
#include "Core.h"
#include "ListPoller.h"
#include "Metrics.h"
#include "MetricsServer.h"
#include "OperatorAccess.h"
#include "PlatformCalls.h"
#include "SendPermissions.h"

#include <asio.hpp>
#include <random>
#include <thread>

namespace shallotdrift {

// Assign and reboot calls take seconds each; eight run at once, as many as automatic moves by default.
static constexpr size_t operationThreads = 8;
static constexpr size_t taskThreads = 1;
static constexpr Milliseconds stopPollInterval { 20 };
static constexpr Milliseconds leaveTimeout { 5000 };

// A random nonce tells apart the processes that use one entry id over time.
static uint64_t chooseBoot()
{
    std::random_device device;
    return (uint64_t { device() } << 32 | device()) | 1;
}

class EntryProcess::Implementation {
public:
    explicit Implementation(EntrySettings settings);
    ~Implementation() { stopThreads(); }

    Result<void> start();
    void stop();

private:
    CoreOutputs makeOutputs();
    bool postCaller(CallerRequest&& request) { return core_.tryPost(std::move(request)); }
    Offset postPage(LogPage&&);
    void onCore(const std::function<void()>&);
    template <typename Condition> bool waitFor(Condition, Milliseconds limit);
    void stopThreads();

    EntrySettings settings_;
    uint64_t boot_;
    Metrics metrics_;
    SendPermissions permissions_;
    std::unique_ptr<PlatformClient> platform_;
    LogWriter writer_;
    Core core_;
    OperatorAccess access_;
    OperatorHandler operatorHandler_;
    LogReader reader_;
    PeerBus peers_;
    TargetClient targets_;
    CallerServer callers_;
    OperatorServer operators_;
    MetricsServer metricsServer_;
    std::unique_ptr<PlatformCalls> operationCalls_;
    std::unique_ptr<PlatformCalls> taskCalls_;
    std::unique_ptr<ListPoller> poller_;
    std::thread coreThread_;
    bool running_ = false;
};

static PlatformOptions platformOptions(const EntrySettings& settings)
{
    PlatformOptions options;
    options.address = settings.platformAddress;
    options.callTimeout = settings.platformCallTimeout;
    return options;
}

static LogWriterOptions writerOptions(const EntrySettings& settings, uint64_t boot)
{
    LogWriterOptions options;
    options.writer = settings.id;
    options.boot = boot;
    options.batchInterval = settings.batchInterval;
    options.seed = boot;
    return options;
}

static LogReaderOptions readerOptions(uint64_t boot)
{
    LogReaderOptions options;
    options.seed = boot;
    return options;
}

static PeerBusOptions peerOptions(const EntrySettings& settings, uint64_t boot)
{
    PeerBusOptions options;
    options.entry = settings.id;
    options.boot = boot;
    options.listenAddress = settings.peerAddress;
    return options;
}

static TargetClientOptions targetOptions(const EntrySettings& settings)
{
    TargetClientOptions options;
    options.maximumConnectionsPerTarget = settings.connectionsPerTarget;
    return options;
}

static CallerServerOptions callerOptions(const EntrySettings& settings)
{
    CallerServerOptions options;
    options.listenAddress = settings.callerAddress;
    options.maximumBodyBytes = settings.maximumBodyBytes;
    options.maximumHeaderBytes = settings.maximumHeaderBytes;
    options.maximumConnections = settings.maximumConnections;
    return options;
}

static OperatorServerOptions operatorOptions(const EntrySettings& settings)
{
    OperatorServerOptions options;
    options.listenAddress = settings.operatorAddress;
    options.certificateFile = settings.certificateFile;
    options.keyFile = settings.keyFile;
    options.clientAuthorityFile = settings.clientAuthorityFile;
    return options;
}

EntryProcess::Implementation::Implementation(EntrySettings settings)
    : settings_(std::move(settings))
    , boot_(chooseBoot())
    , platform_(makeHttpPlatformClient(platformOptions(settings_)))
    , writer_(writerOptions(settings_, boot_), *platform_)
    , core_(settings_, boot_, makeOutputs(), metrics_, permissions_)
    , access_(core_)
    , operatorHandler_(access_)
    , reader_(readerOptions(boot_), *platform_, [this](LogPage&& page) { return postPage(std::move(page)); })
    // Heartbeats and lease requests are repeated, so a message that finds the ring full may be dropped.
    , peers_(peerOptions(settings_, boot_), [this](proto::PeerMessage&& message) { core_.tryPost(std::move(message)); })
    , targets_(
          targetOptions(settings_), [this](AttemptResult&& result) { core_.post(std::move(result)); },
          [this](const TargetAttempt& attempt) {
              return permissions_.maySend(attempt.instance, attempt.epoch, BootClock::now());
          })
    , callers_(
          callerOptions(settings_), [this](CallerRequest&& request) { return postCaller(std::move(request)); },
          [this](uint64_t id) { core_.post(CallerCancelled { id }); })
    , operators_(operatorOptions(settings_), operatorHandler_)
    , metricsServer_(settings_.metricsAddress, metrics_, [this] { return core_.ready(); })
{
}

CoreOutputs EntryProcess::Implementation::makeOutputs()
{
    CoreOutputs outputs;
    outputs.reply = [this](uint64_t id, CallerReply reply) { callers_.reply(id, std::move(reply)); };
    outputs.sendAttempt = [this](TargetAttempt attempt) { targets_.send(std::move(attempt)); };
    outputs.abandonAttempt = [this](uint64_t attempt) { targets_.abandon(attempt); };
    outputs.closeIdle = [this](const std::string& instance) { targets_.closeIdle(instance); };
    outputs.sendPeer = [this](proto::PeerMessage message) { peers_.send(std::move(message)); };
    outputs.setPeers = [this](const std::map<std::string, std::string>& addresses) { peers_.setPeers(addresses); };
    outputs.append = [this](proto::Record record) { return writer_.submit(std::move(record)); };
    outputs.callPlatform = [this](PlatformCall call) {
        bool forTask = call.type == PlatformCall::Type::StartTask || call.type == PlatformCall::Type::CommandTask;
        return (forTask ? taskCalls_ : operationCalls_)->submit(std::move(call));
    };
    outputs.platformReachable = [this] { return reader_.reachable(); };
    return outputs;
}

Offset EntryProcess::Implementation::postPage(LogPage&& page)
{
    LogPageArrived arrived;
    Offset sameAgain = page.items.empty() ? page.next : page.items.front().offset;
    arrived.page = std::move(page);
    auto answer = arrived.readNext.get_future();
    if (!core_.post(std::move(arrived)))
        return sameAgain;
    try {
        return answer.get();
    } catch (const std::future_error&) {
        return sameAgain; // the core stopped first
    }
}

Result<void> EntryProcess::Implementation::start()
{
    auto postResult = [this](PlatformCallResult&& result) { core_.post(std::move(result)); };
    operationCalls_ = std::make_unique<PlatformCalls>(*platform_, operationThreads, postResult);
    taskCalls_ = std::make_unique<PlatformCalls>(*platform_, taskThreads, postResult);
    running_ = true;
    coreThread_ = std::thread([this] { core_.run(); });
    targets_.start();
    BOOST_LEAF_CHECK(peers_.start());
    peers_.setPeers(settings_.peers);
    writer_.start();
    reader_.start(1);
    poller_ = std::make_unique<ListPoller>(
        *platform_, settings_.listInterval, [this](InstanceList&& list) { core_.post(std::move(list)); },
        [this](std::vector<PlatformTask>&& tasks) { core_.post(TasksListed { std::move(tasks) }); });
    BOOST_LEAF_CHECK(metricsServer_.start());
    BOOST_LEAF_CHECK(operators_.start());
    BOOST_LEAF_CHECK(callers_.start());
    logger("core")->info(
        "entry {} of zone {} serves callers on {}", settings_.id, settings_.zone, settings_.callerAddress);
    return {};
}

void EntryProcess::Implementation::onCore(const std::function<void()>& function)
{
    std::promise<void> done;
    auto future = done.get_future();
    bool posted = core_.post(RunOnCore { [&] {
        function();
        done.set_value();
    } });
    if (posted)
        future.wait();
}

template <typename Condition> bool EntryProcess::Implementation::waitFor(Condition condition, Milliseconds limit)
{
    Instant end = BootClock::now() + limit;
    while (!condition()) {
        if (BootClock::now() >= end)
            return false;
        std::this_thread::sleep_for(stopPollInterval);
    }
    return true;
}

void EntryProcess::Implementation::stop()
{
    if (!running_)
        return;
    onCore([this] { core_.beginStop(); });
    callers_.beginDrain();
    std::this_thread::sleep_for(settings_.stopGrace);
    callers_.closeListener();
    bool idle = waitFor(
        [this] {
            bool coreIdle = false;
            onCore([&] { coreIdle = core_.idle(); });
            return coreIdle && !callers_.openRequests();
        },
        settings_.stopLimit);
    // An entry that cannot tell that its leases are unused stays a member; it is removed once the list shows it gone.
    if (idle)
        onCore([this] { core_.leave(); });
    else
        logger("core")->warn("stop limit reached with {} open requests or leases in use", callers_.openRequests());
    if (!writer_.flush(leaveTimeout))
        logger("core")->warn("the log did not take the last records in time");
    stopThreads();
    logger("core")->info("stopped");
}

void EntryProcess::Implementation::stopThreads()
{
    if (!running_)
        return;
    running_ = false;
    callers_.stop();
    operators_.stop();
    metricsServer_.stop();
    if (poller_)
        poller_->stop();
    // The reader waits for the core's answer, so the core goes on until the reader has stopped.
    reader_.stop();
    peers_.stop();
    targets_.stop();
    core_.stop();
    if (coreThread_.joinable())
        coreThread_.join();
    operationCalls_->stop();
    taskCalls_->stop();
    writer_.stop();
}

EntryProcess::EntryProcess(EntrySettings settings)
    : implementation_(std::make_unique<Implementation>(std::move(settings)))
{
}

EntryProcess::~EntryProcess() = default;

Result<void> EntryProcess::start() { return implementation_->start(); }

void EntryProcess::stop() { implementation_->stop(); }

int runEntry(const EntrySettings& settings)
{
    asio::io_context context;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const asio::error_code&, int) {});
    EntryProcess process(settings);
    bool started = handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(process.start());
            return true;
        },
        [](const Error& error) {
            logger("core")->error("start failed: {} {}", static_cast<unsigned>(error.code), error.message);
            return false;
        });
    if (!started)
        return 1;
    context.run();
    process.stop();
    return 0;
}

} // namespace shallotdrift
