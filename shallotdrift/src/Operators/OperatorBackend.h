#pragma once

#include "../Base/Time.h"

#include <optional>
#include <string>

namespace shallotdrift {

// Forwards operators' requests from the gRPC server of an entry instance to the fleet manager. Called on gRPC's
// threads.
class OperatorBackend {
public:
    virtual ~OperatorBackend() = default;
    // Takes the name of an rpc in proto/operator.proto and its serialized request, and blocks until the serialized
    // reply arrives. Empty after the timeout; a change may have been applied nonetheless, and can be repeated with the
    // same change id without further effect.
    virtual std::optional<std::string> call(const char* name, std::string request, Milliseconds timeout) = 0;
};

} // namespace shallotdrift
