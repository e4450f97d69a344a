#pragma once

namespace shallotdrift {

struct JobSpec;
struct StepSpec;
struct QueueRule;
struct ServiceRule;
struct WorkerInfo;
struct WorkerReport;
class Job;
class ServiceScheduler;

} // namespace shallotdrift
