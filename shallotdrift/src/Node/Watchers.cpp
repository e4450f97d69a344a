#include "Watchers.h"

#include "../Base/Logging.h"

namespace shallotdrift::internal {

// Longest time for which the store holds a long-polling read. With a longer time, a dead connection is noticed later.
static constexpr Milliseconds configurationReadWait { 1500 };
static constexpr Milliseconds responseTimeout { 600 }; // in addition to the long-polling time
static constexpr Milliseconds retryDelay { 200 };
// A worker that announces its drain must be vacated within DrainMs (2 s).
static constexpr Milliseconds registryReadInterval { 200 };

ConfigurationWatcher::ConfigurationWatcher(NodeContext& context, std::function<void()> onConfiguration)
    : context_(context)
    , onConfiguration_(std::move(onConfiguration))
    , timer_(context.io)
{
}

void ConfigurationWatcher::start() { readSnapshot({}); }

void ConfigurationWatcher::retry(bool restart)
{
    timer_.expires_after(retryDelay);
    timer_.async_wait([this, restart](std::error_code error) {
        if (error)
            return;
        if (restart)
            readSnapshot({});
        else
            watch();
    });
}

void ConfigurationWatcher::readSnapshot(const std::string& after)
{
    bool first = after.empty();
    context_.store.send(platform::latestRecordsRequest(platform::operatorPartition(), after), responseTimeout,
        [this, first](std::optional<HttpMessage> message) {
            auto response
                = message ? platform::parseLatestRecordsResponse(*message) : platform::LatestRecordsResponse {};
            if (response.status != platform::StoreStatus::Ok) {
                retry(true);
                return;
            }
            if (first)
                nextOffset_ = response.endOffset; // records appended while the pages are read are read again as changes
            for (const auto& record : response.records)
                apply(record);
            if (response.hasMore && !response.records.empty())
                readSnapshot(response.records.back().key);
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
    context_.store.send(platform::readRecordsRequest(platform::operatorPartition(), nextOffset_, configurationReadWait),
        configurationReadWait + responseTimeout, [this](std::optional<HttpMessage> message) {
            auto response = message ? platform::parseReadRecordsResponse(*message, nextOffset_)
                                    : platform::ReadRecordsResponse {};
            if (response.status != platform::StoreStatus::Ok) {
                retry(response.status == platform::StoreStatus::OffsetOutOfRange);
                return;
            }
            for (const auto& record : response.records)
                apply(record);
            nextOffset_ = response.nextOffset;
            watch();
        });
}

void ConfigurationWatcher::apply(const platform::KeyedRecord& record)
{
    if (platform::isWaveKey(record.key)) {
        if (auto wave = platform::decodeWaveRequest(record)) {
            logger("config")->info("event=wave_received wave={} instances={} maximum_parallel={}", wave->number,
                wave->instances.size(), wave->maximumParallel);
            waves_[wave->number] = *wave;
        }
        return;
    }
    auto configuration = platform::decodeConfiguration(record);
    if (!configuration || (context_.configuration && configuration->version <= context_.configuration->version))
        return;
    logger("config")->info("event=configuration_applied version={} queues={} services={}", configuration->version,
        configuration->queues.size(), configuration->services.size());
    context_.configuration = std::make_shared<const platform::Configuration>(std::move(*configuration));
    onConfiguration_();
}

RegistryWatcher::RegistryWatcher(NodeContext& context, std::function<void()> onChange)
    : context_(context)
    , onChange_(std::move(onChange))
    , timer_(context.io)
{
}

void RegistryWatcher::setEnabled(bool enabled)
{
    enabled_ = enabled;
    if (!enabled_ || running_)
        return;
    running_ = true;
    readSnapshot({});
}

void RegistryWatcher::scheduleRead(Milliseconds time)
{
    if (!enabled_) {
        running_ = false;
        loaded_ = false;
        return;
    }
    timer_.expires_after(time);
    timer_.async_wait([this](std::error_code error) {
        if (error)
            return;
        if (loaded_)
            readChanges();
        else
            readSnapshot({});
    });
}

void RegistryWatcher::readSnapshot(const std::string& after)
{
    if (after.empty())
        snapshot_.clear();
    bool first = after.empty();
    context_.store.send(platform::latestRecordsRequest(platform::registryPartition(), after), responseTimeout,
        [this, first](std::optional<HttpMessage> message) {
            auto response
                = message ? platform::parseLatestRecordsResponse(*message) : platform::LatestRecordsResponse {};
            if (response.status != platform::StoreStatus::Ok) {
                loaded_ = false;
                scheduleRead(retryDelay);
                return;
            }
            if (first)
                nextOffset_ = response.endOffset;
            for (const auto& record : response.records)
                if (auto worker = platform::decodeWorker(record))
                    snapshot_[record.key] = std::move(*worker);
            if (response.hasMore && !response.records.empty()) {
                readSnapshot(response.records.back().key);
                return;
            }
            context_.workerRegistry = std::move(snapshot_);
            snapshot_ = {};
            loaded_ = true;
            onChange_();
            scheduleRead(registryReadInterval);
        });
}

void RegistryWatcher::readChanges()
{
    context_.store.send(platform::readRecordsRequest(platform::registryPartition(), nextOffset_, Milliseconds { 0 }),
        responseTimeout, [this](std::optional<HttpMessage> message) {
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
                changed = apply(record) || changed;
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

bool RegistryWatcher::apply(const platform::KeyedRecord& record)
{
    if (record.value.empty())
        return context_.workerRegistry.erase(record.key) != 0;
    auto worker = platform::decodeWorker(record);
    if (!worker)
        return false; // the record is unreadable; the last readable record of the worker stays
    auto& known = context_.workerRegistry[record.key];
    bool changed = !isSameWorker(known, *worker);
    known = std::move(*worker);
    return changed;
}

} // namespace shallotdrift::internal
