#pragma once

#include "../Base/Time.h"

#include <optional>
#include <string>

namespace shallotdrift {

// Forwards operators' requests from the gRPC server of an entry instance to the fleet manager. Called on threads of
// gRPC.
class OperatorBackend {
public:
    virtual ~OperatorBackend() = default;
    // Sends a serialized request and blocks until the serialized reply arrives. name is the name of an rpc in
    // proto/operator.proto. Returns nullopt if there is no reply within the timeout. A change may have been applied
    // nonetheless; repeating it with the same change id has no further effect.
    virtual std::optional<std::string> call(const char* name, std::string request, Milliseconds timeout) = 0;
};

} // namespace shallotdrift
