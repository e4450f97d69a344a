#pragma once

#include "../Accounts/QuotaAllocator.h"
#include "../Instances/InstancePlanner.h"
#include "OwnedPartition.h"

#include <nlohmann/json_fwd.hpp>

namespace shallotdrift::internal {

// Path of the fleet manager's requests to the owners, between entry instances.
inline constexpr char fleetPath[] = "/fleet";

// Messages between the fleet manager and the owners of the services. The manager sends the cordoned instances, on which
// nothing new may be placed, each with the pool that is exempt from its cordon (empty: none), the instances whose
// maintenance is due, and its fencing token. An owner responds with a report on the pool of each of its services,
// unless it knows of a later manager. The manager adds the parts of quotas that it lends, and the owner what it holds.
struct QuotaMessage {
    uint64_t round = 0;
    std::map<std::string, QuotaAllocator::Offer> offers {}; // by service
};
std::string encodeCordons(const std::map<std::string, std::string>& cordoned,
    const std::set<std::string>& maintenanceDue, uint64_t managerToken,
    const std::optional<QuotaMessage>& quotas = std::nullopt);
// Applies the cordons to the services of this entry instance's partitions and returns the encoded reports on their
// pools. If the body is unreadable, changes nothing and returns an empty encoded list. Reports nothing while the
// ownership is not confirmed: the next owner could have placed runs on instances that are empty here.
std::string applyCordons(std::string_view body, const std::map<uint32_t, std::shared_ptr<OwnedPartition>>& owned,
    bool ownershipConfirmed, const Now&);
// The strings of a JSON list; other items are left out.
std::set<std::string> parseStringSet(const nlohmann::json& list);
PoolReport makePoolReport(const ServiceScheduler&, const Now&);
struct OwnerReports {
    std::vector<PoolReport> pools {};
    std::vector<QuotaAllocator::Report> quotas {}; // of the services that have applied a message with quotas
};
// Returns empty lists if any report is unreadable.
OwnerReports decodeOwnerReports(std::string_view body, Instant requestedAt);

} // namespace shallotdrift::internal
