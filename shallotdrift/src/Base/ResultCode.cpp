#include "ResultCode.h"

#include <algorithm>
#include <array>

namespace shallotdrift {

const std::vector<ResultCodeInfo>& resultCodeTable()
{
    using C = ResultCode;
    using E = Execution;
    static const std::vector<ResultCodeInfo> table {
        { C::Ok, E::Ran, "ok", "done" },
        { C::Overloaded, E::NotRun, "overloaded", "the entry instance is overloaded" },
        { C::WouldBeLate, E::NotRun, "would-be-late", "the work would end after its deadline" },
        { C::QueueFull, E::NotRun, "queue-full", "the queue of this kind of work is full" },
        { C::NoInstance, E::NotRun, "no-instance", "no instance of the pool can take the work" },
        { C::QuotaExceeded, E::NotRun, "quota-exceeded", "the team's quota is used up" },
        { C::RetryBudgetEmpty, E::NotRun, "retry-budget-empty", "the retry budget is used up" },
        { C::Cancelled, E::NotRun, "cancelled", "the caller cancelled before the work started" },
        { C::DeadlinePassed, E::NotRun, "deadline-passed", "the deadline passed before the work started" },
        { C::Stopping, E::NotRun, "stopping", "the entry instance is stopping" },
        { C::LogUnavailable, E::NotRun, "log-unavailable", "the platform's log cannot be written" },
        { C::NotReady, E::NotRun, "not-ready", "the entry instance has no complete state yet" },
        { C::BadRequest, E::NotRun, "bad-request", "the request is malformed" },
        { C::UnknownKind, E::NotRun, "unknown-kind", "no such kind of work" },
        { C::KeyRequired, E::NotRun, "key-required", "this kind of work needs an idempotency key" },
        { C::TargetBusy, E::NotRun, "target-busy", "the target has no free slot" },
        { C::TargetUnreachable, E::NotRun, "target-unreachable", "the target cannot be connected to" },
        { C::KeyMismatch, E::NotRun, "key-mismatch", "the idempotency key was used for other work" },
        { C::TooLarge, E::NotRun, "too-large", "the request exceeds a size limit" },
        { C::JobFailed, E::Ran, "job-failed", "the work ran and failed" },
        { C::RanResultNotKept, E::Ran, "result-not-kept", "the work ran; only its receipt is kept" },
        { C::CannotRun, E::Ran, "cannot-run", "the work failed on three different instances" },
        { C::StillRunning, E::MayHaveRun, "still-running", "the work is running" },
        { C::OutcomeUnknown, E::MayHaveRun, "outcome-unknown", "it cannot be known whether the work ran" },
        { C::KeyTooOld, E::MayHaveRun, "key-too-old", "the idempotency key is older than the kept window" },
        { C::AnswerTimeout, E::MayHaveRun, "answer-timeout", "the target did not answer in time" },
        { C::ConnectionLost, E::MayHaveRun, "connection-lost", "the connection to the target was lost" },
        { C::AnswerInvalid, E::MayHaveRun, "answer-invalid", "the target's answer is malformed or belongs elsewhere" },
        { C::StaleEpoch, E::NotApplicable, "stale-epoch", "the subject changed since the record was written" },
        { C::Conflict, E::NotApplicable, "conflict", "another change holds the subject" },
        { C::BudgetExceeded, E::NotApplicable, "budget-exceeded", "the pool's availability budget forbids it" },
        { C::NotFound, E::NotApplicable, "not-found", "no such subject" },
        { C::NotReviewed, E::NotApplicable, "not-reviewed", "the handbook entry has no approved review" },
        { C::SameAuthorAndReviewer, E::NotApplicable, "same-reviewer", "author and reviewer must differ" },
        { C::DuplicateRecord, E::NotApplicable, "duplicate", "the record was folded before" },
        { C::WrongState, E::NotApplicable, "wrong-state", "the subject's state does not allow it" },
        { C::FailureDomainBusy, E::NotApplicable, "rack-busy", "another rack of the pool is under planned work" },
        { C::InvalidRecord, E::NotApplicable, "invalid-record", "the record is malformed" },
        { C::NothingToDo, E::NotApplicable, "nothing-to-do", "the change selects nothing" },
        { C::InvalidSettings, E::NotApplicable, "invalid-settings", "the settings have mistakes" },
        { C::InvalidHandbook, E::NotApplicable, "invalid-handbook", "the handbook entry has mistakes" },
        { C::InvalidCommand, E::NotApplicable, "invalid-command", "the command line has mistakes" },
        { C::NotAuthorized, E::NotApplicable, "not-authorized", "the caller may not make this call" },
        { C::InvalidTrace, E::NotApplicable, "invalid-trace", "the trace file has mistakes" },
        { C::StatedOutcomeMissed, E::NotApplicable, "outcome-missed", "a stated outcome of the trace was missed" },
        { C::PlatformUnavailable, E::NotApplicable, "platform-unavailable", "the platform does not answer" },
        { C::PlatformRefused, E::NotApplicable, "platform-refused", "the platform refused the call" },
        { C::AnswerLost, E::NotApplicable, "answer-lost",
            "the platform's answer was lost; the call may have had effect" },
        { C::LogGap, E::NotApplicable, "log-gap", "the log no longer keeps the next record" },
        { C::SnapshotInvalid, E::NotApplicable, "snapshot-invalid", "the snapshot is incomplete or corrupt" },
        { C::PeerUnreachable, E::NotApplicable, "peer-unreachable", "the other entry instance does not answer" },
        { C::EntryUnreachable, E::NotApplicable, "entry-unreachable",
            "the entry instance does not answer the command" },
        { C::Internal, E::NotApplicable, "internal", "internal error" },
    };
    return table;
}

static const ResultCodeInfo* find(ResultCode code)
{
    const auto& table = resultCodeTable();
    auto position = std::lower_bound(table.begin(), table.end(), code,
        [](const ResultCodeInfo& info, ResultCode value) { return info.code < value; });
    return position != table.end() && position->code == code ? &*position : nullptr;
}

const ResultCodeInfo& infoOf(ResultCode code)
{
    const auto* info = find(code);
    return info ? *info : resultCodeTable().back();
}

std::optional<ResultCode> resultCodeFromNumber(unsigned number)
{
    auto code = static_cast<ResultCode>(number);
    if (number > UINT16_MAX || !find(code))
        return std::nullopt;
    return code;
}

Execution executionOf(ResultCode code) { return infoOf(code).execution; }

static constexpr std::array<std::string_view, 4> executionNames { "not-run", "ran", "may-have-run", "not-applicable" };

std::string_view nameOf(Execution execution) { return executionNames[static_cast<size_t>(execution)]; }

std::optional<Execution> executionFromName(std::string_view name)
{
    for (size_t i = 0; i < executionNames.size(); ++i) {
        if (executionNames[i] == name)
            return static_cast<Execution>(i);
    }
    return std::nullopt;
}

} // namespace shallotdrift
