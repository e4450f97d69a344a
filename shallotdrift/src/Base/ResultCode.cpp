#include "ResultCode.h"

#include <algorithm>

namespace shallotdrift {

const std::vector<ResultCodeInfo>& resultCodeTable()
{
    using C = ResultCode;
    static const std::vector<ResultCodeInfo> table {
        { C::Ok, "ok", "done" },
        { C::NotReady, "not-ready", "the fleet manager has not responded in time" },
        { C::BadRequest, "bad-request", "the request is malformed" },
        { C::TooLarge, "too-large", "the request exceeds a size limit" },
        { C::StaleEpoch, "stale-epoch", "the object has changed since it was read" },
        { C::Conflict, "conflict", "the object is in use by another change" },
        { C::BudgetExceeded, "budget-exceeded", "too few instances would remain, or too few are available to lend" },
        { C::NotFound, "not-found", "no such object" },
        { C::NotReviewed, "not-reviewed", "no reviewer has approved the handbook entry" },
        { C::SameAuthorAndReviewer, "same-reviewer", "author and reviewer must be different operators" },
        { C::WrongState, "wrong-state", "the object's state does not allow the change" },
        { C::NothingToDo, "nothing-to-do", "nothing is selected for the change" },
        { C::InvalidSettings, "invalid-settings", "the settings are invalid" },
        { C::InvalidHandbook, "invalid-handbook", "the handbook entry is invalid" },
        { C::InvalidCommand, "invalid-command", "the command line is invalid" },
        { C::NotAuthorized, "not-authorized", "the caller is not authorized for this request" },
        { C::PlatformUnavailable, "platform-unavailable", "the platform does not respond" },
        { C::EntryUnreachable, "entry-unreachable", "the entry instance does not respond" },
        { C::Internal, "internal", "internal error" },
    };
    return table;
}

static const ResultCodeInfo* findInfo(ResultCode code)
{
    const auto& table = resultCodeTable();
    auto position = std::lower_bound(table.begin(), table.end(), code,
        [](const ResultCodeInfo& info, ResultCode value) { return info.code < value; });
    return position != table.end() && position->code == code ? &*position : nullptr;
}

const ResultCodeInfo& resultCodeInfo(ResultCode code)
{
    const auto* info = findInfo(code);
    return info ? *info : resultCodeTable().back();
}

std::optional<ResultCode> resultCodeFromNumber(unsigned number)
{
    auto code = static_cast<ResultCode>(number);
    if (number > UINT16_MAX || !findInfo(code))
        return std::nullopt;
    return code;
}

} // namespace shallotdrift
