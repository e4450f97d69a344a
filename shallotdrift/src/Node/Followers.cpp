#include "Followers.h"

#include "../Base/Logging.h"

namespace shallotdrift::internal {

// The store answers a waiting read at the latest after this time; a shorter one finds a silent connection sooner.
static constexpr Milliseconds configurationWait { 1500 };
static constexpr Milliseconds answerTime { 600 }; // beyond the waiting that was asked for
static constexpr Milliseconds retryTime { 200 };
// Workers have to be left within DrainMs (2 s) of their notice.
static constexpr Milliseconds registryInterval { 200 };

ConfigurationFollower::ConfigurationFollower(NodeContext& context, std::function<void()> onConfiguration)
    : context_(context)
    , onConfiguration_(std::move(onConfiguration))
    , timer_(context.io)
{
}

void ConfigurationFollower::start() { readAll({}); }

void ConfigurationFollower::retry(bool all)
{
    timer_.expires_after(retryTime);
    timer_.async_wait([this, all](std::error_code error) {
        if (error)
            return;
        if (all)
            readAll({});
        else
            follow();
    });
}

void ConfigurationFollower::readAll(const std::string& after)
{
    bool first = after.empty();
    context_.store.call(platform::latestRecordsRequest(platform::operatorPartition(), after), answerTime,
        [this, first](std::optional<HttpMessage> message) {
            auto answer = message ? platform::parseLatestRecordsResponse(*message) : platform::LatestRecordsResponse {};
            if (answer.status != platform::StoreStatus::Ok) {
                retry(true);
                return;
            }
            if (first)
                next_ = answer.endOffset; // records that come while the pages are read are read again
            for (const auto& record : answer.records)
                take(record);
            if (answer.hasMore && !answer.records.empty())
                readAll(answer.records.back().key);
            else
                follow();
        });
}

void ConfigurationFollower::follow()
{
    if (!context_.configuration) {
        retry(true);
        return;
    }
    context_.store.call(platform::readRecordsRequest(platform::operatorPartition(), next_, configurationWait),
        configurationWait + answerTime, [this](std::optional<HttpMessage> message) {
            auto answer
                = message ? platform::parseReadRecordsResponse(*message, next_) : platform::ReadRecordsResponse {};
            if (answer.status != platform::StoreStatus::Ok) {
                retry(answer.status == platform::StoreStatus::OffsetOutOfRange);
                return;
            }
            for (const auto& record : answer.records)
                take(record);
            next_ = answer.nextOffset;
            follow();
        });
}

void ConfigurationFollower::take(const platform::KeyedRecord& record)
{
    if (platform::isWaveKey(record.key)) {
        if (auto wave = platform::decodeWaveRequest(record)) {
            logger("config")->info("event=wave wave={} instances={} at_once={}", wave->number, wave->instances.size(),
                wave->maximumParallel);
            waves_[wave->number] = *wave;
        }
        return;
    }
    auto configuration = platform::decodeConfiguration(record);
    if (!configuration || (context_.configuration && configuration->version <= context_.configuration->version))
        return;
    logger("config")->info("event=in_force version={} queues={} services={}", configuration->version,
        configuration->queues.size(), configuration->services.size());
    context_.configuration = std::make_shared<const platform::Configuration>(std::move(*configuration));
    onConfiguration_();
}

RegistryFollower::RegistryFollower(NodeContext& context, std::function<void()> onChange)
    : context_(context)
    , onChange_(std::move(onChange))
    , timer_(context.io)
{
}

void RegistryFollower::setWanted(bool wanted)
{
    wanted_ = wanted;
    if (!wanted_ || running_)
        return;
    running_ = true;
    readAll({});
}

void RegistryFollower::later(Milliseconds time)
{
    if (!wanted_) {
        running_ = false;
        loaded_ = false;
        return;
    }
    timer_.expires_after(time);
    timer_.async_wait([this](std::error_code error) {
        if (error)
            return;
        if (loaded_)
            poll();
        else
            readAll({});
    });
}

void RegistryFollower::readAll(const std::string& after)
{
    if (after.empty())
        loading_.clear();
    bool first = after.empty();
    context_.store.call(platform::latestRecordsRequest(platform::registryPartition(), after), answerTime,
        [this, first](std::optional<HttpMessage> message) {
            auto answer = message ? platform::parseLatestRecordsResponse(*message) : platform::LatestRecordsResponse {};
            if (answer.status != platform::StoreStatus::Ok) {
                loaded_ = false;
                later(retryTime);
                return;
            }
            if (first)
                next_ = answer.endOffset;
            for (const auto& record : answer.records)
                if (auto worker = platform::decodeWorker(record))
                    loading_[record.key] = std::move(*worker);
            if (answer.hasMore && !answer.records.empty()) {
                readAll(answer.records.back().key);
                return;
            }
            context_.registry = std::move(loading_);
            loading_ = {};
            loaded_ = true;
            onChange_();
            later(registryInterval);
        });
}

void RegistryFollower::poll()
{
    context_.store.call(platform::readRecordsRequest(platform::registryPartition(), next_, Milliseconds { 0 }),
        answerTime, [this](std::optional<HttpMessage> message) {
            auto answer
                = message ? platform::parseReadRecordsResponse(*message, next_) : platform::ReadRecordsResponse {};
            if (answer.status == platform::StoreStatus::OffsetOutOfRange)
                loaded_ = false;
            if (answer.status != platform::StoreStatus::Ok) {
                later(retryTime);
                return;
            }
            bool changed = false;
            for (const auto& record : answer.records)
                changed = take(record) || changed;
            next_ = answer.nextOffset;
            if (changed)
                onChange_();
            later(registryInterval);
        });
}

static bool same(const WorkerInfo& left, const WorkerInfo& right)
{
    return left.address == right.address && left.service == right.service && left.draining == right.draining
        && left.bootTime == right.bootTime && left.instance == right.instance;
}

bool RegistryFollower::take(const platform::KeyedRecord& record)
{
    if (record.value.empty())
        return context_.registry.erase(record.key) != 0;
    auto worker = platform::decodeWorker(record);
    if (!worker)
        return false; // of another writer; the last entry that could be read stays
    auto& known = context_.registry[record.key];
    bool changed = !same(known, *worker);
    known = std::move(*worker);
    return changed;
}

} // namespace shallotdrift::internal
