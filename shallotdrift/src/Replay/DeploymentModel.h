#pragma once

#include "../Settings/FleetConfiguration.h"
#include "Trace.h"

#include <string>
#include <vector>

namespace shallotdrift::internal {

struct ModelPool {
    std::string name;
    uint32_t workers = 0;
    uint32_t minimum = 0;
    bool spare = false;
    bool lends = true;
};

struct ModelKind {
    std::string name;
    std::string pool;
    Urgency urgency = Urgency::Normal;
    double guaranteedShare = 0;
    Milliseconds runtime { 0 }; // mean
    Milliseconds timeout { 0 };
    bool idempotent = true;
    uint32_t queueLimit = 1000;
};

// Fleet and work of one customer, as generated traces have them.
struct DeploymentModel {
    std::string name;
    std::vector<std::string> zones;
    Microseconds zoneDelay { 0 };
    double targetUtilization = 0.8;
    std::vector<ModelPool> pools;
    std::vector<ModelKind> kinds;

    // Fleet configuration text.
    std::string ini() const;
    // Racks of four workers of one pool; the racks take turns over the zones.
    std::vector<TraceInstance> instances() const;
    uint32_t slotsOf(const std::string& poolName) const;
    const ModelKind& kind(const std::string& kindName) const;
    const ModelKind& firstOf(Urgency) const;
    // Fewer or more workers, with the same demand; the minimums follow.
    void scale(unsigned percent);
    // Urgent, bulk and normal work in the pool of the urgent kind.
    void sharePool();
};

// "chamber" or "karoo".
const DeploymentModel* findDeployment(const std::string& name);

} // namespace shallotdrift::internal
