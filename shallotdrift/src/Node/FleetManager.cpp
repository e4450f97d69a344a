#include "FleetManager.h"

#include "../Base/Logging.h"
#include "FleetExchange.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace shallotdrift::internal {

static constexpr Milliseconds callTime { 800 };
static constexpr Milliseconds retryTime { 250 };
static constexpr Milliseconds listInterval { 400 };
static constexpr Milliseconds exchangeInterval { 100 };
static constexpr Milliseconds exchangeTime { 400 };
// Difference of two managers' clocks.
static constexpr Milliseconds clockMargin { 300 };
// The key of the list of instances with recent orders.
static constexpr char ordersRecord[] = "orders/recent";
static constexpr Milliseconds logInterval { 500 };
// Until the list of instances shows the end of a maintenance.
static constexpr Milliseconds maintenanceMargin { 300 };
// Names the records of the waves among those of jobs, whose ids have hexadecimal digits only.
static constexpr char waveRecordPrefix[] = "wave/";

static PlannerOptions plannerOptions(const NodeSettings& settings)
{
    PlannerOptions options;
    options.margin = settings.margin;
    options.reserveCores = settings.reserveCores;
    options.trendAhead = settings.trendAhead;
    options.wantMemory = settings.needMemory;
    options.surplusPause = settings.surplusPause;
    options.maintenanceLife = settings.maintenanceTime() + maintenanceMargin;
    return options;
}

FleetManager::FleetManager(
    NodeContext& context, Membership& membership, uint64_t token, Links links, std::function<void()> onRefused)
    : context_(context)
    , membership_(membership)
    , token_(token)
    , links_(std::move(links))
    , onRefused_(std::move(onRefused))
    , writer_(context, { Membership::topic(), partition }, token, [this] { refused("store"); })
    , reader_(
          context, { Membership::topic(), partition }, [this](platform::KeyedRecord&& record) { readRecord(record); },
          [this] {
              poll({});
              exchange();
          })
    , planner_(plannerOptions(context.settings))
    , desk_(planner_, membership.member())
    , pollTimer_(context.io)
    , exchangeTimer_(context.io)
    , statusTimer_(context.io)
{
}

FleetManager::~FleetManager() { stop(); }

void FleetManager::start()
{
    logger("fleet")->info("event=taking token={}", token_);
    writer_.fence([this] { reader_.start(); });
}

void FleetManager::stop()
{
    if (!*alive_)
        return;
    *alive_ = false;
    writer_.stop();
    reader_.stop();
    logger("fleet")->info("event=left token={}", token_);
}

void FleetManager::refused(const char* by)
{
    logger("fleet")->warn("event=refused token={} by={}", token_, by);
    asio::post(context_.io, [alive = alive_, callback = onRefused_] {
        if (*alive)
            callback();
    });
}

void FleetManager::readRecord(const platform::KeyedRecord& record)
{
    auto value = nlohmann::json::parse(record.value, nullptr, false);
    if (record.key == ordersRecord && value.is_object()) {
        for (const auto& [instance, at] : value.items())
            if (at.is_number_integer()) {
                auto since = wallNow() - wallTimeFromUnix(Milliseconds { at.get<int64_t>() });
                planner_.rest(instance, BootClock::now() + restAfterOrder() - since);
            }
    } else if (record.key.rfind(waveRecordPrefix, 0) == 0 && value.is_array()) {
        auto number = parseNumber(record.key.substr(std::string_view(waveRecordPrefix).size()), UINT64_MAX);
        if (number)
            planner_.restoreDone(*number, value.get<std::set<std::string>>());
    } else if (!desk_.restore(record.key, record.value)) {
        logger("fleet")->warn("event=record_unreadable key={}", record.key);
    }
}

void FleetManager::pollLater(Milliseconds time)
{
    pollTimer_.expires_after(time);
    pollTimer_.async_wait([this, alive = alive_](std::error_code error) {
        if (*alive && !error)
            poll({});
    });
}

// Two managers must not take turns in ordering an instance within this time.
Milliseconds FleetManager::restAfterOrder() const { return context_.settings.orderPause + clockMargin; }

static FleetInstance fleetInstance(const platform::InstanceInfo& info)
{
    FleetInstance instance;
    instance.id = info.id;
    instance.pool = info.pool;
    instance.state = static_cast<FleetInstance::State>(info.state);
    instance.kind = info.labels.empty() ? std::string() : info.labels.front();
    instance.zone = info.zone;
    instance.rack = info.rack;
    instance.cores = static_cast<double>(info.capacity.milliCores) / 1000;
    return instance;
}

static_assert(
    static_cast<int>(FleetInstance::State::Maintenance) == static_cast<int>(platform::InstanceState::Maintenance),
    "the states of instances are numbered alike in the product and in platform/");

void FleetManager::poll(const std::string& page)
{
    if (page.empty())
        page_.clear();
    context_.platformCalls.send(context_.settings.instancesAddress, platform::instancesCall(page), callTime,
        [this, alive = alive_](HttpOutcome&& outcome) {
            if (!*alive)
                return;
            auto answer = outcome.answered ? platform::readInstances(outcome.answer) : platform::InstancesAnswer {};
            if (!answer.ok) {
                pollLater(retryTime);
                return;
            }
            for (const auto& info : answer.instances)
                page_.push_back(fleetInstance(info));
            if (!answer.nextPage.empty()) {
                poll(answer.nextPage);
                return;
            }
            planner_.setInstances(std::move(page_));
            page_ = {};
            listed_ = true;
            pollLater(listInterval);
        });
}

// Asks the owners of all services, then plans with what they have answered so far.
void FleetManager::exchange()
{
    auto sentAt = BootClock::now();
    auto cordons = encodeCordons(planner_.cordons(), planner_.maintenanceDue());
    std::set<std::string> addresses;
    bool here = false;
    if (context_.configuration)
        for (const auto& [name, rule] : context_.configuration->services) {
            auto address = membership_.ownerAddress(partitionOf(name, context_.settings.storePartitions));
            if (rule.standby || address.empty())
                continue;
            if (membership_.member().compare(0, address.size(), address) == 0)
                here = true;
            else
                addresses.insert(address);
        }
    if (here)
        for (auto& report : decodeReports(links_.exchangeHere(cordons), sentAt))
            planner_.setReport(std::move(report));
    for (const auto& address : addresses)
        context_.peers.send(address, { "POST", fleetTarget, {}, cordons, "application/json" }, exchangeTime,
            [this, alive = alive_, sentAt](HttpOutcome&& outcome) {
                if (!*alive || !outcome.answered || outcome.answer.status != 200)
                    return;
                for (auto& report : decodeReports(outcome.answer.body, sentAt))
                    planner_.setReport(std::move(report));
            });
    plan();
    exchangeTimer_.expires_after(exchangeInterval);
    exchangeTimer_.async_wait([this, alive = alive_](std::error_code error) {
        if (*alive && !error)
            exchange();
    });
}

void FleetManager::plan()
{
    auto now = BootClock::now();
    if (!listed_ || !context_.configuration)
        return;
    std::map<std::string, PoolRule> pools;
    for (const auto& [name, rule] : context_.configuration->services)
        pools[name] = { name, rule.standby };
    planner_.setPools(std::move(pools));
    for (const auto& [number, wave] : links_.waves())
        planner_.addWave({ number, wave.instances, wave.maximumAtOnce, now + wave.duration });
    followDirectives();
    if (!writer_.busy())
        giveOrders(planner_.plan(now));
    logPools(now);
    auto changes = planner_.takeWaveChanges();
    statuses_.insert(statuses_.end(), changes.begin(), changes.end());
    announce();
}

void FleetManager::followDirectives()
{
    desk_.setConfigurationVersion(context_.configuration->version);
    desk_.onFleetChanged();
    planner_.setLoans(desk_.overrides().loans());
    planner_.setOutOfService(desk_.overrides().outOfService());
}

void FleetManager::operate(const std::string& call, const std::string& request, OperatorLink::Reply reply)
{
    auto answer = listed_ && context_.configuration ? desk_.handle(call, request, wallNow()) : std::nullopt;
    if (!answer) {
        reply(std::nullopt);
        return;
    }
    if (!answer->sendAfterCommit) {
        reply(std::move(answer->reply));
        return;
    }
    logger("fleet")->info("event=change call={} token={}", call, token_);
    repliesAfterStore_.emplace_back([reply = std::move(reply), bytes = std::move(answer->reply)] { reply(bytes); });
}

void FleetManager::logPools(Instant now)
{
    if (now - loggedAt_ < logInterval)
        return;
    loggedAt_ = now;
    for (const auto& pool : planner_.view())
        logger("fleet")->info("pool={} event=sized instances={} wanted={} held={:.0f} lasting={:.0f} waiting={:.0f} "
                              "required={:.0f}",
            pool.name, pool.size, pool.want, pool.report.heldCores, pool.report.lastingCores, pool.report.waitingCores,
            pool.report.requiredCores);
}

void FleetManager::order(const InstanceOrder& next)
{
    platform::OrderHolder holder { membership_.member(), token_ };
    bool move = next.type == InstanceOrder::Type::Move;
    logger("fleet")->info("instance={} event={} pool={} wave={} token={}", next.instance, move ? "move" : "maintenance",
        next.pool, next.wave, token_);
    auto call = move ? platform::moveCall(next.instance, next.pool, holder)
                     : platform::maintenanceCall(next.instance, next.wave, holder);
    context_.platformCalls.send(context_.settings.instancesAddress, std::move(call), callTime,
        [this, alive = alive_, next, move](HttpOutcome&& outcome) {
            if (!*alive)
                return;
            using Outcome = InstancePlanner::Outcome;
            using Status = platform::InstanceOrderStatus;
            auto status = outcome.answered ? platform::readInstanceOrder(outcome.answer) : Status::TryLater;
            auto now = BootClock::now();
            switch (status) {
            case Status::Ok:
                ++(move ? context_.counters.instancesMoved : context_.counters.instancesMaintained);
                if (!move)
                    changedWaves_.insert(next.wave);
                planner_.onOrder(next, Outcome::Ok, now);
                return;
            case Status::Fenced:
                refused("instances");
                return;
            case Status::Busy:
                planner_.onOrder(next, Outcome::Busy, now);
                return;
            case Status::NotOfWave:
            case Status::Refused:
                logger("fleet")->warn(
                    "instance={} event=order_impossible status={}", next.instance, outcome.answer.status);
                planner_.onOrder(next, Outcome::Impossible, now);
                return;
            case Status::TryLater:
                logger("fleet")->info("instance={} event=order_unanswered status={}", next.instance,
                    outcome.answered ? outcome.answer.status : 0);
                planner_.onOrder(next, Outcome::Unknown, now);
                return;
            }
        });
}

std::vector<StateRecord> FleetManager::changedRecords()
{
    std::vector<StateRecord> records;
    for (uint64_t wave : changedWaves_)
        records.push_back({ waveRecordPrefix + std::to_string(wave), nlohmann::json(planner_.done(wave)).dump() });
    changedWaves_.clear();
    for (auto& [key, value] : desk_.takeChangedRecords())
        records.push_back({ std::move(key), std::move(value) });
    return records;
}

// The next manager has to know the instances that this one is about to order.
void FleetManager::giveOrders(const std::vector<InstanceOrder>& orders)
{
    auto records = changedRecords();
    if (!orders.empty()) {
        auto now = wallNow();
        for (auto item = ordered_.begin(); item != ordered_.end();)
            item = now - item->second > restAfterOrder() ? ordered_.erase(item) : std::next(item);
        auto recent = nlohmann::json::object();
        for (const auto& next : orders)
            ordered_[next.instance] = now;
        for (const auto& [instance, at] : ordered_)
            recent[instance] = unixMilliseconds(at);
        records.push_back({ ordersRecord, recent.dump() });
    }
    auto replies = std::make_shared<std::vector<std::function<void()>>>(std::move(repliesAfterStore_));
    repliesAfterStore_.clear();
    auto proceed = [this, orders, replies] {
        for (const auto& reply : *replies)
            reply();
        for (const auto& next : orders)
            order(next);
    };
    if (records.empty())
        proceed(); // a repeated change is stored already
    else
        writer_.append(records, proceed);
}

void FleetManager::announce()
{
    if (statuses_.empty() || statusOnWay_)
        return;
    auto [wave, completed] = statuses_.front();
    auto record = platform::waveStatus(wave, completed);
    statusOnWay_ = true;
    context_.store.call(platform::appendCall(
                            platform::statusPartition(), std::nullopt, platform::encodeKeyed(record.key, record.value)),
        callTime, [this, alive = alive_, wave = wave, completed = completed](std::optional<HttpMessage> message) {
            if (!*alive)
                return;
            statusOnWay_ = false;
            bool stored = message && platform::readAppend(*message).status == platform::StoreStatus::Ok;
            if (!stored)
                return; // written again after the next plan; the record is the same
            logger("fleet")->info("wave={} event={}", wave, completed ? "completed" : "running");
            statuses_.erase(statuses_.begin());
        });
}

} // namespace shallotdrift::internal
