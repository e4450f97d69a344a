// Roles of the stand-in program. Each runs until SIGTERM and returns the exit status.
#pragma once

namespace shallotdrift::standin {

// Relay: forwards TCP connections and can cut or silence them.
int runRelayRole();
// Users: the users' platform by its published protocol, with a store, workers and their instances.
int runPlatformRole();

} // namespace shallotdrift::standin
