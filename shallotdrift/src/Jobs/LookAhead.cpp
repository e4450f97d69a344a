// Placement that looks ahead: room that will be free soon is reserved for tasks that fit on no worker now.
#include "ServiceScheduler.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallotdrift {

std::string ServiceScheduler::kindOf(const Job& job, uint32_t step)
{
    return fmt::format("{}/{}/{}", job.queue(), step, job.spec().steps[step].image);
}

Instant ServiceScheduler::expectedEnd(const Worker::Run& run, const Now& now) const
{
    if (run.longRunning)
        return Instant::max();
    auto startedAt = run.confirmed ? run.confirmedAt : now.steady;
    int progressPercent = run.startTimeKnown ? run.progressPercent : 0;
    return RunTimes::expectedEnd(startedAt, run.expectedDuration, progressPercent, run.lastProgressAt, now.steady);
}

// The earliest time at which the worker has the room, as far as its runs end as expected; nullopt if it never has. Sets
// *free to what is free at that time.
std::optional<Instant> ServiceScheduler::expectedRoomAt(
    const Worker& worker, const Resources& needed, const Now& now, Resources* free) const
{
    *free = worker.freeResources() - worker.held;
    if (needed.fitsIn(*free))
        return now.steady;
    std::vector<std::pair<Instant, const Worker::Run*>> ends;
    for (const auto& [id, run] : worker.runs)
        if (!run.longRunning)
            ends.emplace_back(expectedEnd(run, now), &run);
    std::sort(ends.begin(), ends.end());
    for (const auto& [end, run] : ends) {
        *free += run->allocated;
        if (needed.fitsIn(*free))
            return end;
    }
    return std::nullopt;
}

// Reserves room for the tasks of a step that could start now, on the workers that are expected to have it first.
void ServiceScheduler::reserveRoom(
    const Job& job, const Occurrence& occurrence, uint32_t step, Candidates& candidates, const Now& now)
{
    static constexpr size_t maximumTasksOfJob = 4;
    reservations_.activate(job.id());
    const auto& spec = job.spec().steps[step];
    auto needed = spec.reservedResources();
    auto isDue = [&](const JobTask& task) { return task.state == TaskState::Waiting && task.notBefore <= now.steady; };
    const auto& tasks = occurrence.steps[step].tasks;
    auto firstDue = std::find_if(tasks.begin(), tasks.end(), isDue);
    if (firstDue == tasks.end() || candidates.isUnreservable(needed) || !withinQuota(job, spec.taskResources))
        return;
    TaskId id { job.id(), occurrence.number, step, static_cast<uint32_t>(firstDue - tasks.begin()) };
    auto due = static_cast<size_t>(std::count_if(tasks.begin(), tasks.end(), isDue));
    for (size_t count = reservations_.countOf(job.id());
         count < std::min(due, maximumTasksOfJob) && reservations_.size() < options_.maximumReservations; ++count) {
        const Worker* best = nullptr;
        Reservations::Reservation reservation;
        for (const auto* worker : candidates.workers) {
            Resources free;
            if (reservations_.hasReservation(worker->info.id) || !hasPlaceFor(*worker, spec, id))
                continue;
            auto at = expectedRoomAt(*worker, needed, now, &free);
            if (!at || (best && *at >= reservation.at))
                continue;
            best = worker;
            reservation = { job.id(), *at, free - needed, true };
        }
        if (!best) {
            if (spec.requiredLabel.empty() && spec.maximumTasksPerWorker == 0)
                candidates.unreservable.push_back(needed);
            return;
        }
        reservations_.add(best->info.id, std::move(reservation));
    }
}

// Expected ends change as runs make progress, so the reservations are made anew at times.
void ServiceScheduler::renewReservations(const Now& now)
{
    static constexpr Milliseconds renewalInterval { 100 };
    reservations_.beginPass();
    if (now.steady - reservationsMadeAt_ < renewalInterval)
        return;
    reservationsMadeAt_ = now.steady;
    reservations_.clear();
}

} // namespace shallotdrift
