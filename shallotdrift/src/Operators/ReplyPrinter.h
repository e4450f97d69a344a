#pragma once

#include <iosfwd>
#include <operator.pb.h>

namespace shallotdrift::internal {

// Replies as a person reads them on a terminal.
void printReply(const proto::ChangeReply&, std::ostream&);
void printReply(const proto::StatusReply&, std::ostream&);
void printReply(const proto::ExplainReply&, std::ostream&);
void printReply(const proto::AuditReply&, std::ostream&);
void printReply(const proto::ListHandbookReply&, std::ostream&);
void printReply(const proto::HandbookEntry&, std::ostream&);
void printReply(const proto::RehearseReply&, std::ostream&);

// The closing line of a command: number, name and meaning of the result, and what to do next.
void printResult(unsigned resultCode, std::ostream&);

} // namespace shallotdrift::internal
