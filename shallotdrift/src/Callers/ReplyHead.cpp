#include "ReplyHead.h"

#include "../Base/Digest.h"
#include "../Http/HttpHead.h"

#include <algorithm>
#include <array>

namespace shallotdrift::internal {

static constexpr size_t longestReason = 256; // bytes; keeps heads small whatever a part reports
static constexpr size_t longestReceipt = 256;

namespace {

    struct StatusRow {
        ResultCode code;
        unsigned status;
    };

    // Codes that do not take the status of their hundred (see statusOfHundred).
    constexpr std::array<StatusRow, 21> statusTable { {
        { ResultCode::Ok, 200 },
        { ResultCode::QuotaExceeded, 429 },
        { ResultCode::Cancelled, 409 },
        { ResultCode::DeadlinePassed, 504 },
        { ResultCode::BadRequest, 400 },
        { ResultCode::UnknownKind, 404 },
        { ResultCode::KeyRequired, 428 },
        { ResultCode::KeyMismatch, 422 },
        { ResultCode::TooLarge, 413 },
        { ResultCode::RanResultNotKept, 410 }, // not 200: the empty body must not pass for the answer
        { ResultCode::CannotRun, 422 },
        { ResultCode::StillRunning, 202 },
        { ResultCode::KeyTooOld, 410 },
        { ResultCode::AnswerTimeout, 504 },
        { ResultCode::NotFound, 404 },
        { ResultCode::InvalidRecord, 400 },
        { ResultCode::NotReviewed, 403 },
        { ResultCode::SameAuthorAndReviewer, 403 },
        { ResultCode::NotAuthorized, 403 },
        { ResultCode::StatedOutcomeMissed, 500 },
        { ResultCode::Internal, 500 },
    } };

    // 1xx not run: 503; 2xx ran and failed: 500; 3xx may have run: 502; 4xx: 409; 5xx: 400; 6xx: 503.
    constexpr std::array<unsigned, 7> statusOfHundred { 200, 503, 500, 502, 409, 400, 503 };

} // namespace

unsigned statusOf(ResultCode code)
{
    const auto* row = std::find_if(
        statusTable.begin(), statusTable.end(), [code](const StatusRow& candidate) { return candidate.code == code; });
    if (row != statusTable.end())
        return row->status;
    size_t hundred = static_cast<size_t>(code) / 100;
    return hundred < statusOfHundred.size() ? statusOfHundred[hundred] : 500;
}

std::string formatReplyHead(const CallerReply& reply, const std::string& requestId, bool keepAlive, unsigned status)
{
    auto head = HttpHead::response(status ? status : statusOf(reply.code));
    head.add("Request-Id", requestId);
    head.add("Result-Code", static_cast<uint64_t>(reply.code));
    head.add("Execution", nameOf(executionOf(reply.code)));
    head.add("Body-Digest", digestToHex(digestOf(reply.body)));
    if (reply.code != ResultCode::Ok) {
        auto reason = reply.reason.empty() ? infoOf(reply.code).text : std::string_view(reply.reason);
        head.add("Reason", reason.substr(0, longestReason));
    }
    if (!reply.receipt.empty())
        head.add("Receipt", std::string_view(reply.receipt).substr(0, longestReceipt));
    if (!reply.body.empty())
        head.add("Content-Type", reply.contentType);
    head.add("Content-Length", reply.body.size());
    if (!keepAlive)
        head.add("Connection", "close");
    return head.finish();
}

} // namespace shallotdrift::internal
