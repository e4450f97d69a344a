#pragma once

#include "PlatformClient.h"

#include <string>
#include <string_view>

namespace shallotdrift::internal {

// Parsers of the platform's replies. A reply with a wrong kind, size or order of its parts, or without a needed field,
// gives AnswerLost with a message that names the fault, because the call may have had its effect.
Result<Offset> parseAppendReply(std::string_view body);
Result<LogPage> parseReadReply(std::string_view body, Offset from, size_t maximumItems);
Result<InstanceList> parseInstances(std::string_view body);
Result<std::vector<PlatformTask>> parseTasks(std::string_view body);

// Name of a task's status on the wire, and back.
std::string_view nameOf(PlatformTask::Status);

} // namespace shallotdrift::internal
