#include "../Settings/HandbookPlan.h"
#include "Names.h"
#include "RecordHandlers.h"

#include <fmt/format.h>

namespace shallotdrift::internal {

static Verdict checkText(const std::string& ini)
{
    if (ini.size() > maximumHandbookBytes)
        return refused(ResultCode::TooLarge, fmt::format("{} bytes", ini.size()));
    return handleError(
        [&]() -> Result<Verdict> {
            BOOST_LEAF_AUTO(plan, parseHandbook(ini, "handbook"));
            return accepted(fmt::format("{} steps", plan.steps.size()));
        },
        [](const Error& error) { return refused(error.code, error.message); });
}

static Verdict checkProposal(const FleetState& state, const proto::HandbookProposed& proposed)
{
    if (!isValidName(proposed.name()) || proposed.author().empty() || !isShortText(proposed.author()))
        return refused(ResultCode::InvalidRecord, "name and author have 1 to 128 bytes");
    auto known = state.handbooks.find(proposed.name());
    uint64_t version = known == state.handbooks.end() ? 0 : known->second.version;
    if (proposed.expected_version() != version)
        return refused(
            ResultCode::StaleEpoch, fmt::format("version {}, expected {}", version, proposed.expected_version()));
    if (known == state.handbooks.end() && state.handbooks.size() >= maximumHandbooks)
        return refused(ResultCode::TooLarge, fmt::format("{} handbook entries", maximumHandbooks));
    return checkText(proposed.ini());
}

// The approved version stays in force until the new one is approved.
Verdict foldHandbookProposed(FoldData& data, const RecordContext& context)
{
    const auto& proposed = context.record.handbook_proposed();
    auto verdict = checkProposal(data.state, proposed);
    if (verdict.code != ResultCode::Ok)
        return verdict;
    auto& entry = data.state.handbooks[proposed.name()];
    entry.name = proposed.name();
    ++entry.version;
    entry.ini = proposed.ini();
    entry.author = proposed.author();
    entry.reviewer.clear();
    entry.approved = false;
    verdict.figures = fmt::format("version {}, {}", entry.version, verdict.figures);
    return verdict;
}

static Verdict checkReview(const HandbookEntry& entry, const proto::HandbookReviewed& review)
{
    if (review.version() != entry.version)
        return refused(ResultCode::StaleEpoch, fmt::format("version {}, reviewed {}", entry.version, review.version()));
    if (review.reviewer().empty() || !isShortText(review.reviewer()))
        return refused(ResultCode::InvalidRecord, "a reviewer has 1 to 128 bytes");
    if (review.reviewer() == entry.author)
        return refused(ResultCode::SameAuthorAndReviewer, "author and reviewer " + entry.author);
    if (!entry.reviewer.empty())
        return refused(ResultCode::WrongState, "reviewed by " + entry.reviewer);
    return accepted(fmt::format("version {} {}", entry.version, review.approved() ? "approved" : "rejected"));
}

Verdict foldHandbookReviewed(FoldData& data, const RecordContext& context)
{
    const auto& review = context.record.handbook_reviewed();
    auto known = data.state.handbooks.find(review.name());
    if (known == data.state.handbooks.end())
        return refused(ResultCode::NotFound);
    auto& entry = known->second;
    auto verdict = checkReview(entry, review);
    if (verdict.code != ResultCode::Ok)
        return verdict;
    entry.reviewer = review.reviewer();
    entry.approved = review.approved();
    if (entry.approved) {
        entry.approvedVersion = entry.version;
        entry.approvedIni = entry.ini;
    }
    return verdict;
}

static Verdict checkInvocation(const FleetState& state, const proto::HandbookInvoked& invoked)
{
    if (!isValidName(invoked.invocation_id()) || !isShortText(invoked.operator_name()))
        return refused(ResultCode::InvalidRecord, "an invocation has an id of 1 to 128 bytes");
    if (auto known = state.invocations.find(invoked.invocation_id()); known != state.invocations.end())
        return refused(ResultCode::DuplicateRecord, fmt::format("first invoked at offset {}", known->second.offset));
    auto entry = state.handbooks.find(invoked.name());
    if (entry == state.handbooks.end())
        return refused(ResultCode::NotFound);
    uint64_t approved = entry->second.approvedVersion;
    if (approved == 0 || invoked.version() != approved)
        return refused(
            ResultCode::NotReviewed, fmt::format("version {}, approved version {}", invoked.version(), approved));
    return accepted(fmt::format("invocation {}, version {}", invoked.invocation_id(), approved));
}

Verdict foldHandbookInvoked(FoldData& data, const RecordContext& context)
{
    const auto& invoked = context.record.handbook_invoked();
    auto verdict = checkInvocation(data.state, invoked);
    if (verdict.code != ResultCode::Ok)
        return verdict;
    const auto& id = invoked.invocation_id();
    data.state.invocations[id]
        = Invocation { id, invoked.name(), invoked.version(), invoked.operator_name(), context.offset };
    data.invocationOrder.add(context.offset, id, data.state.invocations);
    return verdict;
}

} // namespace shallotdrift::internal
