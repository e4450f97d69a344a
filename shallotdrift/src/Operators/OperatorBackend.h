#pragma once

#include "../Base/Time.h"

#include <optional>
#include <string>

namespace shallotdrift {

// Carries the calls of operators from an entry instance to the manager of the fleet. Called on gRPC's threads.
class OperatorBackend {
public:
    virtual ~OperatorBackend() = default;
    // The name of a call of proto/operator.proto and its serialized request. Empty without an answer in time; a change
    // may still have been made, and repeating it with the same change id has no further effect.
    virtual std::optional<std::string> call(const char* name, std::string request, Milliseconds timeout) = 0;
};

} // namespace shallotdrift
