// Roles of the stand-in program. Each runs until SIGTERM or SIGINT and returns the exit status.
#pragma once

namespace shallotdrift::standin {

// Forwards TCP connections; a control server resets them or drops their traffic.
int runRelayRole();
// Implements the protocol of the platform: its store, its workers and the interface to their instances.
int runPlatformRole();

} // namespace shallotdrift::standin
