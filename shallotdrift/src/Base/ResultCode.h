#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace shallotdrift {

// Numbered outcome of a request, a change or a command. docs/result-codes.md holds the same table.
enum class ResultCode : uint16_t {
    Ok = 0,

    Overloaded = 101,
    WouldBeLate = 102,
    QueueFull = 103,
    NoInstance = 104,
    QuotaExceeded = 105,
    RetryBudgetEmpty = 106,
    Cancelled = 107,
    DeadlinePassed = 108,
    Stopping = 109,
    LogUnavailable = 110,
    NotReady = 111,
    BadRequest = 112,
    UnknownKind = 113,
    KeyRequired = 114,
    TargetBusy = 115,
    TargetUnreachable = 116,
    KeyMismatch = 117,
    TooLarge = 118,

    JobFailed = 201,
    RanResultNotKept = 202,
    CannotRun = 205,

    StillRunning = 301,
    OutcomeUnknown = 302,
    KeyTooOld = 303,
    AnswerTimeout = 304,
    ConnectionLost = 305,
    AnswerInvalid = 306,

    StaleEpoch = 401,
    Conflict = 402,
    BudgetExceeded = 403,
    NotFound = 404,
    NotReviewed = 405,
    SameAuthorAndReviewer = 406,
    DuplicateRecord = 407,
    WrongState = 408,
    FailureDomainBusy = 409,
    InvalidRecord = 410,
    NothingToDo = 411,

    InvalidSettings = 501,
    InvalidHandbook = 502,
    InvalidCommand = 503,
    NotAuthorized = 504,
    InvalidTrace = 505,
    StatedOutcomeMissed = 506,

    PlatformUnavailable = 601,
    PlatformRefused = 602,
    AnswerLost = 603,
    LogGap = 604,
    SnapshotInvalid = 605,
    PeerUnreachable = 606,
    EntryUnreachable = 607,
    Internal = 699,
};

// What is known about the work behind an answer.
enum class Execution : uint8_t {
    NotRun,
    Ran,
    MayHaveRun,
    NotApplicable, // changes and commands
};

struct ResultCodeInfo {
    ResultCode code;
    Execution execution;
    std::string_view name;
    std::string_view text;
};

// All codes in ascending order.
const std::vector<ResultCodeInfo>& resultCodeTable();

// Entry of the table for a code; codes outside the table map to Internal.
const ResultCodeInfo& infoOf(ResultCode);

// Parses a number received from a peer.
std::optional<ResultCode> resultCodeFromNumber(unsigned);

Execution executionOf(ResultCode);

// "ran", "not-run", "may-have-run" or "not-applicable", as on the wire.
std::string_view nameOf(Execution);
std::optional<Execution> executionFromName(std::string_view);

} // namespace shallotdrift
