#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace shallotdrift {

// Checks files without a running entry instance. What a file holds follows from its sections. Pools and zones of
// handbook entries are looked up in the configuration when one is given. Returns the number of a result code.
unsigned runCheckConfigCommand(const std::vector<std::string>& words, std::ostream& output, std::ostream& errors);

// Lines of help for the command.
std::string checkConfigHelp();

} // namespace shallotdrift
