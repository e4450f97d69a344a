// Roles of the stand-in program. Each runs until SIGTERM or SIGINT and returns the exit status.
#pragma once

namespace shallotdrift::standin {

// Forwards TCP connections. Requests to its control server reset them or drop their traffic.
int runRelayRole();
// Simulates the platform: its store, its workers and the API of their instances.
int runPlatformRole();

} // namespace shallotdrift::standin
