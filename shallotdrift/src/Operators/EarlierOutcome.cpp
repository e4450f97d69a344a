#include "EarlierOutcome.h"

#include "ChangeOutcome.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <tuple>
#include <vector>

namespace shallotdrift::internal {

static bool startsWith(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

static bool isAccepted(const AuditEvent& event) { return event.code == ResultCode::Ok; }

// Collects the steps of an earlier call.
class EarlierCall {
public:
    EarlierCall(const std::string& changeId, const FleetState& state)
        : changeId_(changeId)
        , state_(state)
    {
        const auto prefix = reasonPrefix(changeId);
        for (const auto& event : state.audit) {
            if (startsWith(event.reason, prefix))
                events_.push_back(&event);
        }
    }

    std::optional<proto::ChangeReply> outcome()
    {
        addMoves();
        addWaves();
        for (const auto* event : events_) {
            reply_.set_offset(std::max<uint64_t>(reply_.offset(), event->offset));
            if (!isToldElsewhere(*event))
                addStep(event->subject + ": " + event->action, {}, { event->code, event->figures });
        }
        if (!reply_.steps_size())
            return std::nullopt;
        reply_.set_change_id(changeId_);
        summarize(reply_);
        return reply_;
    }

private:
    void addStep(const std::string& action, const std::string& id, const Verdict& verdict)
    {
        auto& step = *reply_.add_steps();
        step.set_action(action);
        step.set_id(id);
        step.set_result_code(static_cast<uint32_t>(verdict.code));
        step.set_message(textOf(verdict));
    }

    void addMoves()
    {
        std::vector<const Move*> moves;
        for (const auto& [id, move] : state_.moves) {
            if (startsWith(id, changeId_ + "."))
                moves.push_back(&move);
        }
        // "c.10" comes after "c.2".
        auto order = [](const Move* move) { return std::tuple(move->id.size(), move->id); };
        std::sort(moves.begin(), moves.end(), [&](auto* a, auto* b) { return order(a) < order(b); });
        for (const auto* move : moves) {
            addStep(fmt::format("move {} from {} to {}", move->instance, move->fromPool, move->toPool), move->id, {});
            told_.insert("instance " + move->instance);
        }
    }

    void addWaves()
    {
        for (const auto& [id, wave] : state_.waves) {
            if (id != changeId_ && !startsWith(id, changeId_ + "."))
                continue;
            addStep(fmt::format("{} {} of {}", wave.keepDrained ? "drain" : "maintain",
                        wave.pool.empty() ? "all pools" : "pool " + wave.pool,
                        wave.zone.empty() ? "all zones" : "zone " + wave.zone),
                id, {});
            told_.insert("wave " + id);
        }
    }

    bool isToldElsewhere(const AuditEvent& event) const
    {
        if (isAccepted(event))
            return told_.count(event.subject) || (state_.invocations.count(changeId_) && !told_.empty());
        // Copies of an accepted record that came through another entry instance are refused and say nothing new.
        return std::any_of(events_.begin(), events_.end(), [&](const AuditEvent* other) {
            return isAccepted(*other) && other->action == event.action
                && (other->subject == event.subject || event.code == ResultCode::DuplicateRecord);
        });
    }

    const std::string& changeId_;
    const FleetState& state_;
    std::vector<const AuditEvent*> events_;
    std::set<std::string> told_; // subjects of the moves and waves that are reported
    proto::ChangeReply reply_;
};

std::optional<proto::ChangeReply> earlierOutcome(const std::string& changeId, const FleetState& state)
{
    return EarlierCall(changeId, state).outcome();
}

void addRemainder(const HandbookStep& step, const std::string& idPrefix, proto::ChangeReply& reply)
{
    if (step.action != HandbookStep::Action::Lend)
        return;
    auto moved = std::count_if(reply.steps().begin(), reply.steps().end(),
        [&](const proto::Step& done) { return startsWith(done.id(), idPrefix + "."); });
    if (moved >= step.count)
        return;
    auto& rest = *reply.add_steps();
    rest.set_action(fmt::format("lend {} more from {} to {}", step.count - moved,
        step.fromPool.empty() ? "any pool" : step.fromPool, step.toPool));
    rest.set_result_code(static_cast<uint32_t>(ResultCode::BudgetExceeded));
    rest.set_message("not possible at the first call; ask for the rest with a new change id");
    summarize(reply);
}

} // namespace shallotdrift::internal
