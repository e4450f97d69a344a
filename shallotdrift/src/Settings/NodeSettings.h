#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace shallotdrift {

// Settings of one entry instance's process.
struct NodeSettings {
    // [node]
    std::string name;
    std::string zone;
    std::string ip;
    std::string callerAddress; // IP:port of the callers' listener
    std::string readyAddress; // IP:port where the platform checks readiness
    uint32_t firstInternalPort = 0; // the peers' listener; the next ones serve metrics and operators
    std::string logLevel = "info";

    // [store]
    std::string storeAddress;
    uint32_t storePartitions = 24;
    Milliseconds membershipTimeout { 2000 }; // without a sign of life for so long, an entry loses its partitions

    // [machine]: what the instance has; 0 when it is not known
    double cpuShare = 0; // of a core
    double linkMbps = 0; // a second

    // [ownership]: an instance with less owns partitions only while no other does
    double minimumCpuShare = 0.2; // of a core: a flood of a service takes 0.15
    double minimumLinkMbps = 50; // a second: starts with their payloads take 25 in a flood

    bool belowOwnershipMinimum() const
    {
        return (cpuShare > 0 && cpuShare < minimumCpuShare) || (linkMbps > 0 && linkMbps < minimumLinkMbps);
    }

    // [operators]: either all three files or none
    bool operatorsServed = true;
    std::string operatorAddress; // empty: the third internal port on the loopback address
    std::string certificateFile;
    std::string keyFile;
    std::string clientAuthorityFile;

    // [instances]
    std::string instancesAddress;

    // [planning]
    double demandMargin = 1.4; // of a pool's size over the rate at which its accepted work has to be done
    double reserveCores = 12; // of each pool, for the first jobs of a rise in demand
    double forecastHorizonSeconds = 1.5; // seconds by which a rise in demand is carried forward
    Milliseconds stabilizationWindow { 1200 }; // a pool's size follows the largest need of this time
    Milliseconds scaleDownDelay { 500 }; // a pool is larger than needed for so long before it is made smaller
    Milliseconds overdueCompletionTime { 8000 }; // within which jobs past their objective are to end

    // [advice]
    std::string adviceAddress;

    // [bounds]: what the platform states, in its units
    Milliseconds maximumLease { 10000 };
    double statusRetentionSeconds = 120;
    double stopGraceSeconds = 6;
    double maintenanceSeconds = 2;
    Milliseconds minimumOrderInterval { 3000 };
    Milliseconds maximumStopTime { 1000 }; // a worker ends a run within so long after the order

    Milliseconds statusRetention() const { return toMilliseconds(statusRetentionSeconds); }
    Milliseconds stopGrace() const { return toMilliseconds(stopGraceSeconds); }
    Milliseconds maintenanceTime() const { return toMilliseconds(maintenanceSeconds); }

private:
    static Milliseconds toMilliseconds(double seconds) { return Milliseconds { static_cast<int64_t>(seconds * 1000) }; }
};

Result<NodeSettings> parseNodeSettings(std::string_view ini, std::string_view source);
Result<NodeSettings> readNodeSettings(const std::string& path);

} // namespace shallotdrift
