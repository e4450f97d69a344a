#include "RecentOrders.h"

#include <nlohmann/json.hpp>

namespace shallotdrift::internal {

bool RecentOrders::restore(const std::string& record)
{
    auto orders = nlohmann::json::parse(record, nullptr, false);
    if (!orders.is_object())
        return false;
    for (const auto& [instance, at] : orders.items())
        if (at.is_number_integer())
            add(instance, wallTimeFromUnix(Milliseconds { at.get<int64_t>() }));
    return true;
}

std::string RecentOrders::encode(WallTime now)
{
    auto record = nlohmann::json::object();
    for (auto item = orders_.begin(); item != orders_.end();) {
        if (now - item->second > cooldown_) {
            item = orders_.erase(item);
            continue;
        }
        record[item->first] = unixMilliseconds(item->second);
        ++item;
    }
    return record.dump();
}

} // namespace shallotdrift::internal
