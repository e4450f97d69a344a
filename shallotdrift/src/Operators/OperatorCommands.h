#pragma once

#include "../Base/Time.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace shallotdrift {

struct OperatorCommandOptions {
    std::vector<std::string> entryAddresses; // IP:port, tried in order
    std::string operatorName; // under TLS the server uses the certificate's common name instead
    std::string changeId; // empty: a new one is generated and printed
    std::string reason;
    bool json = false; // print replies as JSON
    Milliseconds timeout { 10000 }; // of each call to an entry instance
    // PEM files for TLS. Either all three are given, or none.
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile; // certificate of the authority that signs the entry instances' certificates
};

// Whether this is the first word of a command that runOperatorCommand implements, such as "status" or "handbook".
bool isOperatorCommand(const std::string& name);

// Usage and description of all commands.
std::string operatorCommandHelp();

// Runs a command, for example {"lend", "--to=assessments", "--count=2"} or {"handbook", "invoke", "archive-flood"}.
// Returns the number of a result code: 0 for a query that succeeded or a change that was accepted.
unsigned runOperatorCommand(const std::vector<std::string>& commandLine, const OperatorCommandOptions&,
    std::ostream& output, std::ostream& errors);

// Exit status for the number of a result code: 0 success, 1 refused, 2 invalid command, 3 no entry instance or no fleet
// manager reachable, or any other result code from 600.
int exitStatusOf(unsigned resultCode);

} // namespace shallotdrift
