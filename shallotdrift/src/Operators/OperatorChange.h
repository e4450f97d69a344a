#pragma once

#include "../Base/Error.h"

#include <log.pb.h>
#include <operator.pb.h>
#include <string>

namespace shallotdrift::internal {

// Who wants a change, why, and under which id.
struct OperatorChange {
    std::string id;
    std::string operatorName;
    std::string reason;

    // A record with actor and reason; the reason starts with the change id, by which the audit trail finds the change.
    proto::Record record() const;
};

// Checks the id and the operator's name.
Result<OperatorChange> checkChange(const proto::Change&);

// Start of the reason of every record of a change.
std::string reasonPrefix(const std::string& changeId);

} // namespace shallotdrift::internal
