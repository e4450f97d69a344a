#pragma once

namespace shallotdrift::internal {

class ConfigurationFollower;
class FleetManager;
class Front;
class Membership;
class OperatorLink;
class OwnedPartition;
class PartitionWriter;
class RecordReader;
class RegistryFollower;
class StoreLink;
class WorkerLinks;
struct NodeContext;

} // namespace shallotdrift::internal
