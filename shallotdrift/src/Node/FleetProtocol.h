#pragma once

#include "../Instances/InstancePlanner.h"
#include "OwnedPartition.h"

namespace shallotdrift::internal {

// The manager's request to the owners, between entry instances.
inline constexpr char fleetPath[] = "/fleet";

// What the manager of the instances and the owners of services tell each other: which instances are to be emptied, and
// what runs in the pools.
std::string encodeCordons(
    const std::map<std::string, std::string>& cordoned, const std::set<std::string>& maintenanceDue);
// Takes the cordons and describes the pools of the partitions that this entry instance owns.
std::string applyCordons(
    std::string_view body, const std::map<uint32_t, std::shared_ptr<OwnedPartition>>& owned, const Now&);
std::vector<PoolReport> decodePoolReports(std::string_view body, Instant askedAt);

} // namespace shallotdrift::internal
