#pragma once

#include "../Base/Time.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>

namespace shallotdrift {

// Something with at most one deadline at a time.
class Expiring {
public:
    Expiring() = default;
    Expiring(const Expiring&) = delete;
    Expiring& operator=(const Expiring&) = delete;
    virtual ~Expiring() = default;

protected:
    virtual void expired() = 0;

private:
    friend class DeadlineQueue;
    static constexpr Instant never = Instant::max();

    Instant deadline_ = never;
    bool queued_ = false;
    std::multimap<Instant, Expiring*>::iterator position_;
};

// Deadlines of one Asio thread behind a single timer. Moving a deadline to a later time costs no queue operation.
class DeadlineQueue {
public:
    explicit DeadlineQueue(asio::io_context&);

    void set(Expiring&, Instant deadline);
    // To be called before the object is destroyed.
    void remove(Expiring&);

private:
    void arm();
    void fire();

    asio::steady_timer timer_;
    std::multimap<Instant, Expiring*> queue_;
    Instant armedFor_ = Instant::max();
};

} // namespace shallotdrift
