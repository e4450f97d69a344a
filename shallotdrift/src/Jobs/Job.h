#pragma once

#include "JobTypes.h"

#include <functional>
#include <map>
#include <string_view>

namespace shallotdrift {

enum class JobStatus : uint8_t { Active, Completed, Failed, Cancelled };

enum class TaskState : uint8_t {
    Waiting, // may be placed once its turn has come
    Placed, // its next run is assigned to a worker; the start may have been carried out or not
    Running, // the worker has confirmed the run
    Completed,
};

struct JobTask {
    TaskState state = TaskState::Waiting;
    bool available = false; // lasting tasks: the worker reported 100 percent
    uint32_t runNumber = 0; // number of the newest run; 0 before the first
    uint32_t failures = 0; // runs that ended Failed
    std::string worker; // id of the worker of the newest run while Placed or Running
    std::string checkpoint;
    Instant notBefore {}; // earliest next start after failures
};

struct Step {
    std::vector<JobTask> tasks;
    uint32_t remainingTasks = 0; // tasks that are not done
};

struct Occurrence {
    uint32_t number = 0;
    std::vector<Step> steps;
    uint32_t remainingSteps = 0;
};

// A job with the state of all its tasks, as its owner keeps it.
class Job {
public:
    Job(std::string id, std::string queue, std::string service, JobSpec, WallTime arrived, uint32_t maximumAttempts);

    const std::string& id() const { return id_; }
    const std::string& queue() const { return queue_; }
    const std::string& service() const { return service_; }
    const JobSpec& spec() const { return spec_; }
    WallTime submittedAt() const { return submittedAt_; }
    uint32_t maximumAttempts() const { return maximumAttempts_; }

    JobStatus status() const { return status_; }
    bool active() const { return status_ == JobStatus::Active; }
    void setStatus(JobStatus status, WallTime now);
    WallTime endedAt() const { return endedAt_; }
    // A task of it has been placed at some time.
    bool started() const { return started_; }
    void setStarted() { started_ = true; }

    bool recurring() const { return spec_.occurrences > 0; }
    bool longRunning() const;
    uint32_t occurrenceCount() const { return spec_.occurrences == 0 ? 1 : spec_.occurrences; }
    WallTime dueTime(uint32_t occurrence) const;
    // Creates the states of all occurrences that are due.
    void openDueOccurrences(WallTime now);
    bool hasFutureOccurrences() const { return openedCount_ < occurrenceCount(); }

    std::map<uint32_t, Occurrence>& openOccurrences() { return openOccurrences_; }
    const std::map<uint32_t, Occurrence>& openOccurrences() const { return openOccurrences_; }
    // Null when the id names no task of an open occurrence.
    JobTask* findTask(const TaskId&);
    // All tasks of the steps that this one comes after are done.
    bool stepReady(const Occurrence&, uint32_t step) const;
    // Counts the task as done; closes its occurrence and completes the job when it was the last.
    void markCompleted(const TaskId&, WallTime now);
    void forEachTask(const std::function<void(const TaskId&, JobTask&)>&);
    // A task still has a run on a worker.
    bool hasRuns() const;

    // Sum of processor time that is left, in core-milliseconds.
    double remainingWork() const;
    // Longest chain of estimates through the steps.
    Milliseconds criticalPath() const { return criticalPath_; }
    Milliseconds remainingCriticalPath(const Occurrence&) const;

    // Durable forms: the specification never changes; the state is rewritten with each change.
    std::string encodeSpec() const;
    std::string encodeState() const;
    static std::optional<Job> decodeSpec(std::string id, std::string_view bytes);
    // False when the bytes are not a state of this job.
    bool decodeState(std::string_view bytes);

    bool dirty = false; // the state has changed since it was last encoded
    bool specStored = false; // the specification is in the store

private:
    Occurrence makeOccurrence(uint32_t number) const;
    void closeOccurrence(uint32_t number);

    std::string id_;
    std::string queue_;
    std::string service_;
    JobSpec spec_;
    WallTime submittedAt_;
    uint32_t maximumAttempts_;
    Milliseconds criticalPath_;
    JobStatus status_ = JobStatus::Active;
    WallTime endedAt_ {};
    bool started_ = false;
    uint32_t openedCount_ = 0; // occurrences below this number have been opened
    uint32_t closedCount_ = 0; // occurrences that are done
    std::map<uint32_t, Occurrence> openOccurrences_;
};

} // namespace shallotdrift
