#include "ChangeOutcome.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallotdrift::internal {

static constexpr auto okNumber = static_cast<uint32_t>(ResultCode::Ok);

std::string textOf(const Verdict& verdict)
{
    std::string text(verdict.code == ResultCode::Ok ? "accepted" : infoOf(verdict.code).text);
    return verdict.figures.empty() ? text : text + ": " + verdict.figures;
}

static bool isWaveChangeInForce(const proto::WaveChanged& body, const FleetState& state)
{
    auto wave = state.waves.find(body.wave_id());
    if (wave == state.waves.end())
        return false;
    switch (body.change()) {
    case proto::WaveChanged::PAUSE:
        return wave->second.status == WaveStatus::Paused;
    case proto::WaveChanged::RESUME:
        return wave->second.status == WaveStatus::Running;
    case proto::WaveChanged::ABORT:
        return wave->second.status == WaveStatus::Aborted;
    default:
        return false;
    }
}

static bool isReviewInForce(const proto::HandbookReviewed& body, const FleetState& state)
{
    auto entry = state.handbooks.find(body.name());
    return entry != state.handbooks.end() && entry->second.version == body.version()
        && entry->second.approved == body.approved() && entry->second.reviewer == body.reviewer();
}

bool isInForce(const proto::Record& record, const FleetState& state)
{
    switch (record.body_case()) {
    case proto::Record::kMoveProposed:
        return state.moves.count(record.move_proposed().move_id()) > 0;
    case proto::Record::kMoveAborted: {
        auto move = state.moves.find(record.move_aborted().move_id());
        return move != state.moves.end() && move->second.status == MoveStatus::Aborted;
    }
    case proto::Record::kWaveStarted:
        return state.waves.count(record.wave_started().wave_id()) > 0;
    case proto::Record::kWaveChanged:
        return isWaveChangeInForce(record.wave_changed(), state);
    case proto::Record::kEntryRemoved: {
        auto entry = state.entries.find(record.entry_removed().entry());
        return entry == state.entries.end() || entry->second.boot != record.entry_removed().boot();
    }
    case proto::Record::kConfigurationProposed: {
        const auto& body = record.configuration_proposed();
        return state.configurationVersion == body.expected_version() + 1 && state.configurationIni == body.ini()
            && state.configurationAuthor == body.author();
    }
    case proto::Record::kHandbookProposed: {
        const auto& body = record.handbook_proposed();
        auto entry = state.handbooks.find(body.name());
        return entry != state.handbooks.end() && entry->second.version == body.expected_version() + 1
            && entry->second.ini == body.ini() && entry->second.author == body.author();
    }
    case proto::Record::kHandbookReviewed:
        return isReviewInForce(record.handbook_reviewed(), state);
    case proto::Record::kHandbookInvoked:
        return state.invocations.count(record.handbook_invoked().invocation_id()) > 0;
    default:
        return false;
    }
}

void summarize(proto::ChangeReply& reply)
{
    int accepted = 0;
    const proto::Step* refused = nullptr;
    for (const auto& step : reply.steps()) {
        if (step.result_code() == okNumber)
            ++accepted;
        else if (!refused)
            refused = &step;
    }
    reply.set_result_code(accepted || !refused ? okNumber : refused->result_code());
    if (!refused)
        reply.set_message(reply.steps_size() > 1 ? fmt::format("accepted, {} steps", accepted) : "accepted");
    else if (accepted)
        reply.set_message(
            fmt::format("{} of {} steps are accepted; the others are refused", accepted, reply.steps_size()));
    else
        reply.set_message(refused->message());
}

proto::ChangeReply refusal(const std::string& changeId, ResultCode code, const std::string& message)
{
    proto::ChangeReply reply;
    reply.set_change_id(changeId);
    reply.set_result_code(static_cast<uint32_t>(code));
    reply.set_message(message);
    return reply;
}

proto::ChangeReply outcomeOf(const std::string& changeId, const std::vector<PlannedStep>& steps,
    const std::vector<FoldedRecord>& verdicts, const FleetState& state)
{
    proto::ChangeReply reply;
    reply.set_change_id(changeId);
    size_t nextVerdict = 0;
    bool unanswered = false;
    for (const auto& planned : steps) {
        auto& step = *reply.add_steps();
        step.set_action(planned.action);
        step.set_id(planned.id);
        if (!planned.record) {
            step.set_result_code(static_cast<uint32_t>(planned.expected.code));
            step.set_message(planned.expected.figures);
            continue;
        }
        Verdict verdict { ResultCode::LogUnavailable, "the log did not take the record in time" };
        if (nextVerdict < verdicts.size()) {
            const auto& folded = verdicts[nextVerdict++];
            verdict = folded.verdict;
            reply.set_offset(std::max<uint64_t>(reply.offset(), folded.offset));
            if (verdict.code != ResultCode::Ok && isInForce(*planned.record, state))
                verdict = { ResultCode::Ok, "already in force" };
        } else {
            unanswered = true;
        }
        step.set_result_code(static_cast<uint32_t>(verdict.code));
        step.set_message(textOf(verdict));
    }
    summarize(reply);
    if (unanswered) {
        reply.set_result_code(static_cast<uint32_t>(ResultCode::LogUnavailable));
        reply.set_message(fmt::format("the log did not take the change in time; it may still take effect. "
                                      "Repeat it with change id {} to learn its outcome",
            changeId));
    }
    return reply;
}

} // namespace shallotdrift::internal
