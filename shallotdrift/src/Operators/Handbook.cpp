#include "Handbook.h"

#include "../Settings/ValueFormat.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallotdrift::internal {

using nlohmann::json;

static constexpr std::string_view keyPrefix = "handbook/";
static constexpr size_t maximumEntries = 200; // operators must be able to read the whole handbook
static constexpr size_t maximumTextBytes = 32 << 10; // the store keeps each entry in one record

static Handbook::OperationResult parseAndCheck(
    const std::string& name, const std::string& ini, const Handbook::FleetNames& fleet, HandbookPlan& plan)
{
    return handleError(
        [&]() -> Result<Handbook::OperationResult> {
            BOOST_LEAF_ASSIGN(plan, parseHandbook(ini, name));
            auto unknown = unknownPoolsAndZones(plan, fleet.pools, fleet.zones);
            if (!unknown.empty())
                return Handbook::OperationResult { ResultCode::InvalidHandbook, unknown.front() };
            return Handbook::OperationResult {};
        },
        [](const Error& error) {
            return Handbook::OperationResult { ResultCode::InvalidHandbook, error.message };
        });
}

Handbook::OperationResult Handbook::propose(const std::string& name, uint64_t expectedVersion, const std::string& ini,
    const std::string& author, const FleetNames& fleet)
{
    if (!isName(name))
        return { ResultCode::InvalidHandbook, "invalid name: expected " + ValueFormat::name().allowedValues() };
    auto found = entries_.find(name);
    auto version = found == entries_.end() ? 0 : found->second.version;
    if (version != expectedVersion)
        return { ResultCode::StaleEpoch,
            fmt::format("the newest version is {}, not the expected {}", version, expectedVersion) };
    if (found == entries_.end() && entries_.size() >= maximumEntries)
        return { ResultCode::TooLarge,
            fmt::format("the handbook already has the maximum of {} entries", maximumEntries) };
    if (ini.size() > maximumTextBytes)
        return { ResultCode::TooLarge, fmt::format("the text exceeds {} bytes", maximumTextBytes) };
    HandbookPlan plan;
    auto result = parseAndCheck(name, ini, fleet, plan);
    if (result.code != ResultCode::Ok)
        return result;
    auto& entry = entries_[name];
    entry.version = version + 1;
    entry.ini = ini;
    entry.author = author;
    entry.reviewer.clear();
    entry.approved = false;
    return { ResultCode::Ok, fmt::format("version {}", entry.version) };
}

Handbook::OperationResult Handbook::review(
    const std::string& name, uint64_t version, bool approved, const std::string& reviewer)
{
    auto found = entries_.find(name);
    if (found == entries_.end())
        return { ResultCode::NotFound, "there is no handbook entry " + name };
    auto& entry = found->second;
    if (entry.version != version)
        return { ResultCode::StaleEpoch, fmt::format("the newest version is {}, not {}", entry.version, version) };
    if (entry.author == reviewer)
        return { ResultCode::SameAuthorAndReviewer, reviewer + " is the author of this version" };
    if (!entry.reviewer.empty())
        return { ResultCode::WrongState, fmt::format("{} has already reviewed this version", entry.reviewer) };
    entry.reviewer = reviewer;
    entry.approved = approved;
    if (approved) {
        entry.approvedVersion = version;
        entry.approvedIni = entry.ini;
    }
    return {};
}

Handbook::OperationResult Handbook::findPlan(
    const std::string& name, uint64_t version, bool onlyApproved, uint64_t& foundVersion, HandbookPlan& plan) const
{
    auto found = entries_.find(name);
    if (found == entries_.end())
        return { ResultCode::NotFound, "there is no handbook entry " + name };
    const auto& entry = found->second;
    bool approved = entry.approvedVersion != 0 && (version == 0 || version == entry.approvedVersion);
    if (!approved && onlyApproved)
        return { ResultCode::NotReviewed,
            entry.approvedVersion == 0 ? "no version has been approved"
                                       : fmt::format("only version {} is approved", entry.approvedVersion) };
    if (!approved && version != 0 && version != entry.version)
        return { ResultCode::NotFound,
            fmt::format("version {} is neither the newest nor the approved version", version) };
    foundVersion = approved ? entry.approvedVersion : entry.version;
    return handleError(
        [&]() -> Result<OperationResult> {
            BOOST_LEAF_ASSIGN(plan, parseHandbook(approved ? entry.approvedIni : entry.ini, name));
            return OperationResult {};
        },
        [](const Error& error) {
            return OperationResult { ResultCode::InvalidHandbook, error.message };
        });
}

std::string Handbook::keyOf(const std::string& name) { return std::string(keyPrefix) + name; }

std::string Handbook::encode(const std::string& name) const
{
    const auto& entry = entries_.at(name);
    return json::array({ entry.version, entry.ini, entry.author, entry.reviewer, entry.approved, entry.approvedVersion,
                           entry.approvedIni })
        .dump();
}

bool Handbook::restore(const std::string& key, const std::string& value)
{
    if (key.compare(0, keyPrefix.size(), keyPrefix) != 0)
        return false;
    try {
        auto row = json::parse(value);
        entries_[key.substr(keyPrefix.size())] = { row.at(0).get<uint64_t>(), row.at(1).get<std::string>(),
            row.at(2).get<std::string>(), row.at(3).get<std::string>(), row.at(4).get<bool>(),
            row.at(5).get<uint64_t>(), row.at(6).get<std::string>() };
    } catch (const json::exception&) {
        return false;
    }
    return true;
}

} // namespace shallotdrift::internal
