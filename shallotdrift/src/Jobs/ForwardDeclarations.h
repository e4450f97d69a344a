#pragma once

namespace shallotdrift {

struct JobSpec;
struct StepSpec;
struct QueueConfiguration;
struct ServiceConfiguration;
struct WorkerInfo;
struct WorkerReport;
class Job;
class ServiceScheduler;

} // namespace shallotdrift
