#pragma once

#include "JobTypes.h"

#include <map>
#include <string>

namespace shallotdrift {

// Room that will be free on workers for tasks that fit on none now. Tasks that come later in the order fill the gap
// before it only if they will have ended by then, or leave the reserved room untouched (backfilling). A worker has at
// most one reservation.
class Reservations {
public:
    struct Reservation {
        std::string job {};
        Instant at {}; // when the room is expected to be free
        Resources spare {}; // what remains free then beside the reserved room
        bool active = false; // its job has been reached in the current order and has tasks that do not fit
    };

    void clear() { byWorker_.clear(); }
    // Reservations are kept between two passes through the order, but bind only the jobs after their own.
    void beginPass();
    void activate(const std::string& job);
    void add(const std::string& worker, Reservation);
    bool hasReservation(const std::string& worker) const { return byWorker_.count(worker) != 0; }
    size_t countOf(const std::string& job) const;
    size_t size() const { return byWorker_.size(); }

    // Whether a task of the job may take the resources of the worker until the time given.
    bool allows(const std::string& worker, const std::string& job, const Resources&, Instant endsAt) const;
    // To be called when such a task has been placed.
    void onPlaced(const std::string& worker, const std::string& job, const Resources&, Instant endsAt);

private:
    std::map<std::string, Reservation> byWorker_;
};

} // namespace shallotdrift
