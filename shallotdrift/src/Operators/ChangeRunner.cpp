#include "ChangeRunner.h"

namespace shallotdrift::internal {

ChangeRunner::ChangeRunner(EntryAccess& entry, Milliseconds timeout)
    : entry_(entry)
    , timeout_(timeout)
{
}

bool ChangeRunner::isReady()
{
    proto::StatusReply status;
    entry_.fillStatus(status);
    // Before the first configuration no entry is ready for callers, but the configuration has to be proposed.
    return status.ready() || status.state_complete();
}

proto::ChangeReply ChangeRunner::run(
    const proto::Change& change, const Look& look, const Plan& plan, const KnownOutcome& knownOutcome)
{
    const auto& changeId = change.change_id();
    return handleError(
        [&]() -> Result<proto::ChangeReply> {
            BOOST_LEAF_AUTO(checked, checkChange(change));
            if (!isReady())
                return fail(ResultCode::NotReady, "this entry instance has no complete state; ask another one");
            std::optional<proto::ChangeReply> known;
            bool looked = false;
            entry_.readState([&](const FleetState& state, Offset) {
                looked = true;
                known = knownOutcome(changeId, state);
                if (!known)
                    look(state);
            });
            if (!looked)
                return fail(ResultCode::Stopping, "this entry instance is stopping; ask another one");
            if (known) {
                known->set_message(known->message() + "; this change id was used before, nothing was done again");
                return *known;
            }
            return submit(changeId, plan(checked));
        },
        [&](const Error& error) { return refusal(changeId, error.code, error.message); });
}

proto::ChangeReply ChangeRunner::submit(const std::string& changeId, const std::vector<PlannedStep>& steps)
{
    std::vector<proto::Record> records;
    for (const auto& step : steps) {
        if (step.record)
            records.push_back(*step.record);
    }
    std::vector<FoldedRecord> verdicts;
    if (!records.empty())
        verdicts = entry_.submit(std::move(records), timeout_);
    proto::ChangeReply reply;
    entry_.readState([&](const FleetState& state, Offset) { reply = outcomeOf(changeId, steps, verdicts, state); });
    return reply;
}

} // namespace shallotdrift::internal
