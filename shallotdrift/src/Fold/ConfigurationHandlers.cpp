#include "Names.h"
#include "RecordHandlers.h"

#include <fmt/format.h>

namespace shallotdrift::internal {

static Verdict checkAuthors(const FoldData& data, const proto::ConfigurationProposed& proposed)
{
    if (proposed.author().empty() || !isShortText(proposed.author()) || !isShortText(proposed.reviewer()))
        return refused(ResultCode::InvalidRecord, "author and reviewer have 1 to 128 bytes");
    // The first configuration is written before there can be a second operator to review it.
    if (data.state.configurationVersion == 0)
        return accepted();
    if (proposed.reviewer().empty())
        return refused(ResultCode::NotReviewed, "no reviewer");
    if (proposed.reviewer() == proposed.author())
        return refused(ResultCode::SameAuthorAndReviewer, "author and reviewer " + proposed.author());
    return accepted();
}

static Verdict checkProposal(const FoldData& data, const proto::ConfigurationProposed& proposed)
{
    if (proposed.expected_version() != data.state.configurationVersion)
        return refused(ResultCode::StaleEpoch,
            fmt::format("version {}, expected {}", data.state.configurationVersion, proposed.expected_version()));
    if (proposed.ini().size() > maximumConfigurationBytes)
        return refused(ResultCode::TooLarge, fmt::format("{} bytes", proposed.ini().size()));
    return checkAuthors(data, proposed);
}

// A lost instance that has no work under way does not keep its pool.
static bool isHeld(const Instance& instance) { return !instance.lost || !instance.operationId.empty(); }

static Verdict checkPools(const FleetState& state, const FleetConfiguration& next)
{
    for (const auto& [id, instance] : state.instances) {
        if (!isHeld(instance))
            continue;
        for (const auto* pool : { &instance.pool, &instance.homePool }) {
            if (!next.pools.count(*pool))
                return refused(ResultCode::Conflict, fmt::format("removed pool {} has instance {}", *pool, id));
        }
    }
    for (const auto& [id, move] : state.moves) {
        if (!hasEnded(move) && !next.pools.count(move.toPool))
            return refused(ResultCode::Conflict, fmt::format("removed pool {} is the target of {}", move.toPool, id));
    }
    return accepted();
}

static void forgetInstancesWithoutPool(FoldData& data)
{
    std::vector<std::string> ids;
    const auto& pools = data.state.configuration.pools;
    for (const auto& [id, instance] : data.state.instances) {
        if (!pools.count(instance.pool) || !pools.count(instance.homePool))
            ids.push_back(id);
    }
    for (const auto& id : ids)
        forgetInstance(data, id);
}

static Verdict install(FoldData& data, const proto::ConfigurationProposed& proposed, FleetConfiguration&& next)
{
    if (auto verdict = checkPools(data.state, next); verdict.code != ResultCode::Ok)
        return verdict;
    auto& state = data.state;
    state.configuration = std::move(next);
    state.configurationIni = proposed.ini();
    state.configurationAuthor = proposed.author();
    state.configurationReviewer = proposed.reviewer();
    ++state.configurationVersion;
    forgetInstancesWithoutPool(data);
    expireKeys(data);
    return accepted(fmt::format("version {}, {} pools, {} kinds", state.configurationVersion,
        state.configuration.pools.size(), state.configuration.kinds.size()));
}

Verdict foldConfigurationProposed(FoldData& data, const RecordContext& context)
{
    const auto& proposed = context.record.configuration_proposed();
    if (auto verdict = checkProposal(data, proposed); verdict.code != ResultCode::Ok)
        return verdict;
    return handleError(
        [&]() -> Result<Verdict> {
            BOOST_LEAF_AUTO(next, parseFleetConfiguration(proposed.ini(), "configuration"));
            return install(data, proposed, std::move(next));
        },
        [](const Error& error) { return refused(error.code, error.message); });
}

} // namespace shallotdrift::internal
