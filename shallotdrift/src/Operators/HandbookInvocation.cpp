#include "HandbookInvocation.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace shallotdrift::internal {

HandbookInvocation::HandbookInvocation(EntryAccess& entry, Milliseconds timeout)
    : entry_(entry)
    , runner_(entry, timeout)
{
}

bool HandbookInvocation::wasInterrupted(const std::string& changeId, const FleetState& state)
{
    auto invocation = state.invocations.find(changeId);
    if (invocation == state.invocations.end())
        return false;
    // Once the trail has lost events of that time, nothing shows that no step was taken.
    if (state.audit.empty() || state.audit.front().offset > invocation->second.offset)
        return false;
    const auto prefix = reasonPrefix(changeId);
    auto steps = std::count_if(state.audit.begin(), state.audit.end(), [&](const AuditEvent& event) {
        return event.reason.compare(0, prefix.size(), prefix) == 0 && event.offset > invocation->second.offset;
    });
    return steps == 0;
}

std::optional<proto::ChangeReply> HandbookInvocation::outcomeOfInvocation(
    const std::string& changeId, const FleetState& state)
{
    auto outcome = earlierOutcome(changeId, state);
    auto invocation = state.invocations.find(changeId);
    if (!outcome || invocation == state.invocations.end())
        return outcome;
    auto entry = state.handbooks.find(invocation->second.name);
    if (entry == state.handbooks.end() || entry->second.approvedVersion != invocation->second.version)
        return outcome;
    if (auto plan = parseHandbook(entry->second.approvedIni, "handbook")) {
        for (size_t i = 0; i < plan->steps.size(); ++i)
            addRemainder(plan->steps[i], fmt::format("{}.s{}", changeId, i + 1), *outcome);
    }
    return outcome;
}

void HandbookInvocation::look(const FleetState& state, const proto::InvokeRequest& request)
{
    auto entry = state.handbooks.find(request.name());
    if (entry == state.handbooks.end()) {
        refusal_ = ResultCode::NotFound;
        refusalMessage_ = fmt::format("there is no handbook entry {}", request.name());
        return;
    }
    version_ = entry->second.approvedVersion;
    ini_ = entry->second.approvedIni;
    if (!version_) {
        refusal_ = ResultCode::NotReviewed;
        refusalMessage_ = fmt::format("no version of handbook entry {} is approved", request.name());
    } else if (request.version() && request.version() != version_) {
        refusal_ = ResultCode::StaleEpoch;
        refusalMessage_ = fmt::format("version {} is not the approved version {}", request.version(), version_);
    }
}

proto::ChangeReply HandbookInvocation::run(const proto::InvokeRequest& request)
{
    auto known = [](const std::string& changeId, const FleetState& state) {
        return wasInterrupted(changeId, state) ? std::nullopt : outcomeOfInvocation(changeId, state);
    };
    std::optional<OperatorChange> change;
    auto planInvocation = [&](const OperatorChange& checked) -> std::vector<PlannedStep> {
        change = checked;
        auto action = fmt::format("invoke handbook entry {} version {}", request.name(), version_);
        if (refusal_ != ResultCode::Ok)
            return { PlannedStep::refused(action, refusal_, refusalMessage_) };
        PlannedStep step { {}, action, checked.record(), {} };
        auto& body = *step.record->mutable_handbook_invoked();
        body.set_name(request.name());
        body.set_version(version_);
        body.set_invocation_id(checked.id);
        body.set_operator_name(checked.operatorName);
        return { step };
    };
    auto reply = runner_.run(
        request.change(), [&](const FleetState& state) { look(state, request); }, planInvocation, known);
    if (!change || reply.result_code() != static_cast<uint32_t>(ResultCode::Ok))
        return reply;
    auto steps = submitSteps(*change);
    steps.set_offset(std::max(steps.offset(), reply.offset()));
    return steps;
}

proto::ChangeReply HandbookInvocation::submitSteps(const OperatorChange& change)
{
    return handleError(
        [&]() -> Result<proto::ChangeReply> {
            BOOST_LEAF_AUTO(plan, parseHandbook(ini_, "handbook"));
            std::optional<FoldTrial> trial;
            entry_.readState([&](const FleetState& state, Offset) { trial.emplace(state); });
            if (!trial)
                return fail(ResultCode::Stopping, "this entry instance is stopping; repeat the change on another one");
            return runner_.submit(change.id, StepPlanner(*trial, change, change.id).plan(plan));
        },
        [&](const Error& error) { return refusal(change.id, error.code, error.message); });
}

} // namespace shallotdrift::internal
