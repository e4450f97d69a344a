#pragma once

#include "../Base/Time.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>

namespace shallotdrift {

// Something with at most one deadline at a time.
class DeadlineHandler {
public:
    DeadlineHandler() = default;
    DeadlineHandler(const DeadlineHandler&) = delete;
    DeadlineHandler& operator=(const DeadlineHandler&) = delete;
    virtual ~DeadlineHandler() = default;

protected:
    virtual void onDeadline() = 0;

private:
    friend class DeadlineQueue;
    static constexpr Instant never = Instant::max();

    Instant deadline_ = never;
    bool queued_ = false;
    std::multimap<Instant, DeadlineHandler*>::iterator position_;
};

// Deadlines of one Asio thread behind a single timer. Moving a deadline to a later time costs no queue operation.
class DeadlineQueue {
public:
    explicit DeadlineQueue(asio::io_context&);

    void set(DeadlineHandler&, Instant deadline);
    // To be called before the object is destroyed.
    void remove(DeadlineHandler&);

private:
    void arm();
    void fire();

    asio::steady_timer timer_;
    std::multimap<Instant, DeadlineHandler*> queue_;
    Instant armedFor_ = Instant::max();
};

} // namespace shallotdrift
