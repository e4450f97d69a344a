#pragma once

#include "../Base/Time.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace shallotdrift {

struct OperatorCommandOptions {
    std::vector<std::string> entryAddresses; // tried in order, IP:port
    std::string operatorName;
    std::string changeId; // empty: a new one is chosen and printed
    std::string reason;
    bool json = false;
    Milliseconds timeout { 10000 };
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile;
};

// True for a command that runOperatorCommand implements ("status", "lend", "handbook" ...).
bool isOperatorCommand(const std::string& name);

// Lines of help for all commands.
std::string operatorCommandHelp();

// Runs a command, for example {"lend", "--to=assessments", "--count=2"} or {"handbook", "invoke", "archive-flood"}.
// Returns the number of a result code: 0 when the change was accepted.
unsigned runOperatorCommand(const std::vector<std::string>& commandLine, const OperatorCommandOptions&,
    std::ostream& output, std::ostream& errors);

// Exit status for a result code: 0 accepted, 1 refused, 2 mistakes in the command, 3 no entry instance or no
// manager of the fleet answers.
int exitStatusOf(unsigned resultCode);

} // namespace shallotdrift
