#include "FleetManager.h"

#include "../Base/Logging.h"

#include <algorithm>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace shallotdrift::internal {

static constexpr Milliseconds requestTimeout { 800 };
static constexpr Milliseconds retryDelay { 250 };
static constexpr Milliseconds listInterval { 400 };
static constexpr Milliseconds exchangeInterval { 100 };
static constexpr Milliseconds exchangeTimeout { 400 };
// The largest difference expected between the wall clocks of two entry instances.
static constexpr Milliseconds clockSkewMargin { 300 };
// Key of the record that maps each instance with a recent order (move or maintenance) to the time of its last order.
static constexpr char recentOrdersKey[] = "orders/recent";
// Key of the record that maps each instance with an order that has got no response to the order: [pool, wave].
static constexpr char openOrdersKey[] = "orders/open";
static constexpr Milliseconds openOrdersInterval { 500 }; // between two records that only remove orders
static constexpr Milliseconds poolLogInterval { 500 };
// Time until the list of instances shows that a maintenance has ended.
static constexpr Milliseconds maintenanceListingDelay { 300 };
// Prefix of the keys of waves in the partition. No job has such a key, since job ids consist of hexadecimal digits.
static constexpr char waveKeyPrefix[] = "wave/";

static PlannerOptions plannerOptions(const NodeSettings& settings)
{
    PlannerOptions options;
    options.demandMargin = settings.demandMargin;
    options.reserveCores = settings.reserveCores;
    options.forecastHorizonWindows = settings.forecastHorizonSeconds;
    options.stabilizationWindow = settings.stabilizationWindow;
    options.scaleDownDelay = settings.scaleDownDelay;
    options.maintenanceDuration = settings.maintenanceTime() + maintenanceListingDelay;
    return options;
}

FleetManager::FleetManager(NodeContext& context, Membership& membership, uint64_t fencingToken, Callbacks callbacks,
    std::function<void()> onFenced)
    : context_(context)
    , membership_(membership)
    , fencingToken_(fencingToken)
    , callbacks_(std::move(callbacks))
    , onFenced_(std::move(onFenced))
    , writer_(context, { Membership::stateTopic(), partition }, fencingToken, [this] { reportFenced("store"); })
    , reader_(
          context, { Membership::stateTopic(), partition },
          [this](platform::KeyedRecord&& record) { restoreRecord(record); },
          [this](uint64_t) {
              listInstances({});
              exchangeWithOwners();
          })
    , planner_(plannerOptions(context.settings))
    , operatorRequestHandler_(planner_, membership.memberId())
    , listTimer_(context.io)
    , exchangeTimer_(context.io)
    , statusTimer_(context.io)
    , recentOrders_(orderCooldown())
{
}

FleetManager::~FleetManager() { stop(); }

void FleetManager::start()
{
    logger("fleet")->info("event=taking_over token={}", fencingToken_);
    writer_.fence([this] { reader_.start(); });
}

void FleetManager::stop()
{
    if (!*alive_)
        return;
    *alive_ = false;
    writer_.stop();
    reader_.stop();
    logger("fleet")->info("event=released token={}", fencingToken_);
}

void FleetManager::reportFenced(const char* by)
{
    logger("fleet")->warn("event=fenced token={} by={}", fencingToken_, by);
    asio::post(context_.io, [alive = alive_, callback = onFenced_] {
        if (*alive)
            callback();
    });
}

void FleetManager::restoreRecord(const platform::KeyedRecord& record)
{
    auto value = nlohmann::json::parse(record.value, nullptr, false);
    if (record.key == recentOrdersKey && recentOrders_.restore(record.value)) {
        for (const auto& [instance, at] : recentOrders_.byInstance())
            planner_.setCooldown(instance, BootClock::now() + orderCooldown() - (wallNow() - at));
    } else if (record.key == openOrdersKey) {
        restoreOpenOrders(value);
    } else if (record.key.rfind(waveKeyPrefix, 0) == 0 && value.is_array()) {
        auto number = parseNumber(record.key.substr(std::string_view(waveKeyPrefix).size()), UINT64_MAX);
        if (number)
            planner_.restoreMaintained(*number, parseStringSet(value));
    } else if (!operatorRequestHandler_.restore(record.key, record.value)) {
        logger("fleet")->warn("event=unreadable_record key={}", record.key);
    }
}

void FleetManager::scheduleListing(Milliseconds time)
{
    listTimer_.expires_after(time);
    listTimer_.async_wait([this, alive = alive_](std::error_code error) {
        if (*alive && !error)
            listInstances({});
    });
}

// Time after an order during which the next manager must not send another order for the same instance.
Milliseconds FleetManager::orderCooldown() const { return context_.settings.minimumOrderInterval + clockSkewMargin; }

static FleetInstance toFleetInstance(const platform::InstanceInfo& info)
{
    FleetInstance instance;
    instance.id = info.id;
    instance.pool = info.pool;
    instance.state = static_cast<FleetInstance::State>(info.state);
    instance.instanceType = info.labels.empty() ? std::string() : info.labels.front();
    instance.zone = info.zone;
    instance.rack = info.rack;
    instance.cores = static_cast<double>(info.capacity.milliCores) / 1000;
    instance.memory = static_cast<double>(info.capacity.memoryMegabytes);
    return instance;
}

static_assert(
    static_cast<int>(FleetInstance::State::Maintenance) == static_cast<int>(platform::InstanceState::Maintenance),
    "FleetInstance::State and platform::InstanceState must have the same numbers");

void FleetManager::listInstances(const std::string& pageToken)
{
    if (pageToken.empty())
        listing_.clear();
    context_.platformClient.send(context_.settings.instancesAddress, platform::listInstancesRequest(pageToken),
        requestTimeout, [this, alive = alive_](HttpOutcome&& outcome) {
            if (!*alive)
                return;
            auto response = outcome.hasResponse ? platform::parseListInstancesResponse(outcome.response)
                                                : platform::ListInstancesResponse {};
            if (!response.ok) {
                scheduleListing(retryDelay);
                return;
            }
            for (const auto& info : response.instances)
                listing_.push_back(toFleetInstance(info));
            if (!response.nextPageToken.empty()) {
                listInstances(response.nextPageToken);
                return;
            }
            planner_.setInstances(std::move(listing_));
            listing_ = {};
            instancesKnown_ = true;
            scheduleListing(listInterval);
        });
}

// Nothing while no account has a quota.
std::optional<QuotaMessage> FleetManager::quotaMessage()
{
    if (!context_.configuration)
        return std::nullopt;
    const auto& accounts = context_.configuration->accounts;
    bool hasQuotas
        = std::any_of(accounts.begin(), accounts.end(), [](const auto& entry) { return !entry.second.quota.isZero(); });
    if (!hasQuotas)
        return std::nullopt;
    std::set<std::string> services;
    for (const auto& [name, service] : context_.configuration->services)
        if (!service.standby)
            services.insert(name);
    quotaAllocator_.setAccounts(accounts);
    quotaAllocator_.setServices(services);
    QuotaMessage message;
    message.offers = quotaAllocator_.makeOffers();
    message.round = quotaAllocator_.round();
    return message;
}

void FleetManager::applyReports(OwnerReports&& reports)
{
    for (auto& report : reports.pools)
        planner_.setReport(std::move(report));
    for (const auto& report : reports.quotas)
        quotaAllocator_.onReport(report);
}

// Sends the cordons to the owners of all services and plans with the reports received so far; responses to the requests
// sent here are used by later plans.
void FleetManager::exchangeWithOwners()
{
    auto sentAt = BootClock::now();
    auto quotas = quotaMessage();
    auto services = quotaAllocator_.retiredServices();
    if (context_.configuration)
        for (const auto& [name, service] : context_.configuration->services)
            if (!service.standby)
                services.insert(name);
    std::set<std::string> addresses;
    bool includesThisInstance = false;
    for (const auto& name : services) {
        auto address = membership_.ownerAddress(partitionOf(name, context_.settings.storePartitions));
        if (address.empty())
            continue;
        if (membership_.isOwnAddress(address))
            includesThisInstance = true;
        else
            addresses.insert(address);
    }
    auto cordons = encodeCordons(planner_.cordons(), planner_.maintenanceDue(), fencingToken_, quotas);
    if (includesThisInstance)
        applyReports(decodeOwnerReports(callbacks_.applyCordonsLocally(cordons), sentAt));
    for (const auto& address : addresses)
        context_.peerClient.send(address, { "POST", fleetPath, {}, cordons, "application/json" }, exchangeTimeout,
            [this, alive = alive_, sentAt](HttpOutcome&& outcome) {
                if (!*alive || !outcome.hasResponse || outcome.response.status != 200)
                    return;
                applyReports(decodeOwnerReports(outcome.response.body, sentAt));
            });
    plan();
    exchangeTimer_.expires_after(exchangeInterval);
    exchangeTimer_.async_wait([this, alive = alive_](std::error_code error) {
        if (*alive && !error)
            exchangeWithOwners();
    });
}

void FleetManager::plan()
{
    auto now = BootClock::now();
    if (!instancesKnown_ || !context_.configuration)
        return;
    std::map<std::string, PoolConfiguration> pools;
    for (const auto& [name, service] : context_.configuration->services)
        pools[name] = { name, service.standby };
    planner_.setPools(std::move(pools));
    for (const auto& [number, wave] : callbacks_.waves())
        planner_.addWave({ number, wave.instances, wave.maximumParallel, now + wave.duration });
    applyOverrides();
    if (!writer_.busy())
        storeAndSendOrders(planner_.plan(now));
    logPools(now);
    auto changes = planner_.takeWaveChanges();
    pendingWaveStatuses_.insert(pendingWaveStatuses_.end(), changes.begin(), changes.end());
    publishWaveStatus();
}

void FleetManager::applyOverrides()
{
    operatorRequestHandler_.setConfigurationVersion(context_.configuration->version);
    operatorRequestHandler_.onFleetChanged();
    planner_.setLoans(operatorRequestHandler_.overrides().loans());
    planner_.setOutOfService(operatorRequestHandler_.overrides().outOfService());
}

void FleetManager::handleOperatorCall(
    const std::string& call, const std::string& request, OperatorCallRouter::ReplyCallback reply)
{
    auto response = instancesKnown_ && context_.configuration ? operatorRequestHandler_.handle(call, request, wallNow())
                                                              : std::nullopt;
    if (!response) {
        reply(std::nullopt);
        return;
    }
    if (!response->sendAfterCommit) {
        reply(std::move(response->reply));
        return;
    }
    logger("fleet")->info("event=change call={} token={}", call, fencingToken_);
    repliesAfterStore_.emplace_back([reply = std::move(reply), bytes = std::move(response->reply)] { reply(bytes); });
}

void FleetManager::logPools(Instant now)
{
    if (now - poolsLoggedAt_ < poolLogInterval)
        return;
    poolsLoggedAt_ = now;
    for (const auto& pool : planner_.poolViews())
        logger("fleet")->info(
            "pool={} event=sized instances={} desired={} allocated={:.0f} long_running={:.0f} waiting={:.0f} "
            "required={:.0f}",
            pool.name, pool.size, pool.desiredSize, pool.report.allocatedCores, pool.report.longRunningCores,
            pool.report.waitingCores, pool.report.requiredCores);
}

void FleetManager::sendOrder(const InstanceOrder& order)
{
    // The store accepted the record of the order while this was the manager, but the process may have been paused
    // since. Where the platform does not check fencing tokens, the order would follow those of the next manager.
    if (!context_.membershipLease.valid(BootClock::now())) {
        logger("fleet")->warn("instance={} event=order_withheld reason=membership_expired", order.instance);
        planner_.onOrderResult(order, InstancePlanner::Outcome::NotSent, BootClock::now());
        return;
    }
    // The append may have taken long, and the cordon may have ended meanwhile.
    if (!planner_.maySend(order, BootClock::now())) {
        logger("fleet")->info("instance={} event=order_withheld reason=not_empty", order.instance);
        planner_.onOrderResult(order, InstancePlanner::Outcome::NotSent, BootClock::now());
        return;
    }
    platform::FencingTokenHolder holder { membership_.memberId(), fencingToken_ };
    bool move = order.type == InstanceOrder::Type::Move;
    logger("fleet")->info("instance={} event={} pool={} wave={} token={}", order.instance,
        move ? "move" : "maintenance", order.pool, order.wave, fencingToken_);
    auto request = move ? platform::moveInstanceRequest(order.instance, order.pool, holder)
                        : platform::maintainInstanceRequest(order.instance, order.wave, holder);
    context_.platformClient.send(context_.settings.instancesAddress, std::move(request), requestTimeout,
        [this, alive = alive_, order, move](HttpOutcome&& outcome) {
            if (!*alive)
                return;
            using Outcome = InstancePlanner::Outcome;
            using Status = platform::InstanceOrderStatus;
            auto status
                = outcome.hasResponse ? platform::parseInstanceOrderResponse(outcome.response) : Status::Unavailable;
            auto now = BootClock::now();
            switch (status) {
            case Status::Ok:
                ++(move ? context_.counters.instancesMoved : context_.counters.instancesMaintained);
                if (!move)
                    unstoredWaves_.insert(order.wave);
                planner_.onOrderResult(order, Outcome::Ok, now);
                return;
            case Status::Fenced:
                reportFenced("instances");
                return;
            case Status::Busy:
                planner_.onOrderResult(order, Outcome::Busy, now);
                return;
            case Status::NotInWave:
            case Status::Refused:
                logger("fleet")->warn(
                    "instance={} event=order_rejected status={}", order.instance, outcome.response.status);
                planner_.onOrderResult(order, Outcome::Impossible, now);
                return;
            case Status::Unavailable:
                logger("fleet")->info("instance={} event=order_unanswered status={}", order.instance,
                    outcome.hasResponse ? outcome.response.status : 0);
                planner_.onOrderResult(order, Outcome::Unknown, now);
                return;
            }
        });
}

std::vector<StateRecord> FleetManager::takeChangedRecords()
{
    std::vector<StateRecord> records;
    for (uint64_t wave : unstoredWaves_)
        records.push_back(
            { waveKeyPrefix + std::to_string(wave), nlohmann::json(planner_.maintainedInstances(wave)).dump() });
    unstoredWaves_.clear();
    for (auto& [key, value] : operatorRequestHandler_.takeChangedRecords())
        records.push_back({ std::move(key), std::move(value) });
    return records;
}

// A next manager has to repeat the orders that have got no response: until one is answered, the instance may be taken
// away, and counts as in maintenance.
void FleetManager::addOpenOrders(std::vector<StateRecord>& records, bool newOrders)
{
    auto open = nlohmann::json::object();
    for (const auto& order : planner_.openOrders())
        open[order.instance] = nlohmann::json::array({ order.pool, order.wave });
    auto record = open.empty() ? std::string() : open.dump();
    auto now = BootClock::now();
    if (record == openOrdersRecord_ || (!newOrders && now - openOrdersWrittenAt_ < openOrdersInterval))
        return;
    openOrdersRecord_ = record;
    openOrdersWrittenAt_ = now;
    records.push_back({ openOrdersKey, std::move(record) });
}

void FleetManager::restoreOpenOrders(const nlohmann::json& record)
{
    if (!record.is_object())
        return;
    for (const auto& [instance, entry] : record.items()) {
        if (!entry.is_array() || entry.size() != 2 || !entry[0].is_string() || !entry[1].is_number_unsigned())
            continue;
        InstanceOrder order;
        order.instance = instance;
        order.pool = entry[0].get<std::string>();
        order.wave = entry[1].get<uint64_t>();
        order.type = order.pool.empty() ? InstanceOrder::Type::Maintain : InstanceOrder::Type::Move;
        logger("fleet")->info("instance={} event=order_inherited pool={} wave={}", instance, order.pool, order.wave);
        planner_.restoreOpenOrder(order, BootClock::now());
    }
    openOrdersRecord_ = record.dump();
}

// Stores which instances the orders are for before sending the orders, since a new manager has to observe the cooldown.
void FleetManager::storeAndSendOrders(const std::vector<InstanceOrder>& orders)
{
    auto records = takeChangedRecords();
    addOpenOrders(records, !orders.empty());
    if (!orders.empty()) {
        auto now = wallNow();
        for (const auto& order : orders)
            recentOrders_.add(order.instance, now);
        records.push_back({ recentOrdersKey, recentOrders_.encode(now) });
    }
    auto replies = std::make_shared<std::vector<std::function<void()>>>(std::move(repliesAfterStore_));
    repliesAfterStore_.clear();
    auto proceed = [this, orders, replies](const PartitionWriter::RefusedKeys& refused) {
        if (!refused.empty()) { // what is not stored is neither confirmed nor ordered; operators' calls time out
            for (const auto& order : orders)
                planner_.onOrderResult(order, InstancePlanner::Outcome::Busy, BootClock::now());
            return;
        }
        for (const auto& reply : *replies)
            reply();
        for (const auto& order : orders)
            sendOrder(order);
    };
    if (records.empty())
        proceed({}); // a change repeated by an operator has no records, since it is stored already
    else
        writer_.append(records, proceed);
}

void FleetManager::publishWaveStatus()
{
    if (pendingWaveStatuses_.empty() || waveStatusInFlight_)
        return;
    auto [wave, completed] = pendingWaveStatuses_.front();
    auto record = platform::encodeWaveStatus(wave, completed);
    waveStatusInFlight_ = true;
    context_.store.send(platform::appendRequest(platform::statusPartition(), std::nullopt,
                            platform::encodeKeyedRecord(record.key, record.value)),
        requestTimeout, [this, alive = alive_, wave = wave, completed = completed](std::optional<HttpMessage> message) {
            if (!*alive)
                return;
            waveStatusInFlight_ = false;
            bool stored = message && platform::parseAppendResponse(*message).status == platform::StoreStatus::Ok;
            if (!stored)
                return; // the same record is written again after the next plan
            logger("fleet")->info("wave={} event={}", wave, completed ? "completed" : "running");
            pendingWaveStatuses_.erase(pendingWaveStatuses_.begin());
        });
}

} // namespace shallotdrift::internal
