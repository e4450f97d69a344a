#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace shallotdrift {

// Checks files without a running entry: --settings=FILE, --configuration=FILE, --handbook=FILE, each any number of
// times. Pools and zones of the handbook entries are looked up in the configuration when one is given.
// Returns the number of a result code.
unsigned runCheckConfigCommand(const std::vector<std::string>& words, std::ostream& output, std::ostream& errors);

// Lines of help for the command.
std::string checkConfigHelp();

} // namespace shallotdrift
