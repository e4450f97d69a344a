#include "Reservations.h"

#include <algorithm>

namespace shallotdrift {

void Reservations::beginPass()
{
    for (auto& [worker, reservation] : byWorker_)
        reservation.active = false;
}

void Reservations::activate(const std::string& job)
{
    for (auto& [worker, reservation] : byWorker_)
        reservation.active = reservation.active || reservation.job == job;
}

void Reservations::add(const std::string& worker, Reservation reservation)
{
    byWorker_.insert_or_assign(worker, std::move(reservation));
}

size_t Reservations::countOf(const std::string& job) const
{
    return static_cast<size_t>(
        std::count_if(byWorker_.begin(), byWorker_.end(), [&](const auto& entry) { return entry.second.job == job; }));
}

bool Reservations::allows(
    const std::string& worker, const std::string& job, const Resources& needed, Instant endsAt) const
{
    auto found = byWorker_.find(worker);
    if (found == byWorker_.end())
        return true;
    const auto& reservation = found->second;
    return !reservation.active || reservation.job == job || endsAt <= reservation.at
        || needed.fitsIn(reservation.spare);
}

void Reservations::onPlaced(const std::string& worker, const std::string& job, const Resources& needed, Instant endsAt)
{
    auto found = byWorker_.find(worker);
    if (found == byWorker_.end())
        return;
    if (found->second.job == job)
        byWorker_.erase(found);
    else if (endsAt > found->second.at)
        found->second.spare -= needed;
}

} // namespace shallotdrift
