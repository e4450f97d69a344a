#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace shallotdrift {

// Checks settings files and handbook entries. No entry instance has to run. A file with a [handbook] section is checked
// as a handbook entry, any other file as settings. Whether the pools and zones of a handbook entry exist is not
// checked. The first argument may be the name of the command. Returns the number of the first failure's result code, or
// 0 if all files are valid.
unsigned runCheckConfigCommand(const std::vector<std::string>& arguments, std::ostream& output, std::ostream& errors);

// Help text of the command.
std::string checkConfigHelp();

} // namespace shallotdrift
