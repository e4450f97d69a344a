#pragma once

#include "../Fold/FleetState.h"

#include <operator.pb.h>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// Fills facts and audit events of a subject such as "instance w-03". Returns NotFound when neither is known.
ResultCode explainSubject(const std::string& subject, const FleetState&, proto::ExplainReply&);

// Types of subjects that can be explained, for messages and help.
std::string explainableTypes();

proto::AuditLine auditLineOf(const AuditEvent&);

} // namespace shallotdrift::internal
