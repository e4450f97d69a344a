#pragma once

#include "CallerServer.h"

namespace shallotdrift::internal {

// HTTP status of an answer with this code.
unsigned statusOf(ResultCode);

// Head of the answer to a caller. Status 0 stands for the code's own status.
std::string formatReplyHead(const CallerReply&, const std::string& requestId, bool keepAlive, unsigned status = 0);

} // namespace shallotdrift::internal
