#include "Cordons.h"

#include <nlohmann/json.hpp>

namespace shallotdrift {

// Job ids consist of hexadecimal digits, so the keys of other records cannot collide with this one.
static constexpr char prefix[] = "cordons/";

Cordons::Cordons(const std::string& service)
    : service_(service)
    , key_(prefix + service)
{
}

void Cordons::set(std::map<std::string, std::string> cordoned, std::set<std::string> maintenanceDue, Instant until)
{
    cordoned_ = std::move(cordoned);
    maintenanceDue_ = std::move(maintenanceDue);
    until_ = until;
}

bool Cordons::expire(Instant now)
{
    if (cordoned_.empty() || now <= until_)
        return false;
    set({}, {}, now);
    return true;
}

bool Cordons::appliesTo(const std::string& instance) const
{
    auto cordon = cordoned_.find(instance);
    return cordon != cordoned_.end() && cordon->second != service_;
}

void Cordons::restore(const std::string& record, Instant until)
{
    auto instances = nlohmann::json::parse(record, nullptr, false);
    if (!instances.is_array())
        return;
    std::map<std::string, std::string> cordoned;
    for (const auto& instance : instances)
        if (instance.is_string()) {
            cordoned.emplace(instance.get<std::string>(), std::string());
            written_.insert(instance.get<std::string>());
        }
    stored_ = written_;
    set(std::move(cordoned), {}, until);
}

std::optional<StateRecord> Cordons::takeChangedRecord(std::set<std::string> cordoned)
{
    if (cordoned == written_)
        return std::nullopt;
    written_ = std::move(cordoned);
    return StateRecord { key_, written_.empty() ? std::string() : nlohmann::json(written_).dump() };
}

} // namespace shallotdrift
