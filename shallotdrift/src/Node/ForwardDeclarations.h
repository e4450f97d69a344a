#pragma once

namespace shallotdrift::internal {

class ConfigurationFollower;
class Front;
class Membership;
class OwnedPartition;
class PartitionWriter;
class RegistryFollower;
class StoreLink;
class WorkerLinks;
struct NodeContext;

} // namespace shallotdrift::internal
