// Roles of the stand-in program. Each runs until SIGTERM or until its work is done and returns the exit status.
#pragma once

namespace shallotdrift::standin {

// Platform: log, instance list, instance and task calls, and fault controls.
int runPlatformRole();
// Targets: all target instances of a fleet file that listen in one process.
int runTargetsRole();
// Load: callers that send a mixed load and write down every answer.
int runLoadRole();
// Relay: forwards TCP connections and can cut or silence them.
int runRelayRole();
// Fleet: writes the fleet file and the settings of all entries for a run on loopback.
int runFleetRole();
// Check: compares the journals of targets and callers against the promises.
int runCheckRole();
// Users: the users' platform by its published protocol, with a store, workers and their instances.
int runUsersRole();

} // namespace shallotdrift::standin
