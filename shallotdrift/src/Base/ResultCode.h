#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace shallotdrift {

// Outcome of an operator's change, of a command, or of parsing a text. Operators and their scripts see the numbers.
// docs/result-codes.md holds the same table.
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

// All codes in ascending order of their numbers.
const std::vector<ResultCodeInfo>& resultCodeTable();

// Returns the table's entry for the code. For a code outside the table, returns the entry of Internal.
const ResultCodeInfo& resultCodeInfo(ResultCode);

// Converts a number received from another process. Returns nullopt for a number that is not in the table.
std::optional<ResultCode> resultCodeFromNumber(unsigned);

} // namespace shallotdrift
