#pragma once

#include "../Base/Time.h"

#include <map>
#include <string>

namespace shallotdrift::internal {

// Times of the last orders to instances, by this fleet manager and those before it. Each manager stores them before it
// sends an order, so that the next one sends no order for the same instance within the cooldown.
class RecentOrders {
public:
    explicit RecentOrders(Milliseconds cooldown)
        : cooldown_(cooldown)
    {
    }

    void add(const std::string& instance, WallTime at) { orders_[instance] = at; }
    // Adds the orders of a stored record. False if the record is malformed.
    bool restore(const std::string& record);
    // The record to store. Leaves out orders that are older than the cooldown.
    std::string encode(WallTime now);
    const std::map<std::string, WallTime>& byInstance() const { return orders_; }

private:
    Milliseconds cooldown_;
    std::map<std::string, WallTime> orders_;
};

} // namespace shallotdrift::internal
