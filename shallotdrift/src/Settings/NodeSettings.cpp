#include "NodeSettings.h"

#include "SettingsFile.h"
#include "SettingsSchema.h"

#include <fmt/format.h>

namespace shallotdrift {

using internal::IniText;
using internal::Presence;
using internal::SectionSchema;
using internal::ValidationErrors;

const std::vector<SectionSchema<NodeSettings>>& internal::nodeSections()
{
    using S = NodeSettings;
    using F = internal::ValueFormat;
    static constexpr auto required = Presence::Required;
    static constexpr auto optional = Presence::Optional;
    static const std::vector<SectionSchema<S>> sections {
        { "node",
            {
                { "name", &S::name, F::name(), required, "name of this entry instance, unique in the fleet" },
                { "zone", &S::zone, F::name(), required, "availability zone of this entry instance" },
                { "ip", &S::ip, F::text(), required, "IP address at which the other entry instances reach this one" },
                { "caller_address", &S::callerAddress, F::address(), required, "listener for clients" },
                { "ready_address", &S::readyAddress, F::address(), required, "listener for readiness checks" },
                { "first_internal_port", &S::firstInternalPort, F::integer(1, 65533), required,
                    "port of the listener for the other entry instances; the next two ports serve metrics and "
                    "operators" },
                { "log_level", &S::logLevel, F::choice({ "trace", "debug", "info", "warning", "error" }), optional,
                    "lowest severity that is logged" },
            },
            required },
        { "store",
            {
                { "address", &S::storeAddress, F::address(), required, "address of the platform's store" },
                { "partitions", &S::storePartitions, F::integer(1, 10000), optional,
                    "number of partitions of a topic" },
                { "membership_ms", &S::membershipTimeout, F::integer(1000, 60000, "ms"), optional,
                    "an entry instance that has not renewed its membership for this time loses its partitions" },
                { "record_bytes", &S::recordBytes, F::integer(1024, 1073741824, "bytes"), optional,
                    "maximum size of a record in the store, with its key; larger states are split" },
                { "request_bytes", &S::requestBytes, F::integer(1024, 1073741824, "bytes"), optional,
                    "maximum size of the records of one append; more records are stored by several appends" },
            },
            required },
        { "machine",
            {
                { "cpu_share", &S::cpuShare, F::decimal(0, 1000), optional,
                    "CPU cores of the instance, for example 0.5; 0 when unknown" },
                { "link_mbps", &S::linkMbps, F::decimal(0, 1000000), optional,
                    "bandwidth of the instance's network link in Mbit/s; 0 when unknown" },
                { "memory_mb", &S::memoryMegabytes, F::integer(0, 10000000, "MB"), optional,
                    "memory that the process may use; 0 when unknown" },
                { "descriptors", &S::descriptors, F::integer(0, 10000000), optional,
                    "number of descriptors that the process may open; 0 when unknown" },
            } },
        { "clients",
            {
                { "memory_share", &S::connectionMemoryShare, F::decimal(0.01, 0.9), optional,
                    "share of the machine's memory_mb that the connections of clients and other entry instances may "
                    "hold; a machine of unknown memory counts as one of 160 MB" },
                { "connections", &S::clientConnections, F::integer(1, 1000000), optional,
                    "maximum number of connections of clients; fewer if the machine's descriptors do not suffice" },
                { "header_fields", &S::headerFields, F::integer(16, 100000), optional,
                    "maximum number of header fields of a request" },
                { "stall_ms", &S::stallTimeout, F::integer(100, 600000, "ms"), optional,
                    "while memory is short, a request of which too little has arrived for this time is refused" },
            } },
        { "ownership",
            {
                { "least_cpu_share", &S::minimumCpuShare, F::decimal(0, 1000), optional,
                    "an instance with a smaller cpu_share owns partitions only while no other instance does" },
                { "least_link_mbps", &S::minimumLinkMbps, F::decimal(0, 1000000), optional,
                    "an instance with a slower link owns partitions only while no other instance does" },
            } },
        { "operators",
            {
                { "served", &S::operatorsServed, F::boolean(), optional,
                    "whether operators can call this entry instance" },
                { "address", &S::operatorAddress, F::address(), optional,
                    "listener for operators; the third internal port on 127.0.0.1 when not given" },
                { "certificate_file", &S::certificateFile, F::path(), optional,
                    "PEM certificate of the operator listener" },
                { "key_file", &S::keyFile, F::path(), optional, "PEM key of the operator listener" },
                { "client_authority_file", &S::clientAuthorityFile, F::path(), optional,
                    "PEM certificates of the authority that signs operators' certificates" },
            } },
        { "instances",
            {
                { "address", &S::instancesAddress, F::address(), optional,
                    "address of the platform's API for instances" },
            } },
        { "planning",
            {
                { "margin", &S::demandMargin, F::decimal(0.1, 10), optional,
                    "multiplier of the cores that a pool's accepted work requires" },
                { "reserve_cores", &S::reserveCores, F::decimal(0, 100000), optional,
                    "spare cores of each pool for the first jobs when demand rises" },
                { "trend_ahead_s", &S::forecastHorizonSeconds, F::decimal(0, 600), optional,
                    "time for which a rise in demand is extrapolated, in seconds" },
                { "need_memory_ms", &S::stabilizationWindow, F::integer(0, 600000, "ms"), optional,
                    "a pool is sized for the largest demand within this time" },
                { "surplus_pause_ms", &S::scaleDownDelay, F::integer(0, 600000, "ms"), optional,
                    "time for which a pool has to be larger than needed before it is scaled down" },
                { "late_ms", &S::overdueCompletionTime, F::integer(100, 3600000, "ms"), optional,
                    "time within which jobs that can no longer meet their latency objective should end" },
            } },
        { "placement",
            { { "reserved_workers", &S::reservedWorkers, F::integer(0, 1000), optional,
                "workers of a service on which room that will be free soon is reserved for tasks that fit on none yet; "
                "0: none" } } },
        { "advice",
            { { "address", &S::adviceAddress, F::address(), optional,
                "address of the service that knows which workers a policy allows" } } },
        { "bounds",
            {
                { "longest_lease_ms", &S::maximumLease, F::integer(1000, 600000, "ms"), optional,
                    "longest lease that a worker grants" },
                { "status_kept_s", &S::statusRetentionSeconds, F::decimal(1, 1000000), optional,
                    "time for which the state of an ended job is kept for queries, in seconds" },
                { "stop_grace_s", &S::stopGraceSeconds, F::decimal(0, 3600), optional,
                    "time from the stop signal until the process is killed, in seconds" },
                { "maintenance_s", &S::maintenanceSeconds, F::decimal(0, 1000000), optional,
                    "time from the maintenance order for an instance until its new worker joins the pool, in seconds" },
                { "order_pause_ms", &S::minimumOrderInterval, F::integer(0, 600000, "ms"), optional,
                    "minimum time between orders from different fleet managers to the same instance" },
                { "key_withdrawal_ms", &S::keyWithdrawalBound, F::integer(0, 3600000, "ms"), optional,
                    "a request that is sent this time after its key was withdrawn is refused, also by an instance that "
                    "does not hear of it; 0: an instance serves with the configuration that it has" },
                { "drain_ms", &S::drainTime, F::integer(0, 600000, "ms"), optional,
                    "shortest time for which a draining worker serves on" },
                { "stop_ms", &S::maximumStopTime, F::integer(0, 600000, "ms"), optional,
                    "longest time from a stop request until the worker has ended the run" },
            } },
    };
    return sections;
}

static void validateOperatorListener(const IniText& text, const NodeSettings& settings, ValidationErrors& errors)
{
    const auto* section = text.find("operators");
    if (!section)
        return;
    bool all = !settings.certificateFile.empty() && !settings.keyFile.empty() && !settings.clientAuthorityFile.empty();
    bool none = settings.certificateFile.empty() && settings.keyFile.empty() && settings.clientAuthorityFile.empty();
    if (!all && !none)
        errors.add(
            *section, "certificate_file, key_file and client_authority_file must be given together or not at all");
    for (const auto& key : section->keys) {
        if (key.name != "address" || !internal::isAddress(key.value))
            continue;
        if (!all && !internal::isLoopbackAddress(key.value))
            errors.add(*section, key, "without TLS files, the address must be a loopback address");
        if (key.value == settings.callerAddress || key.value == settings.readyAddress)
            errors.add(*section, key, "the address is already used by another listener");
    }
}

Result<NodeSettings> parseNodeSettings(std::string_view ini, std::string_view source)
{
    NodeSettings settings;
    ValidationErrors errors(source);
    auto text = IniText::read(ini, errors);
    if (!text.readable())
        return boost::leaf::new_error(errors.toError(ResultCode::InvalidSettings));
    const auto& schemas = internal::nodeSections();
    for (const auto& section : text.sections()) {
        auto schema = std::find_if(
            schemas.begin(), schemas.end(), [&](const auto& candidate) { return candidate.section == section.name; });
        if (schema != schemas.end())
            internal::readSection(section, schema->keys, settings, errors);
        else
            errors.add(section,
                "unknown section; known sections are [node], [store], [machine], [clients], [ownership], [operators], "
                "[instances], [planning], [placement], [advice] and [bounds]");
    }
    for (const auto& schema : schemas)
        if (schema.presence == Presence::Required && !text.find(schema.section))
            errors.add(text.lineCount(), fmt::format("[{}]", schema.section), "the section is missing");
    validateOperatorListener(text, settings, errors);
    if (!errors.empty())
        return boost::leaf::new_error(errors.toError(ResultCode::InvalidSettings));
    return settings;
}

Result<NodeSettings> readNodeSettings(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(path));
    return parseNodeSettings(text, path);
}

} // namespace shallotdrift
