#include "Watchers.h"

#include "../Base/Logging.h"

#include <algorithm>
#include <asio/post.hpp>

namespace shallotdrift::internal {

// Longest time for which the store holds a long-polling read. With a longer time, a dead connection is noticed later.
static constexpr Milliseconds configurationReadWait { 1500 };
static constexpr Milliseconds responseTimeout { 600 }; // in addition to the long-polling time
static constexpr Milliseconds retryDelay { 200 };
// A worker that announces its drain must be vacated within DrainMs (2 s).
static constexpr Milliseconds registryReadInterval { 200 };

// The key as it is logged: without spaces and control characters, and of limited length.
static std::string printableKey(const std::string& key)
{
    static constexpr size_t maximumLength = 80;
    auto text = key.substr(0, maximumLength);
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c <= ' ' || c > '~'; }, '?');
    return text;
}

ConfigurationWatcher::ConfigurationWatcher(NodeContext& context, std::function<void()> onConfiguration)
    : context_(context)
    , onConfiguration_(std::move(onConfiguration))
    , reader_(
          context, platform::operatorPartition(), [this](platform::KeyedRecord&& record) { apply(record); },
          [this](uint64_t endOffset) {
              nextOffset_ = endOffset; // records appended while the pages are read are read again as changes
              confirm(snapshotBegunAt_);
              watch();
          })
    , timer_(context.io)
{
}

void ConfigurationWatcher::start() { readSnapshot(); }

void ConfigurationWatcher::readSnapshot()
{
    snapshotBegunAt_ = BootClock::now();
    reader_.start();
}

// A response shows what the store held at some time after the request was sent, however late it arrives.
void ConfigurationWatcher::confirm(Instant readAt)
{
    context_.configurationConfirmedAt = std::max(context_.configurationConfirmedAt, readAt);
}

// A read that waits for changes confirms the configuration only when it ends. When the last confirmation is getting
// old, for example after a response was lost, a read without a wait renews it sooner.
Milliseconds ConfigurationWatcher::readWait() const
{
    auto bound = context_.settings.keyWithdrawalBound;
    bool renewSoon = bound.count() > 0 && BootClock::now() - context_.configurationConfirmedAt > bound / 3;
    return renewSoon ? Milliseconds { 0 } : configurationReadWait;
}

void ConfigurationWatcher::retry(bool restart)
{
    timer_.expires_after(retryDelay);
    timer_.async_wait([this, restart](std::error_code error) {
        if (error)
            return;
        if (restart)
            readSnapshot();
        else
            watch();
    });
}

void ConfigurationWatcher::watch()
{
    if (!context_.configuration) {
        retry(true);
        return;
    }
    auto wait = readWait();
    auto sentAt = BootClock::now();
    context_.store.send(platform::readRecordsRequest(platform::operatorPartition(), nextOffset_, wait),
        wait + responseTimeout, [this, sentAt](std::optional<HttpMessage> message) {
            auto response = message ? platform::parseReadRecordsResponse(*message, nextOffset_)
                                    : platform::ReadRecordsResponse {};
            if (response.status != platform::StoreStatus::Ok) {
                onReadFailed(message ? message->status : 0);
                retry(response.status == platform::StoreStatus::OffsetOutOfRange);
                return;
            }
            onRead();
            for (const auto& record : response.records)
                apply(record);
            nextOffset_ = response.nextOffset;
            if (nextOffset_ >= response.endOffset)
                confirm(sentAt);
            watch();
        });
}

Milliseconds ConfigurationWatcher::unconfirmedTime() const
{
    return std::chrono::duration_cast<Milliseconds>(BootClock::now() - context_.configurationConfirmedAt);
}

// Logs the first failure of a series.
void ConfigurationWatcher::onReadFailed(unsigned status)
{
    ++context_.counters.configurationReadsFailed;
    if (++failedReads_ == 1)
        logger("config")->warn("event=read_failed status={} offset={} version={} unconfirmed_ms={}", status,
            nextOffset_, context_.configuration->version, unconfirmedTime().count());
}

void ConfigurationWatcher::onRead()
{
    if (failedReads_ > 0)
        logger("config")->info("event=read_resumed failures={} offset={} version={} unconfirmed_ms={}", failedReads_,
            nextOffset_, context_.configuration->version, unconfirmedTime().count());
    failedReads_ = 0;
}

void ConfigurationWatcher::apply(const platform::KeyedRecord& record)
{
    if (platform::isWaveKey(record.key)) {
        if (auto wave = platform::decodeWaveRequest(record)) {
            logger("config")->info("event=wave_received wave={} instances={} maximum_parallel={}", wave->number,
                wave->instances.size(), wave->maximumParallel);
            waves_[wave->number] = *wave;
        } else if (!record.value.empty())
            logger("config")->warn(
                "event=entry_rejected key={} bytes={}", printableKey(record.key), record.value.size());
        return;
    }
    auto configuration = platform::decodeConfiguration(record);
    if (!configuration || (context_.configuration && configuration->version <= context_.configuration->version))
        return;
    logger("config")->info(
        "event=configuration_applied version={} queues={} services={} accounts={} keys={} rejected={} bytes={} "
        "unconfirmed_ms={}",
        configuration->version, configuration->queues.size(), configuration->services.size(),
        configuration->accounts.size(), configuration->keys.size(), configuration->rejectedEntries, record.value.size(),
        context_.configuration ? unconfirmedTime().count() : 0);
    context_.configuration = std::make_shared<const platform::Configuration>(std::move(*configuration));
    asio::post(context_.io, [this] { onConfiguration_(); }); // an exception there must not end this watcher
}

RegistryWatcher::RegistryWatcher(NodeContext& context, std::function<void()> onChange)
    : context_(context)
    , onChange_(std::move(onChange))
    , timer_(context.io)
{
}

void RegistryWatcher::setEnabled(bool enabled)
{
    if (enabled == *enabled_)
        return;
    *enabled_ = false;
    enabled_ = std::make_shared<bool>(enabled);
    if (enabled) {
        readSnapshot();
        return;
    }
    timer_.cancel();
    reader_->stop();
    loaded_ = false;
    context_.workerRegistry.clear();
}

void RegistryWatcher::scheduleRead(Milliseconds time)
{
    timer_.expires_after(time);
    timer_.async_wait([this, enabled = enabled_](std::error_code error) {
        if (error || !*enabled)
            return;
        if (loaded_)
            readChanges();
        else
            readSnapshot();
    });
}

void RegistryWatcher::readSnapshot()
{
    snapshot_.clear();
    reader_ = std::make_unique<RecordReader>(
        context_, platform::registryPartition(), [this](platform::KeyedRecord&& record) { apply(record, snapshot_); },
        [this](uint64_t endOffset) { onSnapshot(endOffset); });
    reader_->start();
}

void RegistryWatcher::onSnapshot(uint64_t endOffset)
{
    context_.workerRegistry = std::move(snapshot_);
    snapshot_ = {};
    nextOffset_ = endOffset;
    loaded_ = true;
    onChange_();
    scheduleRead(registryReadInterval);
}

void RegistryWatcher::readChanges()
{
    context_.store.send(platform::readRecordsRequest(platform::registryPartition(), nextOffset_, Milliseconds { 0 }),
        responseTimeout, [this, enabled = enabled_](std::optional<HttpMessage> message) {
            if (!*enabled)
                return;
            auto response = message ? platform::parseReadRecordsResponse(*message, nextOffset_)
                                    : platform::ReadRecordsResponse {};
            if (response.status == platform::StoreStatus::OffsetOutOfRange)
                loaded_ = false;
            if (response.status != platform::StoreStatus::Ok) {
                scheduleRead(retryDelay);
                return;
            }
            bool changed = false;
            for (const auto& record : response.records)
                changed = apply(record, context_.workerRegistry) || changed;
            nextOffset_ = response.nextOffset;
            if (changed)
                onChange_();
            scheduleRead(registryReadInterval);
        });
}

static bool isSameWorker(const WorkerInfo& left, const WorkerInfo& right)
{
    return left.address == right.address && left.service == right.service && left.draining == right.draining
        && left.bootTime == right.bootTime && left.instance == right.instance;
}

// Applies a record to the registry. Returns true if a worker has changed.
bool RegistryWatcher::apply(const platform::KeyedRecord& record, std::map<std::string, WorkerInfo>& registry)
{
    if (record.value.empty())
        return registry.erase(record.key) != 0;
    auto worker = platform::decodeWorker(record);
    if (!worker) {
        logRejected(record);
        // The last readable entry of the worker stays, also when the registry is read anew.
        auto known = context_.workerRegistry.find(record.key);
        if (known != context_.workerRegistry.end())
            registry.emplace(record.key, known->second);
        return false;
    }
    auto& known = registry[record.key];
    bool changed = !isSameWorker(known, *worker);
    known = std::move(*worker);
    return changed;
}

// Logs each rejected key once, up to a limit: the writer of a malformed entry may repeat it.
void RegistryWatcher::logRejected(const platform::KeyedRecord& record)
{
    static constexpr size_t maximumRejectedKeys = 100;
    if (rejectedKeys_.size() >= maximumRejectedKeys || !rejectedKeys_.insert(record.key).second)
        return;
    logger("workers")->warn("event=entry_rejected key={} bytes={}", printableKey(record.key), record.value.size());
}

} // namespace shallotdrift::internal
