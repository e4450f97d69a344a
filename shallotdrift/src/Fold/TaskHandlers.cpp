#include "Names.h"
#include "RecordHandlers.h"
#include "TaskSpec.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallotdrift::internal {

static Verdict checkSpec(const FleetConfiguration& configuration, const proto::TaskSpec& spec)
{
    auto kind = configuration.kinds.find(spec.kind());
    if (kind == configuration.kinds.end() || !kind->second.longRunning)
        return refused(ResultCode::UnknownKind, "no kind " + spec.kind() + " for long tasks");
    if (!spec.team().empty() && !configuration.teams.count(spec.team()))
        return refused(ResultCode::NotFound, "no team " + spec.team());
    if (spec.input().size() > maximumTaskInputBytes)
        return refused(ResultCode::TooLarge, fmt::format("{} bytes of input", spec.input().size()));
    if (spec.declared_runtime_ms() < 0 || spec.declared_runtime_ms() > latestUnixMilliseconds)
        return refused(ResultCode::InvalidRecord, "declared run time out of range");
    return accepted();
}

static Verdict checkTask(const FoldData& data, const proto::TaskAccepted& proposed)
{
    if (!isValidName(proposed.task_id()))
        return refused(ResultCode::InvalidRecord, "a task has an id of 1 to 128 bytes");
    if (data.state.tasks.count(proposed.task_id()))
        return refused(ResultCode::DuplicateRecord, "the task id was used before");
    size_t open = data.state.tasks.size() - data.endedTasks.size();
    if (open >= maximumOpenTasks)
        return refused(ResultCode::QueueFull, fmt::format("{} tasks are open", open));
    return checkSpec(data.state.configuration, proposed.spec());
}

Verdict foldTaskAccepted(FoldData& data, const RecordContext& context)
{
    const auto& proposed = context.record.task_accepted();
    if (auto verdict = checkTask(data, proposed); verdict.code != ResultCode::Ok)
        return verdict;
    auto& task = data.state.tasks[proposed.task_id()];
    task.id = proposed.task_id();
    assignSpec(task, proposed.spec());
    task.acceptedAt = data.state.foldTime;
    return accepted();
}

// Tokens grow strictly, also when one log entry places the same task twice.
static void renewToken(Task& task, Offset offset) { task.token = std::max(offset, task.token + 1); }

static Verdict checkToken(const FoldData& data, const std::string& id, uint64_t expectedToken)
{
    auto known = data.state.tasks.find(id);
    if (known == data.state.tasks.end())
        return refused(ResultCode::NotFound, "no task " + id);
    if (hasEnded(known->second))
        return refused(ResultCode::WrongState, "the task has ended");
    if (known->second.token != expectedToken)
        return refused(
            ResultCode::StaleEpoch, fmt::format("token {}, expected {}", known->second.token, expectedToken));
    return accepted();
}

static Verdict checkTarget(const FleetState& state, const Task& task, const proto::TaskPlaced& placed)
{
    auto instance = state.instances.find(placed.instance());
    if (instance == state.instances.end())
        return refused(ResultCode::NotFound, "no instance " + placed.instance());
    if (instance->second.epoch != placed.expected_epoch())
        return refused(ResultCode::StaleEpoch,
            fmt::format("epoch {}, expected {}", instance->second.epoch, placed.expected_epoch()));
    if (!instance->second.available())
        return refused(ResultCode::WrongState, "the instance takes no work");
    if (task.failedInstances.count(placed.instance()))
        return refused(ResultCode::Conflict, "the task failed on the instance before");
    auto kind = state.configuration.kinds.find(task.kind);
    if (kind == state.configuration.kinds.end() || kind->second.pool != instance->second.pool)
        return refused(ResultCode::Conflict, "the instance's pool does not run the kind " + task.kind);
    return accepted();
}

Verdict foldTaskPlaced(FoldData& data, const RecordContext& context)
{
    const auto& placed = context.record.task_placed();
    if (auto verdict = checkToken(data, placed.task_id(), placed.expected_token()); verdict.code != ResultCode::Ok)
        return verdict;
    auto& task = data.state.tasks.at(placed.task_id());
    if (task.status != TaskStatus::Waiting)
        return refused(ResultCode::WrongState, "the task is placed on " + task.instance);
    if (!data.state.entries.count(placed.owner()))
        return refused(ResultCode::NotFound, "the owner is no member");
    if (auto verdict = checkTarget(data.state, task, placed); verdict.code != ResultCode::Ok)
        return verdict;
    task.status = TaskStatus::Placed;
    task.instance = placed.instance();
    task.owner = placed.owner();
    renewToken(task, context.offset);
    return accepted(fmt::format("token {}", task.token));
}

Verdict foldTaskOwner(FoldData& data, const RecordContext& context)
{
    const auto& change = context.record.task_owner();
    if (auto verdict = checkToken(data, change.task_id(), change.expected_token()); verdict.code != ResultCode::Ok)
        return verdict;
    auto& task = data.state.tasks.at(change.task_id());
    if (task.status != TaskStatus::Placed)
        return refused(ResultCode::WrongState, "the task is not placed");
    if (!data.state.entries.count(change.owner()))
        return refused(ResultCode::NotFound, "the owner is no member");
    task.owner = change.owner();
    renewToken(task, context.offset);
    return accepted(fmt::format("token {}", task.token));
}

static void endTask(FoldData& data, Task& task, TaskStatus status)
{
    task.status = status;
    task.input.clear();
    // The task may be forgotten here, so nothing uses it afterwards.
    data.endedTasks.add(unixMilliseconds(task.acceptedAt), std::string(task.id), data.state.tasks);
}

static void waitAgain(Task& task)
{
    task.status = TaskStatus::Waiting;
    task.instance.clear();
    task.owner.clear();
}

static void failAttempt(FoldData& data, Task& task)
{
    task.failedInstances.insert(task.instance);
    if (task.failedInstances.size() >= failedInstancesLimit)
        endTask(data, task, TaskStatus::Failed);
    else
        waitAgain(task);
}

static void endPlacement(FoldData& data, Task& task, proto::TaskEnded::End end)
{
    if (end == proto::TaskEnded::SUCCEEDED)
        endTask(data, task, TaskStatus::Succeeded);
    else if (end == proto::TaskEnded::CANCELLED)
        endTask(data, task, TaskStatus::Cancelled);
    else if (end == proto::TaskEnded::FAILED_ATTEMPT)
        failAttempt(data, task);
    else
        waitAgain(task);
}

Verdict foldTaskEnded(FoldData& data, const RecordContext& context)
{
    const auto& ended = context.record.task_ended();
    if (ended.end() == proto::TaskEnded::END_UNSPECIFIED || !proto::TaskEnded::End_IsValid(ended.end())
        || ended.receipt().size() > maximumReceiptBytes)
        return refused(ResultCode::InvalidRecord, "end and receipt of at most 256 bytes");
    if (auto verdict = checkToken(data, ended.task_id(), ended.expected_token()); verdict.code != ResultCode::Ok)
        return verdict;
    auto& task = data.state.tasks.at(ended.task_id());
    if (task.status != TaskStatus::Placed && ended.end() != proto::TaskEnded::CANCELLED)
        return refused(ResultCode::WrongState, "the task is not placed");
    auto figures = fmt::format("token {}, {} failed instances", task.token, task.failedInstances.size());
    task.receipt = ended.receipt();
    endPlacement(data, task, ended.end());
    return accepted(std::move(figures));
}

} // namespace shallotdrift::internal
