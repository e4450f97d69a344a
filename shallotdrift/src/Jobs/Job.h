#pragma once

#include "JobTypes.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace shallotdrift {

enum class JobStatus : uint8_t { Active, Completed, Failed, Cancelled };

enum class TaskState : uint8_t {
    Waiting, // not assigned to a worker
    Placed, // its newest run is assigned to a worker, which may or may not have started it
    Running, // the worker has confirmed that the run started
    Completed,
};

struct JobTask {
    TaskState state = TaskState::Waiting;
    bool available = false; // long-running tasks: the worker reports 100 percent progress
    bool restored = false; // the newest run is one of the previous owner
    uint32_t runNumber = 0; // number of the newest run; 0 before the first
    uint64_t startNumber = 0; // of the newest run's start order among those of the service; 0: unknown, see RunLedger
    // Numbers of the runs that ended with RunOutcome::Failed. A worker reports an end again until it is acknowledged,
    // also to the next owner, so a count alone could include a failure twice. 0: from a record that has only the count.
    std::vector<uint32_t> failedRuns;
    std::string worker; // id of the worker of the newest run while Placed or Running
    std::string checkpoint;
    Instant notBefore {}; // earliest next start, set by the backoff after a failure
    uint32_t statePart = 0; // part of the stored state that has the row of the task
};

struct Step {
    std::vector<JobTask> tasks;
    uint32_t remainingTasks = 0; // tasks that are not completed
};

// State of one occurrence of a job. A job that does not recur has a single occurrence.
struct Occurrence {
    uint32_t number = 0;
    std::vector<Step> steps;
    uint32_t remainingSteps = 0;
};

// A job and the state of its tasks, as the owner of its service holds them in memory.
class Job {
public:
    Job(std::string id, std::string queue, std::string service, JobSpec, WallTime submittedAt,
        uint32_t maximumAttempts);

    const std::string& id() const { return id_; }
    const std::string& queue() const { return queue_; }
    const std::string& service() const { return service_; }
    // The client account that submitted the job; empty: none.
    const std::string& account() const { return account_; }
    void setAccount(std::string account) { account_ = std::move(account); }
    // Beyond what is due to the account while there is too little room. Not stored.
    bool beyondShare() const { return beyondShare_; }
    void setBeyondShare(bool beyondShare) { beyondShare_ = beyondShare; }
    const JobSpec& spec() const { return spec_; }
    WallTime submittedAt() const { return submittedAt_; }
    uint32_t maximumAttempts() const { return maximumAttempts_; }

    JobStatus status() const { return status_; }
    bool active() const { return status_ == JobStatus::Active; }
    void setStatus(JobStatus status, WallTime now);
    WallTime endedAt() const { return endedAt_; }
    // True once a task of the job has been placed; the worker may not have started it.
    bool placed() const { return placed_; }
    void setPlaced() { placed_ = true; }
    // True once a worker has started a task of the job. Stored with the next change of the job.
    bool started() const { return started_; }
    void setStarted() { started_ = true; }
    // Also true while a run of the previous owner may have started, until its worker reports or its lease expires.
    bool mayHaveStarted() const;

    bool recurring() const { return spec_.occurrences > 0; }
    bool longRunning() const;
    uint32_t occurrenceCount() const { return spec_.occurrences == 0 ? 1 : spec_.occurrences; }
    // Time from which the tasks of the occurrence may run.
    WallTime dueTime(uint32_t occurrence) const;
    // Creates the task states of all occurrences that have become due.
    void openDueOccurrences(WallTime now);
    bool hasFutureOccurrences() const { return openedCount_ < occurrenceCount(); }

    // Occurrences that are due and not completed, by number.
    std::map<uint32_t, Occurrence>& openOccurrences() { return openOccurrences_; }
    const std::map<uint32_t, Occurrence>& openOccurrences() const { return openOccurrences_; }
    // Null if the id does not name a task of an open occurrence.
    JobTask* findTask(const TaskId&);
    const JobTask* findTask(const TaskId&) const;
    // True if all tasks of the steps that this step depends on are completed.
    bool stepReady(const Occurrence&, uint32_t step) const;
    // Marks the task as completed. With the last task of an occurrence the occurrence closes, and with the last
    // occurrence the job is completed.
    void markCompleted(const TaskId&, WallTime now);
    void forEachTask(const std::function<void(const TaskId&, JobTask&)>&);
    // True if a task is still assigned to a worker.
    bool hasRuns() const;

    // Estimated processor time of the remaining tasks in core-milliseconds, excluding long-running steps.
    double remainingWork() const;
    // Memory of the remaining tasks in MB times their estimated durations in ms, excluding long-running steps.
    double remainingMemoryTime() const;
    // Longest path through the steps by estimated duration.
    Milliseconds criticalPath() const { return criticalPath_; }
    // Longest path through the steps of the occurrence that are not completed, by estimated duration.
    Milliseconds remainingCriticalPath(const Occurrence&) const;

    // Stored forms. The specification never changes; the state is stored again after each change.
    std::string encodeSpec() const;
    // The state in parts of at most maximumBytes, each for its own tasks. Most jobs have one part. Parts of different
    // versions can be read together: each task then has the state of the latest version that was stored of it.
    std::vector<std::string> encodeState(size_t maximumBytes);
    // nullopt if the bytes are not a specification in a known format.
    static std::optional<Job> decodeSpec(std::string id, std::string_view bytes);
    using StateParts = std::map<uint32_t, std::string>; // by number
    // False if the bytes are not a state of this job in a known format.
    bool decodeState(const StateParts&);
    bool decodeState(std::string bytes) { return decodeState(StateParts { { 0, std::move(bytes) } }); }

    bool dirty = false; // the state has changed since it was last encoded
    bool specStored = false; // the specification is in the store
    // Hash of each part of the state when it was last given to the store; 0: from an earlier owner.
    std::vector<uint64_t> storedParts;

private:
    template <typename Quantity> double sumOverRemainingTime(Quantity&&) const;
    Occurrence makeOccurrence(uint32_t number) const;
    void closeOccurrence(uint32_t number);
    bool decodeTasks(const nlohmann::json& rows, uint32_t part, bool ignoreClosed);

    std::string id_;
    std::string queue_;
    std::string service_;
    std::string account_;
    bool beyondShare_ = false;
    JobSpec spec_;
    WallTime submittedAt_;
    uint32_t maximumAttempts_;
    Milliseconds criticalPath_;
    JobStatus status_ = JobStatus::Active;
    WallTime endedAt_ {};
    bool placed_ = false;
    bool started_ = false;
    uint32_t openedCount_ = 0; // occurrences below this number have been opened
    uint32_t closedCount_ = 0; // completed occurrences
    std::map<uint32_t, Occurrence> openOccurrences_;
};

} // namespace shallotdrift
