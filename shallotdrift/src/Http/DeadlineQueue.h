#pragma once

#include "../Base/Time.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>

namespace shallotdrift {

// Base class of objects with a deadline; an object has at most one deadline at a time.
class DeadlineHandler {
public:
    DeadlineHandler() = default;
    DeadlineHandler(const DeadlineHandler&) = delete;
    DeadlineHandler& operator=(const DeadlineHandler&) = delete;
    virtual ~DeadlineHandler() = default;

protected:
    // Called once after the deadline has passed; may set a new deadline.
    virtual void onDeadline() = 0;

private:
    friend class DeadlineQueue;
    static constexpr Instant never = Instant::max();

    Instant deadline_ = never;
    bool queued_ = false;
    std::multimap<Instant, DeadlineHandler*>::iterator position_;
};

// Calls the objects of one Asio thread at their deadlines, with a single timer for all of them. Moving a deadline to a
// later time costs no queue operation. Not thread-safe.
class DeadlineQueue {
public:
    explicit DeadlineQueue(asio::io_context&);

    // Replaces the deadline of the object; Instant::max() means no deadline.
    void set(DeadlineHandler&, Instant deadline);
    // Must be called before an object with a deadline is destroyed.
    void remove(DeadlineHandler&);

private:
    void arm();
    void fire();

    asio::steady_timer timer_;
    std::multimap<Instant, DeadlineHandler*> queue_;
    Instant armedFor_ = Instant::max();
};

} // namespace shallotdrift
