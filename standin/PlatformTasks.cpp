#include "PlatformTasks.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <sstream>

namespace shallotdrift::standin {

static constexpr size_t maximumTasks = 20000;
static constexpr std::chrono::minutes keepEnded { 10 };
static constexpr int throttleFactor = 4; // a throttled task runs at a quarter of its speed
static constexpr Milliseconds defaultRunTime { 1000 };

PlatformTasks::PlatformTasks(Milliseconds usageLag)
    : usageLag_(usageLag)
{
}

bool PlatformTasks::runs(const State& state)
{
    return state.status == PlatformTask::Status::Running || state.status == PlatformTask::Status::Throttled;
}

void PlatformTasks::end(State& state, PlatformTask::Status status, Instant now)
{
    state.status = status;
    state.endedAt = now;
}

// Brings progress and lease up to the given time.
void PlatformTasks::advance(State& state, Instant now)
{
    if (!runs(state) || now <= state.updatedAt)
        return;
    auto until = std::min(now, state.leaseEnd);
    auto speed = state.status == PlatformTask::Status::Throttled ? throttleFactor : 1;
    if (until > state.updatedAt)
        state.done += (until - state.updatedAt) / speed;
    state.updatedAt = now;
    if (state.done >= state.runTime)
        end(state, state.fails ? PlatformTask::Status::Failed : PlatformTask::Status::Succeeded, now);
    else if (now >= state.leaseEnd)
        end(state, PlatformTask::Status::LeaseLapsed, now);
}

void PlatformTasks::readInput(State& state)
{
    state.runTime = defaultRunTime;
    std::istringstream input(state.start.input);
    for (std::string field; std::getline(input, field, '&');) {
        auto equals = field.find('=');
        if (equals == std::string::npos)
            continue;
        auto name = field.substr(0, equals);
        auto value = std::strtod(field.c_str() + equals + 1, nullptr);
        if (name == "run_ms")
            state.runTime = Milliseconds(static_cast<int64_t>(std::clamp(value, 0.0, 1e9)));
        else if (name == "fail")
            state.fails = value != 0;
        else if (name == "use")
            state.use = std::max(value, 0.0);
    }
}

PlatformTasks::Answer PlatformTasks::start(const TaskStart& start, Instant now)
{
    std::lock_guard lock(mutex_);
    forgetOld(now);
    auto position = tasks_.find(start.id);
    Duration checkpoint { 0 };
    if (position != tasks_.end()) {
        advance(position->second, now);
        if (start.token < position->second.start.token)
            return Answer::OldToken;
        if (start.token == position->second.start.token)
            return Answer::Ok;
        checkpoint = position->second.checkpoint;
    } else if (tasks_.size() >= maximumTasks) {
        return Answer::Full;
    }
    State state;
    state.start = start;
    readInput(state);
    state.done = checkpoint;
    state.checkpoint = checkpoint;
    state.startedAt = now;
    state.updatedAt = now;
    state.leaseEnd = now + start.lease;
    tasks_[start.id] = std::move(state);
    return Answer::Ok;
}

PlatformTasks::Answer PlatformTasks::command(const std::string& id, TaskCommand command, uint64_t token, Instant now)
{
    static constexpr std::array<Action, 4> actions { &PlatformTasks::renew, &PlatformTasks::throttle,
        &PlatformTasks::takeCheckpoint, &PlatformTasks::stop };
    std::lock_guard lock(mutex_);
    auto position = tasks_.find(id);
    if (position == tasks_.end())
        return Answer::UnknownTask;
    auto& state = position->second;
    advance(state, now);
    if (token < state.start.token)
        return Answer::OldToken;
    bool repeated = (command == TaskCommand::Stop && state.stopped)
        || (command == TaskCommand::Checkpoint && state.status == PlatformTask::Status::Checkpointed);
    if (repeated)
        return Answer::Ok;
    if (!runs(state) && command != TaskCommand::Stop)
        return Answer::WrongState;
    state.start.token = token; // a higher token fences the previous owner
    (this->*actions.at(static_cast<size_t>(command)))(state, now);
    return Answer::Ok;
}

void PlatformTasks::renew(State& state, Instant now) { state.leaseEnd = now + state.start.lease; }

void PlatformTasks::throttle(State& state, Instant) { state.status = PlatformTask::Status::Throttled; }

void PlatformTasks::takeCheckpoint(State& state, Instant now)
{
    state.checkpoint = state.done;
    end(state, PlatformTask::Status::Checkpointed, now);
}

void PlatformTasks::stop(State& state, Instant now)
{
    if (!runs(state))
        return;
    state.stopped = true;
    end(state, PlatformTask::Status::LeaseLapsed, now);
}

void PlatformTasks::forgetOld(Instant now)
{
    for (auto task = tasks_.begin(); task != tasks_.end();) {
        bool old = !runs(task->second) && now - task->second.endedAt > keepEnded;
        task = old ? tasks_.erase(task) : std::next(task);
    }
}

PlatformTask PlatformTasks::report(const State& state, Instant now) const
{
    PlatformTask task;
    task.id = state.start.id;
    task.instance = state.start.instance;
    task.token = state.start.token;
    task.status = state.status;
    if (state.status == PlatformTask::Status::Succeeded)
        task.receipt = "done " + state.start.id;
    if (runs(state) && now - state.startedAt >= usageLag_) {
        task.coresUsed = state.start.cores * state.use;
        task.memoryMegabytesUsed = static_cast<uint64_t>(static_cast<double>(state.start.memoryMegabytes) * state.use);
    }
    return task;
}

std::vector<PlatformTask> PlatformTasks::list(Instant now)
{
    std::lock_guard lock(mutex_);
    forgetOld(now);
    std::vector<PlatformTask> tasks;
    for (auto& [id, state] : tasks_) {
        advance(state, now);
        if (!state.stopped)
            tasks.push_back(report(state, now));
    }
    return tasks;
}

void PlatformTasks::extendLeases(Milliseconds length, Instant now)
{
    std::lock_guard lock(mutex_);
    for (auto& [id, state] : tasks_) {
        advance(state, now);
        state.leaseEnd += length;
    }
}

void PlatformTasks::instanceStopped(const std::string& instance, Instant now)
{
    std::lock_guard lock(mutex_);
    for (auto& [id, state] : tasks_) {
        if (state.start.instance != instance)
            continue;
        advance(state, now);
        if (runs(state))
            end(state, PlatformTask::Status::LeaseLapsed, now);
    }
}

} // namespace shallotdrift::standin
