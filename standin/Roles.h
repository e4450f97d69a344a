// Roles of the stand-in program. Each runs until SIGTERM or SIGINT and returns the exit status.
#pragma once

namespace shallotdrift::standin {

// Forwards TCP connections. Requests to its control server reset them or drop their traffic.
int runRelayRole();
// Opens many connections that misbehave as clients. Ends by itself after a given time.
int runCrowdRole();
// Simulates the platform: its store, its workers and the API of their instances.
int runPlatformRole();

} // namespace shallotdrift::standin
