#include "PlatformFleet.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace shallotdrift::standin {

// Changes within one lag beyond this number become visible together.
static constexpr size_t maximumPendingVersions = 64;

PlatformFleet::PlatformFleet(Milliseconds listLag)
    : listLag_(listLag)
{
}

void PlatformFleet::load(const std::string& text)
{
    auto items = nlohmann::json::parse(text);
    if (!items.is_array())
        throw std::runtime_error("the fleet file holds no array");
    std::lock_guard lock(mutex_);
    for (const auto& item : items) {
        State state;
        auto& listed = state.listed;
        listed.id = item.at("id").get<std::string>();
        auto role = item.value("role", "target");
        if (role != "target" && role != "entry")
            throw std::runtime_error("instance " + listed.id + " has the unknown role " + role);
        listed.role = role == "entry" ? ListedInstance::Role::Entry : ListedInstance::Role::Target;
        listed.address = item.at("address").get<std::string>();
        listed.zone = item.at("zone").get<std::string>();
        listed.rack = item.value("rack", "");
        listed.pool = item.value("pool", "");
        listed.shape.cores = item.value("cores", 0U);
        listed.shape.memoryMegabytes = item.value("memory_mb", uint64_t { 0 });
        listed.shape.accelerators = item.value("accelerators", 0U);
        listed.shape.slots = item.value("slots", 0U);
        listed.shape.connections = item.value("connections", 0U);
        auto id = listed.id;
        if (!instances_.emplace(id, std::move(state)).second)
            throw std::runtime_error("instance " + id + " appears twice");
    }
    ++version_;
    visible_ = json();
}

std::string PlatformFleet::json() const
{
    auto items = nlohmann::json::array();
    for (const auto& [id, state] : instances_) {
        if (state.gone)
            continue;
        const auto& listed = state.listed;
        items.push_back({
            { "id", id },
            { "role", listed.role == ListedInstance::Role::Entry ? "entry" : "target" },
            { "address", listed.address },
            { "zone", listed.zone },
            { "rack", listed.rack },
            { "pool", listed.pool },
            { "leaving", listed.leaving },
            { "cores", listed.shape.cores },
            { "memory_mb", listed.shape.memoryMegabytes },
            { "accelerators", listed.shape.accelerators },
            { "slots", listed.shape.slots },
            { "connections", listed.shape.connections },
        });
    }
    return nlohmann::json { { "version", version_ }, { "instances", std::move(items) } }.dump();
}

void PlatformFleet::publish(Instant now)
{
    ++version_;
    if (pending_.size() >= maximumPendingVersions)
        pending_.pop_back();
    pending_.push_back({ now + listLag_, json() });
}

std::string PlatformFleet::list(Instant now)
{
    std::lock_guard lock(mutex_);
    while (!pending_.empty() && pending_.front().visibleAt <= now) {
        visible_ = std::move(pending_.front().json);
        pending_.pop_front();
    }
    return visible_;
}

bool PlatformFleet::change(const std::string& instance, Change change, Instant now)
{
    std::lock_guard lock(mutex_);
    auto position = instances_.find(instance);
    if (position == instances_.end())
        return false;
    position->second.gone = change == Change::Gone;
    position->second.listed.leaving = change == Change::Leave;
    publish(now);
    return true;
}

bool PlatformFleet::present(const std::string& instance) const
{
    std::lock_guard lock(mutex_);
    auto position = instances_.find(instance);
    return position != instances_.end() && !position->second.gone;
}

bool PlatformFleet::sameReboot(const Reboot& left, const Reboot& right)
{
    return left.epoch == right.epoch && left.pool == right.pool;
}

PlatformFleet::Acceptance PlatformFleet::accept(Reboot& reboot)
{
    std::lock_guard lock(mutex_);
    auto position = instances_.find(reboot.instance);
    if (position == instances_.end() || position->second.gone
        || position->second.listed.role != ListedInstance::Role::Target)
        return Acceptance::UnknownInstance;
    auto& state = position->second;
    reboot.address = state.listed.address;
    if (reboot.epoch < state.last.epoch)
        return Acceptance::OldEpoch;
    if (sameReboot(reboot, state.last))
        return Acceptance::Repeated;
    // A maintenance reboot and a later move may carry the same epoch; two assignments may not.
    bool sameEpoch = reboot.epoch == state.last.epoch;
    if (sameEpoch && (!state.done || (!reboot.pool.empty() && !state.last.pool.empty())))
        return Acceptance::OtherOperation;
    state.last = reboot;
    state.done = false;
    rebooted_.notify_all();
    return Acceptance::Started;
}

bool PlatformFleet::current(const Reboot& reboot) const
{
    std::lock_guard lock(mutex_);
    auto position = instances_.find(reboot.instance);
    return position != instances_.end() && sameReboot(position->second.last, reboot) && !position->second.done;
}

void PlatformFleet::finished(const Reboot& reboot, Instant now)
{
    {
        std::lock_guard lock(mutex_);
        auto position = instances_.find(reboot.instance);
        if (position == instances_.end() || !sameReboot(position->second.last, reboot))
            return;
        position->second.done = true;
        if (!reboot.pool.empty()) {
            position->second.listed.pool = reboot.pool;
            publish(now);
        }
    }
    rebooted_.notify_all();
}

bool PlatformFleet::waitUntilDone(const Reboot& reboot, Milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    auto position = instances_.find(reboot.instance);
    if (position == instances_.end())
        return false;
    const auto& state = position->second; // instances are never erased
    rebooted_.wait_for(lock, timeout, [&] { return state.done || !sameReboot(state.last, reboot); });
    return state.done && sameReboot(state.last, reboot);
}

} // namespace shallotdrift::standin
