#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace shallotdrift {

// Checks settings files and handbook entries without a running entry instance; the type of a file follows from its
// sections. Pools and zones that a handbook entry names are not looked up. The arguments may start with the command's
// name. Returns the number of the result code of the first failure, or 0.
unsigned runCheckConfigCommand(const std::vector<std::string>& arguments, std::ostream& output, std::ostream& errors);

// Help text of the command.
std::string checkConfigHelp();

} // namespace shallotdrift
