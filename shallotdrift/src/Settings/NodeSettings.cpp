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
                { "ip", &S::ip, F::text(), required, "IP address at which the other entry instances reach it" },
                { "caller_address", &S::callerAddress, F::address(), required, "listener for callers" },
                { "ready_address", &S::readyAddress, F::address(), required, "listener for checks of readiness" },
                { "first_internal_port", &S::firstInternalPort, F::integer(1, 65533), required,
                    "port of the listener for the other entry instances; the next ones serve metrics and operators" },
                { "log_level", &S::logLevel, F::choice({ "trace", "debug", "info", "warning", "error" }), optional,
                    "least severe log lines that are written" },
            },
            required },
        { "store",
            {
                { "address", &S::storeAddress, F::address(), required, "the platform's store" },
                { "partitions", &S::storePartitions, F::integer(1, 10000), optional, "partitions of a topic" },
                { "membership_ms", &S::membershipTimeout, F::integer(1000, 60000, "ms"), optional,
                    "an entry that is silent for so long loses its partitions to others" },
            },
            required },
        { "machine",
            {
                { "cpu_share", &S::cpuShare, F::decimal(0, 1000), optional,
                    "share of a core that the instance has; 0 when it is not known" },
                { "link_mbps", &S::linkMbps, F::decimal(0, 1000000), optional,
                    "speed of its network link in megabits a second; 0 when it is not known" },
            } },
        { "ownership",
            {
                { "least_cpu_share", &S::minimumCpuShare, F::decimal(0, 1000), optional,
                    "an instance with a smaller share owns partitions only while no other does" },
                { "least_link_mbps", &S::minimumLinkMbps, F::decimal(0, 1000000), optional,
                    "an instance with a slower link owns partitions only while no other does" },
            } },
        { "operators",
            {
                { "served", &S::operatorsServed, F::boolean(), optional, "operators can call this entry instance" },
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
                { "address", &S::instancesAddress, F::address(), optional, "the platform's interface to instances" },
            } },
        { "planning",
            {
                { "margin", &S::demandMargin, F::decimal(0.1, 10), optional,
                    "size of a pool over the rate at which its accepted work has to be done" },
                { "reserve_cores", &S::reserveCores, F::decimal(0, 100000), optional,
                    "cores of each pool for the first jobs of a rise in demand" },
                { "trend_ahead_s", &S::forecastHorizonSeconds, F::decimal(0, 600), optional,
                    "time by which a rise in demand is carried forward, in seconds" },
                { "need_memory_ms", &S::stabilizationWindow, F::integer(0, 600000, "ms"), optional,
                    "a pool's size follows the largest need of this time" },
                { "surplus_pause_ms", &S::scaleDownDelay, F::integer(0, 600000, "ms"), optional,
                    "a pool is larger than needed for so long before it is made smaller" },
                { "late_ms", &S::overdueCompletionTime, F::integer(100, 3600000, "ms"), optional,
                    "time within which jobs past their objective are to end" },
            } },
        { "advice",
            { { "address", &S::adviceAddress, F::address(), optional,
                "the service that knows which workers a policy allows" } } },
        { "bounds",
            {
                { "longest_lease_ms", &S::maximumLease, F::integer(1000, 600000, "ms"), optional,
                    "longest lease that a worker grants" },
                { "status_kept_s", &S::statusRetentionSeconds, F::decimal(1, 1000000), optional,
                    "time for which the state of an ended job can be asked for, in seconds" },
                { "stop_grace_s", &S::stopGraceSeconds, F::decimal(0, 3600), optional,
                    "time from the stop signal until the process is killed, in seconds" },
                { "maintenance_s", &S::maintenanceSeconds, F::decimal(0, 1000000), optional,
                    "time from the order to maintain an instance until its new worker joins the pool, in seconds" },
                { "order_pause_ms", &S::minimumOrderInterval, F::integer(0, 600000, "ms"), optional,
                    "two managers must not order one instance within this time" },
                { "stop_ms", &S::maximumStopTime, F::integer(0, 600000, "ms"), optional,
                    "longest time that a worker takes to stop a run" },
            } },
    };
    return sections;
}

static void checkOperatorTrust(const IniText& text, const NodeSettings& settings, ValidationErrors& mistakes)
{
    const auto* section = text.find("operators");
    if (!section)
        return;
    bool all = !settings.certificateFile.empty() && !settings.keyFile.empty() && !settings.clientAuthorityFile.empty();
    bool none = settings.certificateFile.empty() && settings.keyFile.empty() && settings.clientAuthorityFile.empty();
    if (!all && !none)
        mistakes.add(*section, "certificate_file, key_file and client_authority_file are given all three or none");
    for (const auto& key : section->keys) {
        if (key.name != "address" || !internal::isAddress(key.value))
            continue;
        if (!all && !internal::isLoopbackAddress(key.value))
            mistakes.add(*section, key, "without TLS files a loopback address is required");
        if (key.value == settings.callerAddress || key.value == settings.readyAddress)
            mistakes.add(*section, key, "the address is already that of another listener");
    }
}

Result<NodeSettings> parseNodeSettings(std::string_view ini, std::string_view source)
{
    NodeSettings settings;
    ValidationErrors mistakes(source);
    auto text = IniText::read(ini, mistakes);
    if (!text.readable())
        return boost::leaf::new_error(mistakes.toError(ResultCode::InvalidSettings));
    const auto& tables = internal::nodeSections();
    for (const auto& section : text.sections()) {
        auto table = std::find_if(
            tables.begin(), tables.end(), [&](const auto& candidate) { return candidate.section == section.name; });
        if (table != tables.end())
            internal::readSection(section, table->keys, settings, mistakes);
        else
            mistakes.add(section,
                "unknown section; known sections are [node], [store], [machine], [ownership], [operators], "
                "[instances], [planning], [advice] "
                "and [bounds]");
    }
    for (const auto& table : tables)
        if (table.presence == Presence::Required && !text.find(table.section))
            mistakes.add(text.lineCount(), fmt::format("[{}]", table.section), "the section is missing");
    checkOperatorTrust(text, settings, mistakes);
    if (!mistakes.empty())
        return boost::leaf::new_error(mistakes.toError(ResultCode::InvalidSettings));
    return settings;
}

Result<NodeSettings> readNodeSettings(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(path));
    return parseNodeSettings(text, path);
}

} // namespace shallotdrift
