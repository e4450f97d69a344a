#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace shallotdrift {

// Numbered outcome of a change, a command or the reading of a text. docs/result-codes.md holds the same table.
enum class ResultCode : uint16_t {
    Ok = 0,

    NotReady = 111,
    BadRequest = 112,
    TooLarge = 118,

    StaleEpoch = 401,
    Conflict = 402,
    BudgetExceeded = 403,
    NotFound = 404,
    NotReviewed = 405,
    SameAuthorAndReviewer = 406,
    WrongState = 408,
    NothingToDo = 411,

    InvalidSettings = 501,
    InvalidHandbook = 502,
    InvalidCommand = 503,
    NotAuthorized = 504,

    PlatformUnavailable = 601,
    EntryUnreachable = 607,
    Internal = 699,
};

struct ResultCodeInfo {
    ResultCode code;
    std::string_view name;
    std::string_view description;
};

// All codes in ascending order.
const std::vector<ResultCodeInfo>& resultCodeTable();

// Entry of the table for a code; codes outside the table map to Internal.
const ResultCodeInfo& resultCodeInfo(ResultCode);

// Parses a number received from a peer.
std::optional<ResultCode> resultCodeFromNumber(unsigned);

} // namespace shallotdrift
