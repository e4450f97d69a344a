#pragma once

#include "platform/Platform.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// What is wrong with a fleet's configuration, found without the fleet.
struct ConfigurationFinding {
    enum class Severity : uint8_t {
        Error, // the configuration does not do what it says
        Warning // it may be meant so
    };
    Severity severity = Severity::Error;
    std::string text {};
};

// Entries that can never match, and limits that contradict each other.
std::vector<ConfigurationFinding> checkConfiguration(const platform::Configuration&);
// What changes when the next configuration replaces the one in force. Names no key.
std::vector<std::string> compareConfigurations(
    const platform::Configuration& inForce, const platform::Configuration& next);

} // namespace shallotdrift::internal

namespace shallotdrift {

// The command check-fleet-config: FILE, and optionally the file of the configuration in force. Returns the number of a
// result code: InvalidSettings if there is an error, Ok with warnings only.
unsigned runCheckFleetConfigCommand(
    const std::vector<std::string>& arguments, bool json, std::ostream& output, std::ostream& errors);

} // namespace shallotdrift
