#include "ConfigurationCheck.h"

#include "../Settings/SettingsFile.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>

namespace shallotdrift::internal {

using platform::Configuration;
using Finding = ConfigurationFinding;
using Severity = Finding::Severity;
using Findings = std::vector<Finding>;

// The smallest limits with which a job whose payload has the greatest length, and a key of the greatest length, fit.
static constexpr size_t smallestBodyLimit = 8 << 10;
static constexpr size_t smallestHeaderLimit = 2 << 10;
static constexpr size_t jobIdLength = 16;

static void checkEntries(const Configuration& configuration, Findings& findings)
{
    for (const auto& entry : configuration.rejections)
        findings.push_back(
            { Severity::Error, fmt::format("{}: malformed, out of bounds, or a name that is taken", entry) });
    if (configuration.queues.empty())
        findings.push_back({ Severity::Error, "there is no queue, so no request can be served" });
}

static bool isHexadecimal(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

// The longest prefix that matches a path gets it. Paths are a prefix and an id of 16 hexadecimal digits.
static void checkQueueAgainst(const QueueConfiguration& queue, const QueueConfiguration& other, Findings& findings)
{
    if (&queue == &other || !equalIgnoringCase(queue.host, other.host)
        || other.pathPrefix.compare(0, queue.pathPrefix.size(), queue.pathPrefix) != 0)
        return;
    auto rest = std::string_view(other.pathPrefix).substr(queue.pathPrefix.size());
    if (rest.empty() && queue.name > other.name)
        findings.push_back({ Severity::Error,
            fmt::format("queue {} can never match: queue {} has the same host and path", queue.name, other.name) });
    else if (!rest.empty() && rest.size() <= jobIdLength && isHexadecimal(rest))
        findings.push_back({ Severity::Error,
            fmt::format(
                "queue {} misses jobs whose ids begin with {}: queue {} matches them", queue.name, rest, other.name) });
}

static void checkQueues(const Configuration& configuration, Findings& findings)
{
    for (const auto& [name, queue] : configuration.queues) {
        auto service = configuration.services.find(queue.service);
        if (service == configuration.services.end())
            findings.push_back(
                { Severity::Error, fmt::format("queue {}: there is no service {}", name, queue.service) });
        else if (service->second.standby)
            findings.push_back({ Severity::Error,
                fmt::format("queue {}: service {} is a standby pool, which runs nothing", name, queue.service) });
        if (queue.pathPrefix.empty() || queue.pathPrefix.front() != '/')
            findings.push_back({ Severity::Error,
                fmt::format("queue {} can never match: its path does not begin with a slash", name) });
        if (queue.maximumAttempts == 0)
            findings.push_back({ Severity::Error, fmt::format("queue {} allows no attempt", name) });
        if (queue.timeout.count() == 0)
            findings.push_back({ Severity::Error, fmt::format("queue {} gives callers no time", name) });
        for (const auto& [otherName, other] : configuration.queues)
            checkQueueAgainst(queue, other, findings);
    }
}

static void checkServices(const Configuration& configuration, Findings& findings)
{
    std::set<std::string> used;
    bool hasStandby = false;
    for (const auto& [name, queue] : configuration.queues)
        used.insert(queue.service);
    for (const auto& [name, service] : configuration.services) {
        hasStandby = hasStandby || service.standby;
        if (!service.standby && used.count(name) == 0)
            findings.push_back({ Severity::Warning, fmt::format("service {} has no queue", name) });
    }
    if (!hasStandby)
        findings.push_back({ Severity::Warning, "no service is a standby pool, so no instance is ever switched off" });
}

static void checkAccounts(const Configuration& configuration, Findings& findings)
{
    if (!configuration.hasAccounts)
        return;
    if (configuration.keys.ambiguousKeys() > 0)
        findings.push_back({ Severity::Error,
            fmt::format(
                "{} keys are held by several accounts, so they admit nobody", configuration.keys.ambiguousKeys()) });
    bool allPublic = std::all_of(configuration.queues.begin(), configuration.queues.end(),
        [](const auto& entry) { return entry.second.isPublic; });
    if (allPublic)
        findings.push_back({ Severity::Warning, "all queues are public, so no key is ever asked for" });
    for (const auto& [name, account] : configuration.accounts) {
        if (configuration.keys.countOf(name) == 0)
            findings.push_back({ Severity::Warning, fmt::format("account {} has no key, so it cannot call", name) });
        if (account.share == 0)
            findings.push_back(
                { Severity::Warning, fmt::format("account {} has no share, so nothing limits a flood of it", name) });
        const auto& quota = account.quota;
        if ((quota.milliCores == 0) != (quota.memoryMegabytes == 0))
            findings.push_back(
                { Severity::Warning, fmt::format("account {}: only one of cores and memory is bounded", name) });
    }
}

static void checkLimits(const Configuration& configuration, Findings& findings)
{
    const auto& limits = configuration.limits;
    if (limits.maximumBodyBytes < smallestBodyLimit)
        findings.push_back({ Severity::Error,
            fmt::format("bodies are limited to {} bytes; a job with a long payload needs {}", limits.maximumBodyBytes,
                smallestBodyLimit) });
    if (limits.maximumHeaderBytes < smallestHeaderLimit)
        findings.push_back({ Severity::Error,
            fmt::format("headers are limited to {} bytes; a call with a long key needs {}", limits.maximumHeaderBytes,
                smallestHeaderLimit) });
    if (limits.headerTimeout.count() == 0 || limits.idleTimeout.count() == 0)
        findings.push_back({ Severity::Error, "a time limit of 0 ms closes every connection" });
}

std::vector<Finding> checkConfiguration(const Configuration& configuration)
{
    Findings findings;
    for (auto* check : { checkEntries, checkQueues, checkServices, checkAccounts, checkLimits })
        check(configuration, findings);
    return findings;
}

// Adds a line for each name that only one of the maps has, and calls compare(name, old, new) for the others.
template <typename Entries, typename Compare>
static void compareEntries(
    const char* what, const Entries& inForce, const Entries& next, std::vector<std::string>& lines, Compare&& compare)
{
    for (const auto& [name, entry] : inForce)
        if (next.count(name) == 0)
            lines.push_back(fmt::format("{} {} is removed", what, name));
    for (const auto& [name, entry] : next) {
        auto found = inForce.find(name);
        if (found == inForce.end())
            lines.push_back(fmt::format("{} {} is added", what, name));
        else
            compare(name, found->second, entry);
    }
}

static std::string formatQuota(const Resources& quota)
{
    return fmt::format(
        "{} millicores, {} MB, {} accelerators", quota.milliCores, quota.memoryMegabytes, quota.accelerators);
}

std::vector<std::string> compareConfigurations(const Configuration& inForce, const Configuration& next)
{
    std::vector<std::string> lines;
    auto differs = [&](const std::string& subject, const char* field, const auto& before, const auto& after) {
        if (before != after)
            lines.push_back(fmt::format("{}: {} {} becomes {}", subject, field, before, after));
    };
    if (next.version <= inForce.version)
        lines.push_back(fmt::format(
            "version {} is not above version {} in force, so it takes no effect", next.version, inForce.version));
    compareEntries("queue", inForce.queues, next.queues, lines,
        [&](const std::string& name, const QueueConfiguration& before, const QueueConfiguration& after) {
            auto subject = "queue " + name;
            differs(subject, "host", before.host, after.host);
            differs(subject, "path", before.pathPrefix, after.pathPrefix);
            differs(subject, "service", before.service, after.service);
            differs(subject, "priority", before.priority, after.priority);
            differs(subject, "attempts", before.maximumAttempts, after.maximumAttempts);
            differs(subject, "stretch", before.stretch, after.stretch);
            differs(subject, "latency target in ms", before.latencyTarget.count(), after.latencyTarget.count());
            differs(subject, "timeout in ms", before.timeout.count(), after.timeout.count());
            differs(subject, "public", before.isPublic, after.isPublic);
        });
    compareEntries("service", inForce.services, next.services, lines,
        [&](const std::string& name, const ServiceConfiguration& before, const ServiceConfiguration& after) {
            differs("service " + name, "admission check", before.admissionCheck, after.admissionCheck);
            differs("service " + name, "standby", before.standby, after.standby);
        });
    compareEntries("account", inForce.accounts, next.accounts, lines,
        [&](const std::string& name, const ClientAccount& before, const ClientAccount& after) {
            auto subject = "account " + name;
            differs(subject, "share", before.share, after.share);
            differs(subject, "quota", formatQuota(before.quota), formatQuota(after.quota));
            if (auto added = next.keys.countMissingIn(inForce.keys, name))
                lines.push_back(fmt::format("{}: {} keys are added", subject, added));
            if (auto removed = inForce.keys.countMissingIn(next.keys, name))
                lines.push_back(fmt::format("{}: {} keys are withdrawn", subject, removed));
        });
    differs("limits", "body bytes", inForce.limits.maximumBodyBytes, next.limits.maximumBodyBytes);
    differs("limits", "header bytes", inForce.limits.maximumHeaderBytes, next.limits.maximumHeaderBytes);
    return lines;
}

} // namespace shallotdrift::internal

namespace shallotdrift {

static Result<platform::Configuration> readConfiguration(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(path));
    auto configuration = platform::decodeConfigurationText(text);
    if (!configuration)
        return fail(ResultCode::InvalidSettings, path + ": not a configuration with a version");
    return std::move(*configuration);
}

unsigned runCheckFleetConfigCommand(
    const std::vector<std::string>& arguments, bool json, std::ostream& output, std::ostream& errors)
{
    if (arguments.empty() || arguments.size() > 2) {
        errors << "check-fleet-config FILE [FILE IN FORCE]\n";
        return static_cast<unsigned>(ResultCode::InvalidCommand);
    }
    return handleError(
        [&]() -> Result<unsigned> {
            BOOST_LEAF_AUTO(next, readConfiguration(arguments[0]));
            auto findings = internal::checkConfiguration(next);
            std::vector<std::string> changes;
            if (arguments.size() == 2) {
                BOOST_LEAF_AUTO(inForce, readConfiguration(arguments[1]));
                changes = internal::compareConfigurations(inForce, next);
            }
            using Severity = internal::ConfigurationFinding::Severity;
            auto reply = nlohmann::json { { "version", next.version }, { "errors", nlohmann::json::array() },
                { "warnings", nlohmann::json::array() }, { "changes", changes } };
            bool valid = true;
            for (const auto& finding : findings) {
                bool error = finding.severity == Severity::Error;
                valid = valid && !error;
                reply[error ? "errors" : "warnings"].push_back(finding.text);
                if (!json)
                    output << (error ? "error: " : "warning: ") << finding.text << "\n";
            }
            if (json)
                output << reply.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
            else
                for (const auto& change : changes)
                    output << "change: " << change << "\n";
            return static_cast<unsigned>(valid ? ResultCode::Ok : ResultCode::InvalidSettings);
        },
        [&](const Error& error) {
            errors << error.message << "\n";
            return static_cast<unsigned>(error.code);
        });
}

} // namespace shallotdrift
