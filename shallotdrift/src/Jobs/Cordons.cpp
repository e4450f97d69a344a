#include "Cordons.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shallotdrift {

// Job ids consist of hexadecimal digits, so the keys of other records cannot collide with this one.
static constexpr char prefix[] = "cordons/";
static constexpr char instancesField[] = "instances";
static constexpr char managerField[] = "manager";

Cordons::Cordons(const std::string& service)
    : service_(service)
    , key_(prefix + service)
{
}

bool Cordons::set(std::map<std::string, std::string> cordoned, std::set<std::string> maintenanceDue, Instant until,
    uint64_t managerToken)
{
    if (managerToken != 0 && managerToken < managerToken_)
        return false;
    managerToken_ = std::max(managerToken_, managerToken);
    cordoned_ = std::move(cordoned);
    maintenanceDue_ = std::move(maintenanceDue);
    until_ = until;
    return true;
}

bool Cordons::appliesTo(const std::string& instance) const
{
    auto cordon = cordoned_.find(instance);
    return cordon != cordoned_.end() && cordon->second != service_;
}

void Cordons::restore(const std::string& text, Instant until)
{
    auto record = nlohmann::json::parse(text, nullptr, false);
    if (!record.is_object())
        return;
    if (auto token = record.find(managerField); token != record.end() && token->is_number_unsigned())
        managerToken_ = token->get<uint64_t>();
    std::map<std::string, std::string> cordoned;
    if (auto instances = record.find(instancesField); instances != record.end() && instances->is_array())
        for (const auto& instance : *instances)
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
    if (written_.empty())
        return StateRecord { key_, {} };
    return StateRecord { key_,
        nlohmann::json { { instancesField, written_ }, { managerField, managerToken_ } }.dump() };
}

} // namespace shallotdrift
