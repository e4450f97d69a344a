#pragma once

#include <iosfwd>
#include <operator.pb.h>

namespace shallotdrift::internal {

// Print replies as text for a terminal.
void printReply(const proto::ChangeReply&, std::ostream&);
void printReply(const proto::StatusReply&, std::ostream&);
void printReply(const proto::ExplainReply&, std::ostream&);
void printReply(const proto::AuditReply&, std::ostream&);
void printReply(const proto::ListHandbookReply&, std::ostream&);
void printReply(const proto::HandbookEntry&, std::ostream&);
void printReply(const proto::RehearseReply&, std::ostream&);

// Prints the last lines of a command's output: number, name and description of the result code and, for a refusal, what
// to do next.
void printResult(unsigned resultCode, std::ostream&);

} // namespace shallotdrift::internal
