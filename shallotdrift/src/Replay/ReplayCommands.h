#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace shallotdrift {

// --trace=FILE [--outcomes=FILE] [--policy=ours|static|fifo|least-outstanding] [--json]
// In place of --trace a trace can be generated: --scenario=NAME [--deployment=chamber|karoo] [--seed=N]
// [--fleet=PERCENT] Returns the number of a result code: InvalidCommand, InvalidTrace, or StatedOutcomeMissed.
unsigned runReplayCommand(const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

// --scenario=NAME [--seed=N] [--deployment=chamber|karoo] [--fleet=PERCENT]; writes the trace to the output.
unsigned runGenerateCommand(const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

// Lines of help for the two commands.
std::string replayHelp();

} // namespace shallotdrift
