#include "Job.h"

#include "JobStateParts.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shallotdrift {

using internal::toMessagePack;
using nlohmann::json;

static constexpr size_t maximumAttemptsKept = 1000; // of a record that has only the count of failures

// Versions of the stored formats. Records with another version are not read.
static constexpr int specFormatVersion = 1;
static constexpr int stateFormatVersion = 1;

static Milliseconds criticalPathOf(const std::vector<StepSpec>& steps, const Occurrence* occurrence)
{
    std::vector<Milliseconds> finish(steps.size());
    Milliseconds longest { 0 };
    for (size_t step = 0; step < steps.size(); ++step) {
        Milliseconds start { 0 };
        for (uint32_t dependency : steps[step].dependsOn)
            start = std::max(start, finish[dependency]);
        bool done = occurrence && occurrence->steps[step].remainingTasks == 0;
        finish[step] = start + (done ? Milliseconds { 0 } : steps[step].estimatedDuration);
        longest = std::max(longest, finish[step]);
    }
    return longest;
}

Job::Job(std::string id, std::string queue, std::string service, JobSpec spec, WallTime submittedAt,
    uint32_t maximumAttempts)
    : id_(std::move(id))
    , queue_(std::move(queue))
    , service_(std::move(service))
    , spec_(std::move(spec))
    , submittedAt_(submittedAt)
    , maximumAttempts_(maximumAttempts)
    , criticalPath_(criticalPathOf(spec_.steps, nullptr))
{
    openDueOccurrences(submittedAt);
}

void Job::setStatus(JobStatus status, WallTime now)
{
    status_ = status;
    endedAt_ = now;
    dirty = true;
}

bool Job::longRunning() const
{
    return std::any_of(spec_.steps.begin(), spec_.steps.end(), [](const StepSpec& step) { return step.longRunning; });
}

WallTime Job::dueTime(uint32_t occurrence) const
{
    return recurring() ? spec_.firstRun + occurrence * spec_.interval : submittedAt_;
}

Occurrence Job::makeOccurrence(uint32_t number) const
{
    Occurrence occurrence;
    occurrence.number = number;
    for (const auto& stepSpec : spec_.steps) {
        Step step;
        step.tasks.resize(stepSpec.count);
        step.remainingTasks = stepSpec.count;
        occurrence.steps.push_back(std::move(step));
    }
    occurrence.remainingSteps = static_cast<uint32_t>(occurrence.steps.size());
    return occurrence;
}

void Job::openDueOccurrences(WallTime now)
{
    // Further occurrences wait until earlier ones are completed, so that a job whose occurrences are all due at once
    // does not exhaust the memory of its owner.
    while (hasFutureOccurrences() && dueTime(openedCount_) <= now
        && (openOccurrences_.empty()
            || (openOccurrences_.size() + 1) * spec_.taskCount() <= JobSpec::maximumOpenTasks)) {
        openOccurrences_.emplace(openedCount_, makeOccurrence(openedCount_));
        ++openedCount_;
        dirty = true;
    }
}

const JobTask* Job::findTask(const TaskId& id) const
{
    auto occurrence = openOccurrences_.find(id.occurrence);
    if (occurrence == openOccurrences_.end() || id.step >= occurrence->second.steps.size())
        return nullptr;
    auto& tasks = occurrence->second.steps[id.step].tasks;
    return id.index < tasks.size() ? &tasks[id.index] : nullptr;
}

JobTask* Job::findTask(const TaskId& id) { return const_cast<JobTask*>(std::as_const(*this).findTask(id)); }

bool Job::stepReady(const Occurrence& occurrence, uint32_t step) const
{
    const auto& dependsOn = spec_.steps[step].dependsOn;
    return std::all_of(dependsOn.begin(), dependsOn.end(),
        [&](uint32_t dependency) { return occurrence.steps[dependency].remainingTasks == 0; });
}

void Job::markCompleted(const TaskId& id, WallTime now)
{
    auto* task = findTask(id);
    if (!task || task->state == TaskState::Completed)
        return;
    task->state = TaskState::Completed;
    task->worker.clear();
    task->checkpoint.clear();
    dirty = true;
    auto& occurrence = openOccurrences_.at(id.occurrence);
    if (--occurrence.steps[id.step].remainingTasks == 0 && --occurrence.remainingSteps == 0) {
        openOccurrences_.erase(id.occurrence);
        if (++closedCount_ == occurrenceCount() && active())
            setStatus(JobStatus::Completed, now);
    }
}

void Job::forEachTask(const std::function<void(const TaskId&, JobTask&)>& visit)
{
    for (auto& [number, occurrence] : openOccurrences_)
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step)
            for (uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index)
                visit({ id_, number, step, index }, occurrence.steps[step].tasks[index]);
}

bool Job::hasRuns() const
{
    for (const auto& [number, occurrence] : openOccurrences_)
        for (const auto& step : occurrence.steps)
            for (const auto& task : step.tasks)
                if (!task.worker.empty())
                    return true;
    return false;
}

bool Job::mayHaveStarted() const
{
    if (started_)
        return true;
    for (const auto& [number, occurrence] : openOccurrences_)
        for (const auto& step : occurrence.steps)
            for (const auto& task : step.tasks)
                if (task.restored && task.state == TaskState::Placed)
                    return true;
    return false;
}

// Sum of a quantity of one task times the estimated duration, over the remaining tasks of all but long-running steps.
template <typename Quantity> double Job::sumOverRemainingTime(Quantity&& quantity) const
{
    double sum = 0;
    for (const auto& [number, occurrence] : openOccurrences_)
        for (size_t step = 0; step < occurrence.steps.size(); ++step)
            if (!spec_.steps[step].longRunning)
                sum += static_cast<double>(occurrence.steps[step].remainingTasks)
                    * quantity(spec_.steps[step].taskResources)
                    * static_cast<double>(spec_.steps[step].estimatedDuration.count());
    return sum;
}

double Job::remainingWork() const
{
    return sumOverRemainingTime(
        [](const Resources& resources) { return static_cast<double>(resources.milliCores) / 1000; });
}

double Job::remainingMemoryTime() const
{
    return sumOverRemainingTime(
        [](const Resources& resources) { return static_cast<double>(resources.memoryMegabytes); });
}

Milliseconds Job::remainingCriticalPath(const Occurrence& occurrence) const
{
    return criticalPathOf(spec_.steps, &occurrence);
}

static json encodeStep(const StepSpec& step)
{
    return json::array({ step.count, step.taskResources.milliCores, step.taskResources.memoryMegabytes,
        step.taskResources.accelerators, step.estimatedDuration.count(), step.dependsOn, step.checkpointing, step.gang,
        step.prefersSameRack, step.requiredLabel, step.dataRack, step.maximumTasksPerWorker, step.speculationAllowed,
        step.longRunning, step.image, step.tailLatencyTarget.count(), step.bestEffort, step.maximumUnavailable });
}

static StepSpec decodeStep(const json& row)
{
    StepSpec step;
    size_t column = 0;
    auto next = [&](auto& field) { field = row.at(column++).get<std::decay_t<decltype(field)>>(); };
    auto nextTime = [&](Milliseconds& field) { field = Milliseconds { row.at(column++).get<int64_t>() }; };
    next(step.count);
    next(step.taskResources.milliCores);
    next(step.taskResources.memoryMegabytes);
    next(step.taskResources.accelerators);
    nextTime(step.estimatedDuration);
    next(step.dependsOn);
    next(step.checkpointing);
    next(step.gang);
    next(step.prefersSameRack);
    next(step.requiredLabel);
    next(step.dataRack);
    next(step.maximumTasksPerWorker);
    next(step.speculationAllowed);
    next(step.longRunning);
    next(step.image);
    nextTime(step.tailLatencyTarget);
    next(step.bestEffort);
    next(step.maximumUnavailable);
    return step;
}

std::string Job::encodeSpec() const
{
    auto steps = json::array();
    for (const auto& step : spec_.steps)
        steps.push_back(encodeStep(step));
    return toMessagePack(json::array({ specFormatVersion, queue_, service_, spec_.payload, std::move(steps),
        spec_.occurrences, unixMilliseconds(spec_.firstRun), spec_.interval.count(), unixMilliseconds(submittedAt_),
        maximumAttempts_, account_ }));
}

std::optional<Job> Job::decodeSpec(std::string id, std::string_view bytes)
{
    try {
        auto row = json::from_msgpack(bytes);
        if (row.at(0) != specFormatVersion)
            return std::nullopt;
        JobSpec spec;
        spec.payload = row.at(3).get<std::string>();
        for (const auto& step : row.at(4)) {
            spec.steps.push_back(decodeStep(step));
            for (uint32_t dependency : spec.steps.back().dependsOn)
                if (dependency >= spec.steps.size() - 1)
                    return std::nullopt; // not an earlier step
        }
        if (spec.taskCount() > JobSpec::maximumTasks)
            return std::nullopt;
        spec.occurrences = row.at(5).get<uint32_t>();
        spec.firstRun = wallTimeFromUnix(Milliseconds { row.at(6).get<int64_t>() });
        spec.interval = Milliseconds { row.at(7).get<int64_t>() };
        Job job(std::move(id), row.at(1).get<std::string>(), row.at(2).get<std::string>(), std::move(spec),
            wallTimeFromUnix(Milliseconds { row.at(8).get<int64_t>() }), row.at(9).get<uint32_t>());
        if (row.size() > 10) // records of earlier versions have no account
            job.setAccount(row[10].get<std::string>());
        job.specStored = true;
        job.dirty = false;
        return job;
    } catch (const std::exception&) {
        return std::nullopt; // logged by the caller with the key
    }
}

// The encoded state has a row for each task that has been placed or is completed; all other tasks are as in a new job.
// An ended job without active runs has no rows, since its specification is no longer stored.
std::vector<std::string> Job::encodeState(size_t maximumBytes)
{
    if (!active() && !hasRuns())
        return { toMessagePack(json::array({ stateFormatVersion, static_cast<int>(status_), unixMilliseconds(endedAt_),
            placed_, openedCount_, closedCount_, json::array(), json::array(), started_, account_ })) };
    auto tasks = json::array();
    std::vector<uint32_t*> partOfTask;
    for (auto& [number, occurrence] : openOccurrences_)
        for (size_t step = 0; step < occurrence.steps.size(); ++step)
            for (size_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
                auto& task = occurrence.steps[step].tasks[index];
                if (task.runNumber == 0 && task.state == TaskState::Waiting)
                    continue;
                tasks.push_back(json::array({ number, step, index, task.state == TaskState::Completed, task.runNumber,
                    task.failedRuns.size(), task.worker, task.checkpoint, task.failedRuns, task.startNumber }));
                partOfTask.push_back(&task.statePart);
            }
    auto open = json::array();
    for (const auto& entry : openOccurrences_)
        open.push_back(entry.first);
    return internal::encodeParts(
        json::array({ stateFormatVersion, static_cast<int>(status_), unixMilliseconds(endedAt_), placed_, openedCount_,
            closedCount_, std::move(open), json::array(), started_ }),
        std::move(tasks), partOfTask, storedParts.size(), maximumBytes);
}

bool Job::decodeState(const StateParts& parts)
{
    if (parts.empty())
        return false;
    try {
        std::vector<json> rows;
        for (const auto& part : parts) {
            rows.push_back(json::from_msgpack(part.second));
            if (rows.back().at(0) != stateFormatVersion)
                return false;
        }
        const auto& row = internal::latestHeader(rows);
        status_ = static_cast<JobStatus>(row.at(1).get<int>());
        endedAt_ = wallTimeFromUnix(Milliseconds { row.at(2).get<int64_t>() });
        placed_ = row.at(3).get<bool>();
        openedCount_ = row.at(4).get<uint32_t>();
        closedCount_ = row.at(5).get<uint32_t>();
        // A record without the last column shows a start only by what the runs have left.
        started_ = row.size() > 8 ? row.at(8).get<bool>() : closedCount_ > 0;
        if (row.size() > 9) // of an ended job, whose specification is no longer stored
            account_ = row[9].get<std::string>();
        openOccurrences_.clear();
        for (const auto& number : row.at(6))
            openOccurrences_.emplace(number.get<uint32_t>(), makeOccurrence(number.get<uint32_t>()));
        auto part = parts.begin();
        for (const auto& partRow : rows) {
            if (!decodeTasks(partRow.at(7), part->first, parts.size() > 1))
                return false;
            ++part;
        }
        forEachTask([this](const TaskId& id, JobTask& task) {
            auto& occurrence = openOccurrences_.at(id.occurrence);
            if (task.state == TaskState::Completed && --occurrence.steps[id.step].remainingTasks == 0)
                --occurrence.remainingSteps;
        });
        storedParts.assign(size_t { parts.rbegin()->first } + 1, 0);
        dirty = false;
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

// A row replaces that of an earlier part, which the task has left. Beside parts of a later version, a part may have
// rows of occurrences that are closed since then.
bool Job::decodeTasks(const json& rows, uint32_t part, bool ignoreClosed)
{
    for (const auto& entry : rows) {
        if (ignoreClosed && openOccurrences_.count(entry.at(0).get<uint32_t>()) == 0)
            continue;
        auto* task
            = findTask({ id_, entry.at(0).get<uint32_t>(), entry.at(1).get<uint32_t>(), entry.at(2).get<uint32_t>() });
        if (!task)
            return false;
        task->statePart = part;
        task->runNumber = entry.at(4).get<uint32_t>();
        if (entry.size() > 8)
            task->failedRuns = entry.at(8).get<std::vector<uint32_t>>();
        else
            task->failedRuns.assign(std::min(entry.at(5).get<size_t>(), maximumAttemptsKept), 0);
        if (entry.size() > 9)
            task->startNumber = entry.at(9).get<uint64_t>();
        task->worker = entry.at(6).get<std::string>();
        task->checkpoint = entry.at(7).get<std::string>();
        bool completed = entry.at(3).get<bool>();
        started_ = started_ || completed || !task->failedRuns.empty() || !task->checkpoint.empty();
        if (completed)
            task->state = TaskState::Completed;
        else // the worker's report will show whether the run started
            task->state = task->worker.empty() ? TaskState::Waiting : TaskState::Placed;
    }
    return true;
}

} // namespace shallotdrift
