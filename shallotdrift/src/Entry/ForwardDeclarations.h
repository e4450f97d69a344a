#pragma once

namespace shallotdrift {

class Core;
class EntryProcess;
class FleetObserver;
class KeyedRequests;
class Metrics;
class OperationDriver;
class PeerDirectory;
class Proposals;
class RequestService;
class SendPermissions;
class StateKeeper;
class TaskDriver;
struct CoreContext;
struct CoreOutputs;

} // namespace shallotdrift
