#pragma once

namespace shallotdrift::internal {

class ConfigurationRelay;
class ConfigurationWatcher;
class FleetManager;
class RequestRouter;
class Membership;
class OperatorCallRouter;
class OwnedPartition;
class PartitionWriter;
class RecordReader;
class RegistryWatcher;
class StoreClient;
class WorkerSessions;
struct NodeContext;

} // namespace shallotdrift::internal
