#include "TaskDriver.h"

#include "../Base/Logging.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallotdrift {

static constexpr Milliseconds taskLease { 10000 };
static constexpr Milliseconds renewInterval { 3000 };
static constexpr Milliseconds repeatInterval { 3000 };
static constexpr Milliseconds planInterval { 500 };
// An owner that is silent for longer than its leases last is replaced.
static constexpr Milliseconds ownerSilence { 10000 };
static constexpr size_t maximumInputBytes = 4096;
static constexpr Milliseconds defaultTimeout { 10000 };

TaskDriver::TaskDriver(CoreContext& context, Proposals& proposals, PeerDirectory& peers)
    : context_(context)
    , proposals_(proposals)
    , peers_(peers)
    , duties_(peers)
{
}

void TaskDriver::reply(uint64_t request, ResultCode code, std::string reason, std::string body)
{
    CallerReply answer;
    answer.code = code;
    answer.reason = std::move(reason);
    answer.body = std::move(body);
    answer.contentType = "application/json";
    context_.outputs.reply(request, std::move(answer));
}

void TaskDriver::replyToProposal(uint64_t request, ResultCode code, std::string reason, std::string body)
{
    if (awaitingVerdict_.erase(request))
        reply(request, code, std::move(reason), std::move(body));
}

// The record may still be folded, so the outcome is unknown rather than "not run". Asking again with the same key
// finds the task if it was accepted.
void TaskDriver::expireProposals(Instant now)
{
    for (auto position = awaitingVerdict_.begin(); position != awaitingVerdict_.end();) {
        if (now < position->second) {
            ++position;
            continue;
        }
        reply(position->first, ResultCode::OutcomeUnknown, "the log did not answer in time; repeat with the same key");
        position = awaitingVerdict_.erase(position);
    }
}

static Instant deadlineOf(const CallerRequest& request)
{
    return request.arrived + (request.timeout.count() ? request.timeout : defaultTimeout);
}

static const char* nameOfStatus(TaskStatus status)
{
    static constexpr const char* names[] = { "waiting", "placed", "succeeded", "failed", "cancelled" };
    return names[static_cast<size_t>(status)];
}

void TaskDriver::submit(const CallerRequest& request)
{
    const auto& kinds = context_.state().configuration.kinds;
    auto kind = kinds.find(request.subject);
    if (kind == kinds.end() || !kind->second.longRunning)
        return reply(request.id, ResultCode::UnknownKind, "no kind of long task is named " + request.subject);
    // The team is written to the log, where text that is no UTF-8 would spoil the whole batch.
    if (!request.team.empty() && !context_.state().configuration.teams.count(request.team))
        return reply(request.id, ResultCode::BadRequest, "unknown team");
    if (request.body.size() > maximumInputBytes)
        return reply(
            request.id, ResultCode::TooLarge, fmt::format("task input is limited to {} bytes", maximumInputBytes));
    // The caller's key makes a repeated submission find the first one.
    auto id = request.key.empty() ? fmt::format("t-{}-{:x}-{}", context_.settings.id, context_.boot, ++taskNumber_)
                                  : "t-" + request.key;
    if (context_.state().tasks.count(id))
        return reply(request.id, ResultCode::Ok, "", nlohmann::json { { "task", id } }.dump());
    proto::Record record;
    auto* accepted = record.mutable_task_accepted();
    accepted->set_task_id(id);
    auto* spec = accepted->mutable_spec();
    spec->set_kind(request.subject);
    spec->set_team(request.team);
    spec->set_cores(request.declaredCores);
    spec->set_memory_mb(request.declaredMemoryMegabytes);
    spec->set_accelerators(request.declaredAccelerators);
    spec->set_declared_runtime_ms(request.declaredRuntime.count());
    spec->set_input(request.body);
    bool taken = proposals_.propose(
        std::move(record), "submitted by a caller", [this, id, request = request.id](const FoldedRecord& folded) {
            auto code = folded.verdict.code;
            if (code == ResultCode::Ok || context_.state().tasks.count(id))
                return replyToProposal(request, ResultCode::Ok, "", nlohmann::json { { "task", id } }.dump());
            replyToProposal(request, code, folded.verdict.figures);
        });
    if (!taken)
        return reply(request.id, ResultCode::LogUnavailable, "the log's queue is full");
    awaitingVerdict_[request.id] = deadlineOf(request);
}

void TaskDriver::query(const CallerRequest& request)
{
    auto position = context_.state().tasks.find(request.subject);
    if (position == context_.state().tasks.end())
        return reply(request.id, ResultCode::NotFound, "no task is named " + request.subject);
    const auto& task = position->second;
    nlohmann::json body { { "task", task.id }, { "status", nameOfStatus(task.status) }, { "instance", task.instance },
        { "receipt", task.receipt }, { "failed_instances", task.failedInstances } };
    auto live = platformTasks_.find(task.id);
    if (live != platformTasks_.end())
        body["cores_used"] = live->second.coresUsed;
    reply(request.id, ResultCode::Ok, "", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void TaskDriver::cancel(const CallerRequest& request)
{
    auto position = context_.state().tasks.find(request.subject);
    if (position == context_.state().tasks.end())
        return reply(request.id, ResultCode::NotFound, "no task is named " + request.subject);
    const auto& task = position->second;
    if (task.status != TaskStatus::Waiting && task.status != TaskStatus::Placed)
        return reply(request.id, ResultCode::WrongState, fmt::format("the task is {}", nameOfStatus(task.status)));
    if (task.status == TaskStatus::Placed) {
        PlatformCall stop;
        stop.type = PlatformCall::Type::CommandTask;
        stop.operationId = task.id;
        stop.task.id = task.id;
        stop.command = TaskCommand::Stop;
        stop.token = task.token;
        context_.outputs.callPlatform(std::move(stop));
    }
    proto::Record record;
    record.mutable_task_ended()->set_task_id(task.id);
    record.mutable_task_ended()->set_expected_token(task.token);
    record.mutable_task_ended()->set_end(proto::TaskEnded::CANCELLED);
    bool taken = proposals_.propose(
        std::move(record), "cancelled by the caller", [this, id = request.id](const FoldedRecord& folded) {
            replyToProposal(id, folded.verdict.code, folded.verdict.figures);
        });
    if (!taken)
        return reply(request.id, ResultCode::LogUnavailable, "the log's queue is full");
    awaitingVerdict_[request.id] = deadlineOf(request);
}

void TaskDriver::end(
    const Task& task, proto::TaskEnded::End reason, const std::string& receipt, const std::string& text, Instant now)
{
    if (!duties_.mayRepeat(fmt::format("end {}/{}", task.id, task.token), now, repeatInterval))
        return;
    proto::Record record;
    record.mutable_task_ended()->set_task_id(task.id);
    record.mutable_task_ended()->set_expected_token(task.token);
    record.mutable_task_ended()->set_end(reason);
    record.mutable_task_ended()->set_receipt(receipt);
    proposals_.propose(std::move(record), text);
}

void TaskDriver::listed(const std::vector<PlatformTask>& tasks, Instant now)
{
    platformTasks_.clear();
    for (const auto& listed : tasks) {
        platformTasks_[listed.id] = listed;
        auto position = context_.state().tasks.find(listed.id);
        if (position == context_.state().tasks.end())
            continue;
        const auto& task = position->second;
        if (task.status != TaskStatus::Placed || task.owner != context_.settings.id || listed.token > task.token)
            continue;
        switch (listed.status) {
        case PlatformTask::Status::Succeeded:
            end(task, proto::TaskEnded::SUCCEEDED, listed.receipt, "the platform reports the end", now);
            break;
        case PlatformTask::Status::Failed:
            end(task, proto::TaskEnded::FAILED_ATTEMPT, listed.receipt, "the platform reports a failure", now);
            break;
        case PlatformTask::Status::LeaseLapsed:
            end(task, proto::TaskEnded::LOST, "", "the lease lapsed", now);
            break;
        case PlatformTask::Status::Checkpointed:
            end(task, proto::TaskEnded::PREEMPTED, "", "stopped after a checkpoint", now);
            break;
        case PlatformTask::Status::Running:
        case PlatformTask::Status::Throttled:
            break;
        }
    }
    for (const auto& [id, task] : context_.state().tasks) {
        if (task.status != TaskStatus::Placed || task.owner != context_.settings.id || platformTasks_.count(id))
            continue;
        auto instance = context_.state().instances.find(task.instance);
        if (instance == context_.state().instances.end() || instance->second.lost)
            end(task, proto::TaskEnded::LOST, "", "the instance is lost", now);
        else
            start(task); // the answer to the start was lost, or this entry took over before it was made
    }
}

void TaskDriver::start(const Task& task)
{
    PlatformCall call;
    call.type = PlatformCall::Type::StartTask;
    call.operationId = task.id;
    call.task.id = task.id;
    call.task.instance = task.instance;
    call.task.kind = task.kind;
    call.task.token = task.token;
    call.task.lease = taskLease;
    call.task.cores = task.cores;
    call.task.memoryMegabytes = task.memoryMegabytes;
    call.task.accelerators = task.accelerators;
    call.task.input = task.input;
    context_.outputs.callPlatform(std::move(call));
}

void TaskDriver::command(const Task& task, TaskCommand command, Instant)
{
    PlatformCall call;
    call.type = PlatformCall::Type::CommandTask;
    call.operationId = task.id;
    call.task.id = task.id;
    call.command = command;
    call.token = task.token;
    context_.outputs.callPlatform(std::move(call));
}

void TaskDriver::callDone(const PlatformCallResult& result, Instant now)
{
    if (result.code == ResultCode::Ok || result.call.type != PlatformCall::Type::StartTask)
        return;
    logger("tasks")->warn("start of task {} failed: {}", result.call.operationId, result.message);
    auto position = context_.state().tasks.find(result.call.operationId);
    if (result.code != ResultCode::PlatformRefused || position == context_.state().tasks.end())
        return;
    if (position->second.status == TaskStatus::Placed && position->second.token == result.call.task.token)
        end(position->second, proto::TaskEnded::FAILED_ATTEMPT, "", "the platform refused the start: " + result.message,
            now);
}

void TaskDriver::tick(const std::map<std::string, uint32_t>& urgentSlots, Instant now)
{
    expireProposals(now);
    if (!context_.member || context_.stopping)
        return;
    renewOwned(now);
    takeOver(now);
    if (now >= nextPlan_) {
        nextPlan_ = now + planInterval;
        plan(urgentSlots, now);
    }
}

void TaskDriver::renewOwned(Instant now)
{
    for (const auto& [id, task] : context_.state().tasks) {
        if (task.status != TaskStatus::Placed || task.owner != context_.settings.id || !platformTasks_.count(id))
            continue;
        auto& last = lastRenewal_[id];
        if (now - last < renewInterval)
            continue;
        last = now;
        command(task, TaskCommand::Renew, now);
    }
}

void TaskDriver::takeOver(Instant now)
{
    for (const auto& [id, task] : context_.state().tasks) {
        if (task.status != TaskStatus::Placed || task.owner == context_.settings.id)
            continue;
        bool isMember = context_.state().entries.count(task.owner) > 0;
        if (isMember && peers_.isLive(task.owner, now)) {
            ownerSilentSince_.erase(id);
            continue;
        }
        auto since = ownerSilentSince_.emplace(id, now).first->second;
        auto due = isMember ? since + ownerSilence : since;
        if (!peers_.mayAct("task " + id, due, now)
            || !duties_.mayRepeat(fmt::format("own {}/{}", id, task.token), now, repeatInterval))
            continue;
        proto::Record record;
        record.mutable_task_owner()->set_task_id(id);
        record.mutable_task_owner()->set_expected_token(task.token);
        record.mutable_task_owner()->set_owner(context_.settings.id);
        proposals_.propose(std::move(record), "entry " + task.owner + " is not heard from");
    }
}

void TaskDriver::plan(const std::map<std::string, uint32_t>& urgentSlots, Instant now)
{
    if (peers_.rank("tasks", now) != 0)
        return;
    std::map<std::string, InstanceUsage> usage;
    for (const auto& [id, task] : platformTasks_) {
        if (task.status != PlatformTask::Status::Running && task.status != PlatformTask::Status::Throttled)
            continue;
        usage[task.instance].cores += task.coresUsed;
        usage[task.instance].memoryMegabytes += task.memoryMegabytesUsed;
    }
    for (const auto& [instance, slots] : urgentSlots)
        usage[instance].urgentSlots = slots;
    auto planned = planTasks(context_.state(), usage);
    for (const auto& placement : planned.placements) {
        if (!duties_.mayRepeat(
                fmt::format("place {}/{}", placement.task, placement.expectedToken), now, repeatInterval))
            continue;
        proto::Record record;
        auto* placed = record.mutable_task_placed();
        placed->set_task_id(placement.task);
        placed->set_instance(placement.instance);
        placed->set_expected_epoch(placement.instanceEpoch);
        placed->set_expected_token(placement.expectedToken);
        placed->set_owner(context_.settings.id);
        proposals_.propose(std::move(record), placement.reason, [this](const FoldedRecord& folded) {
            auto task = context_.state().tasks.find(folded.record.task_placed().task_id());
            if (folded.verdict.code == ResultCode::Ok && task != context_.state().tasks.end())
                start(task->second);
        });
    }
    for (const auto& impossible : planned.impossible) {
        auto task = context_.state().tasks.find(impossible.task);
        if (task != context_.state().tasks.end())
            end(task->second, proto::TaskEnded::CANCELLED, "", impossible.reason, now);
    }
    for (const auto& preemption : planned.preemptions) {
        auto task = context_.state().tasks.find(preemption.task);
        if (task == context_.state().tasks.end()
            || !duties_.mayRepeat("preempt " + preemption.task, now, repeatInterval))
            continue;
        logger("tasks")->info(
            "task {} {}: {}", preemption.task, preemption.stop ? "checkpointed" : "throttled", preemption.reason);
        command(task->second, preemption.stop ? TaskCommand::Checkpoint : TaskCommand::Throttle, now);
    }
}

} // namespace shallotdrift
