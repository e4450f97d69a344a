#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace shallotdrift {

// Settings of the process of an entry instance. Keys are documented in docs/configuration.md.
struct NodeSettings {
    // [node]
    std::string name;
    std::string zone;
    std::string ip;
    std::string callerAddress; // IP:port of the listener for clients
    std::string readyAddress; // IP:port of the listener for readiness checks
    uint32_t firstInternalPort = 0; // for other entry instances; the next two ports: metrics, operators
    std::string logLevel = "info";

    // [store]
    std::string storeAddress;
    uint32_t storePartitions = 24;
    Milliseconds membershipTimeout { 2000 }; // without a renewal for this time, an instance loses its partitions
    uint32_t recordBytes = 262144; // maximum size of a record, with its key
    uint32_t requestBytes = 2097152; // maximum size of the records of one append

    // [machine]: resources of the instance; 0 when unknown
    double cpuShare = 0; // in cores
    double linkMbps = 0;
    uint32_t memoryMegabytes = 0;
    uint32_t descriptors = 0;

    // [clients]: limits on what clients can make the process hold
    double connectionMemoryShare = 0.2; // of memoryMegabytes, for the connections of all HTTP listeners
    uint32_t clientConnections = 2000;
    uint32_t headerFields = 256;
    Milliseconds stallTimeout { 1000 };

    // [ownership]: an instance below one of these minimums owns partitions only while no other instance does
    double minimumCpuShare = 0.2; // in cores; a load peak of one service needs 0.15
    double minimumLinkMbps = 50; // start requests and their payloads need 25 Mbit/s at a load peak

    // A resource that is unknown (0) counts as sufficient.
    bool belowOwnershipMinimum() const
    {
        return (cpuShare > 0 && cpuShare < minimumCpuShare) || (linkMbps > 0 && linkMbps < minimumLinkMbps);
    }

    // [operators]: the three files must be given together or not at all
    bool operatorsServed = true;
    std::string operatorAddress; // empty: the third internal port on the loopback address
    std::string certificateFile;
    std::string keyFile;
    std::string clientAuthorityFile;

    // [instances]
    std::string instancesAddress;

    // [planning]
    double demandMargin = 1.4; // multiplier of the cores that a pool's accepted work requires
    double reserveCores = 12; // spare cores of each pool for the first jobs when demand rises
    double forecastHorizonSeconds = 1.5; // time for which a rise in demand is extrapolated
    Milliseconds stabilizationWindow { 1200 }; // a pool is sized for the largest demand within this time
    Milliseconds scaleDownDelay { 500 }; // a pool is scaled down after it was larger than needed for this time
    Milliseconds overdueCompletionTime { 8000 }; // target for jobs that can no longer meet their latency objective

    // [placement]
    uint32_t reservedWorkers = 8; // of a service, with room reserved for tasks that do not fit yet; 0: none

    // [advice]
    std::string adviceAddress;

    // [bounds]: guarantees of the platform, in the units that the platform uses
    Milliseconds maximumLease { 10000 }; // longest lease that a worker grants
    double statusRetentionSeconds = 120; // time for which the state of an ended job is kept for queries
    double stopGraceSeconds = 6; // from the stop signal until the process is killed
    double maintenanceSeconds = 2; // from the maintenance order until the new worker joins the pool
    // A request is refused this time after its key was withdrawn, also by an instance that does not hear of it;
    // 0: an instance may serve with the configuration that it has.
    Milliseconds keyWithdrawalBound { 0 };
    Milliseconds minimumOrderInterval { 3000 }; // between the orders of two managers to one instance
    Milliseconds drainTime { 2000 }; // for which a draining worker serves on at least
    Milliseconds maximumStopTime { 1000 }; // from a stop request until the worker has ended the run

    Milliseconds statusRetention() const { return toMilliseconds(statusRetentionSeconds); }
    Milliseconds stopGrace() const { return toMilliseconds(stopGraceSeconds); }
    Milliseconds maintenanceTime() const { return toMilliseconds(maintenanceSeconds); }

private:
    static Milliseconds toMilliseconds(double seconds) { return Milliseconds { static_cast<int64_t>(seconds * 1000) }; }
};

// Both functions fail with InvalidSettings and a message that lists all errors, each with the source (the name of the
// text) and the line number.
Result<NodeSettings> parseNodeSettings(std::string_view ini, std::string_view source);
Result<NodeSettings> readNodeSettings(const std::string& path);

} // namespace shallotdrift
