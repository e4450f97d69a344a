#include "Watchers.h"

#include "../Base/Logging.h"

#include <algorithm>
#include <asio/post.hpp>

namespace shallotdrift::internal {

// Longest time for which the store holds a long-polling read. With a longer time, a dead connection is noticed later.
static constexpr Milliseconds configurationReadWait { 1500 };
static constexpr Milliseconds responseTimeout { 600 }; // in addition to the long-polling time
static constexpr Milliseconds retryDelay { 200 };
// While other entry instances read the configuration from this one.
static constexpr Milliseconds relayReadWait { 500 };
// In addition to the time for which a relay holds a request.
static constexpr Milliseconds relayTimeout { 400 };
// A relay that reads without disturbance responds with records confirmed up to twice relayReadWait ago.
static constexpr Milliseconds maximumRelayAge { 1400 };
// A refused connection takes less time.
static constexpr Milliseconds quickFailure { 100 };
static constexpr Milliseconds ownersPatience { 1000 };
static constexpr Milliseconds ownersPollInterval { 100 };
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

ConfigurationWatcher::ConfigurationWatcher(
    NodeContext& context, Membership& membership, std::function<void()> onConfiguration)
    : context_(context)
    , membership_(membership)
    , onConfiguration_(std::move(onConfiguration))
    , reader_(
          context, platform::operatorPartition(), [this](platform::KeyedRecord&& record) { apply(record); },
          [this](uint64_t endOffset) {
              // Records appended while the pages are read are read again as changes.
              cache_.nextOffset = std::max(cache_.nextOffset, endOffset);
              snapshotDue_ = !context_.configuration;
              onRead();
              confirm(snapshotBegunAt_);
              readAfter(context_.configuration ? Milliseconds { 0 } : retryDelay);
          })
    , timer_(context.io)
    , relay_(context, cache_, [this] { renewConfirmation(); })
    , relays_(membership.memberId())
{
}

void ConfigurationWatcher::start()
{
    startedAt_ = BootClock::now();
    read();
}

// Reads once; each response leads to the next read.
void ConfigurationWatcher::read()
{
    if (awaitsOwners()) {
        membership_.refreshOwners();
        readAfter(ownersPollInterval);
        return;
    }
    auto relay = membership_.isOwner() ? std::nullopt : relays_.next(membership_.otherOwners(), BootClock::now());
    if (relay)
        readRelay(*relay);
    else if (snapshotDue_)
        readSnapshot();
    else
        readStore(readWait(), [this](const platform::ReadRecordsResponse& response, unsigned status, Instant sentAt) {
            onStoreResponse(response, status, sentAt);
        });
}

void ConfigurationWatcher::readAfter(Milliseconds time)
{
    timer_.expires_after(time);
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            read();
    });
}

// After its start, a reserve waits for a short time until it knows an owner to read from.
bool ConfigurationWatcher::awaitsOwners()
{
    return context_.settings.belowOwnershipMinimum() && !context_.configuration && !membership_.ownersKnown()
        && BootClock::now() - startedAt_ < ownersPatience;
}

void ConfigurationWatcher::readSnapshot()
{
    snapshotBegunAt_ = BootClock::now();
    reader_.start();
}

// A response shows what the store held at some time after the request was sent, however late it arrives.
void ConfigurationWatcher::confirm(Instant readAt)
{
    context_.configurationConfirmedAt = std::max(context_.configurationConfirmedAt, readAt);
    relay_.onChange();
}

// A read that waits for changes confirms the configuration only when it ends. When the last confirmation is getting
// old, for example after a response was lost, a read without a wait renews it sooner. A relay keeps its confirmation
// younger, since its readers' age adds to it.
Milliseconds ConfigurationWatcher::readWait() const
{
    auto now = BootClock::now();
    auto bound = context_.settings.keyWithdrawalBound;
    bool renewSoon = bound.count() > 0 && context_.configurationAge(now) > bound / 3;
    if (renewSoon)
        return Milliseconds { 0 };
    return relay_.inUse(now) ? relayReadWait : configurationReadWait;
}

// Reads the records that follow those in the cache. `status`: of the response, 0 if there was none.
void ConfigurationWatcher::readStore(Milliseconds wait, StoreHandler handler)
{
    auto sentAt = BootClock::now();
    auto from = cache_.nextOffset;
    context_.store.send(platform::readRecordsRequest(platform::operatorPartition(), from, wait), wait + responseTimeout,
        [handler = std::move(handler), sentAt, from](std::optional<HttpMessage> message) {
            handler(message ? platform::parseReadRecordsResponse(*message, from) : platform::ReadRecordsResponse {},
                message ? message->status : 0, sentAt);
        });
}

// Called while other entry instances read from this one, whose own read may still wait for a long time. A change is
// left to that read.
void ConfigurationWatcher::renewConfirmation()
{
    if (snapshotDue_ || renewing_ || !membership_.isOwner())
        return;
    renewing_ = true;
    readStore(Milliseconds { 0 },
        [this, from = cache_.nextOffset](const platform::ReadRecordsResponse& response, unsigned, Instant sentAt) {
            renewing_ = false;
            if (response.status == platform::StoreStatus::Ok && response.endOffset == from)
                confirm(sentAt);
        });
}

void ConfigurationWatcher::onStoreResponse(
    const platform::ReadRecordsResponse& response, unsigned status, Instant sentAt)
{
    if (response.status != platform::StoreStatus::Ok) {
        if (response.status == platform::StoreStatus::OffsetOutOfRange)
            snapshotDue_ = true; // the readers of a relay wait for the records, and do not all read them themselves
        else
            onReadFailed(status);
        readAfter(retryDelay);
        return;
    }
    onRead();
    for (const auto& record : response.records)
        apply(record);
    cache_.nextOffset = response.nextOffset;
    if (cache_.nextOffset >= response.endOffset)
        confirm(sentAt);
    read();
}

void ConfigurationWatcher::readRelay(const std::string& address)
{
    auto sentAt = BootClock::now();
    context_.peerClient.send(address, relayedRecordsRequest(snapshotDue_ ? 0 : cache_.nextOffset),
        ConfigurationRelay::holdTime + relayTimeout,
        [this, address, sentAt](HttpOutcome&& outcome) { onRelayResponse(address, sentAt, outcome); });
}

// The relay responded at least `held` after the request was sent, with records that were recent `age` before.
void ConfigurationWatcher::onRelayResponse(const std::string& address, Instant sentAt, const HttpOutcome& outcome)
{
    auto now = BootClock::now();
    auto relayed = outcome.hasResponse ? parseRelayedRecords(outcome.response) : std::nullopt;
    if (relayed) {
        for (const auto& record : relayed->records)
            apply(record);
        cache_.nextOffset = std::max(cache_.nextOffset, relayed->nextOffset);
        snapshotDue_ = !context_.configuration;
    }
    if (relayed && relayed->age <= maximumRelayAge && context_.configuration) {
        ++context_.counters.relayedReads;
        onRead();
        confirm(sentAt + relayed->held - relayed->age);
        read();
        return;
    }
    ++context_.counters.relayedReadsFailed;
    logger("config")->info("event=relay_left relay={} status={} age_ms={} took_ms={}", address,
        outcome.hasResponse ? outcome.response.status : 0, relayed ? relayed->age.count() : 0,
        std::chrono::duration_cast<Milliseconds>(now - sentAt).count());
    bool silent = !outcome.hasResponse && now - sentAt > quickFailure;
    relays_.onFailure(address, silent, now);
    read();
}

// Logs the first failure of a series.
void ConfigurationWatcher::onReadFailed(unsigned status)
{
    ++context_.counters.configurationReadsFailed;
    ++cache_.failedReads;
    relay_.onChange();
    if (cache_.failedReads == 1)
        logger("config")->warn("event=read_failed status={} offset={} version={} unconfirmed_ms={}", status,
            cache_.nextOffset, context_.configuration ? context_.configuration->version : 0,
            context_.configurationAge(BootClock::now()).count());
}

void ConfigurationWatcher::onRead()
{
    relays_.onSuccess();
    if (cache_.failedReads > 0)
        logger("config")->info("event=read_resumed failures={} offset={} version={} unconfirmed_ms={}",
            cache_.failedReads, cache_.nextOffset, context_.configuration ? context_.configuration->version : 0,
            context_.configurationAge(BootClock::now()).count());
    cache_.failedReads = 0;
}

// The cache keeps the records in force; one that is older than they are is left out of both.
void ConfigurationWatcher::apply(const platform::KeyedRecord& record)
{
    if (platform::isWaveKey(record.key) ? applyWave(record) : applyConfiguration(record))
        cache_.records.insert_or_assign(record.key, record);
}

bool ConfigurationWatcher::applyWave(const platform::KeyedRecord& record)
{
    auto known = cache_.records.find(record.key);
    if (known != cache_.records.end() && record.offset < known->second.offset)
        return false;
    if (auto wave = platform::decodeWaveRequest(record)) {
        logger("config")->info("event=wave_received wave={} instances={} maximum_parallel={}", wave->number,
            wave->instances.size(), wave->maximumParallel);
        waves_[wave->number] = *wave;
        return true;
    }
    if (!record.value.empty())
        logger("config")->warn("event=entry_rejected key={} bytes={}", printableKey(record.key), record.value.size());
    return false;
}

bool ConfigurationWatcher::applyConfiguration(const platform::KeyedRecord& record)
{
    auto configuration = platform::decodeConfiguration(record);
    if (!configuration || (context_.configuration && configuration->version <= context_.configuration->version))
        return false;
    logger("config")->info(
        "event=configuration_applied version={} queues={} services={} accounts={} keys={} rejected={} bytes={} "
        "unconfirmed_ms={}",
        configuration->version, configuration->queues.size(), configuration->services.size(),
        configuration->accounts.size(), configuration->keys.size(), configuration->rejectedEntries, record.value.size(),
        context_.configuration ? context_.configurationAge(BootClock::now()).count() : 0);
    context_.configuration = std::make_shared<const platform::Configuration>(std::move(*configuration));
    asio::post(context_.io, [this] { onConfiguration_(); }); // an exception there must not end this watcher
    return true;
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
