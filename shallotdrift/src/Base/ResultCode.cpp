#include "ResultCode.h"

#include <algorithm>

namespace shallotdrift {

const std::vector<ResultCodeInfo>& resultCodeTable()
{
    using C = ResultCode;
    static const std::vector<ResultCodeInfo> table {
        { C::Ok, "ok", "done" },
        { C::NotReady, "not-ready", "the manager of the fleet does not answer yet" },
        { C::BadRequest, "bad-request", "the request is malformed" },
        { C::TooLarge, "too-large", "the request exceeds a size limit" },
        { C::StaleEpoch, "stale-epoch", "the subject has changed since it was read" },
        { C::Conflict, "conflict", "another change holds the subject" },
        { C::BudgetExceeded, "budget-exceeded", "too few instances would be left, or are there to lend" },
        { C::NotFound, "not-found", "no such subject" },
        { C::NotReviewed, "not-reviewed", "the handbook entry has no approved review" },
        { C::SameAuthorAndReviewer, "same-reviewer", "author and reviewer must differ" },
        { C::WrongState, "wrong-state", "the subject's state does not allow it" },
        { C::NothingToDo, "nothing-to-do", "the change selects nothing" },
        { C::InvalidSettings, "invalid-settings", "the settings have mistakes" },
        { C::InvalidHandbook, "invalid-handbook", "the handbook entry has mistakes" },
        { C::InvalidCommand, "invalid-command", "the command line has mistakes" },
        { C::NotAuthorized, "not-authorized", "the caller may not make this call" },
        { C::PlatformUnavailable, "platform-unavailable", "the platform does not answer" },
        { C::EntryUnreachable, "entry-unreachable", "the entry instance does not answer the command" },
        { C::Internal, "internal", "internal error" },
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

const ResultCodeInfo& resultCodeInfo(ResultCode code)
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

} // namespace shallotdrift
