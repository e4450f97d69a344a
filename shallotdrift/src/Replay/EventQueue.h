#pragma once

#include "../Base/Time.h"

#include <cstdint>
#include <queue>
#include <vector>

namespace shallotdrift::internal {

// Events of a discrete-event simulation. Events of the same time run in the order in which they were scheduled, so
// that a run can be repeated exactly.
class EventQueue {
public:
    Instant now() const { return now_; }

    // Calls (owner->*Handler)(a, b) at the time; times in the past mean now.
    template <auto Handler, typename Owner> void schedule(Instant at, Owner* owner, uint64_t a = 0, uint64_t b = 0)
    {
        auto call = [](void* object, uint64_t first, uint64_t second) {
            (static_cast<Owner*>(object)->*Handler)(first, second);
        };
        events_.push({ at < now_ ? now_ : at, nextSequence_++, call, owner, a, b });
    }

    // Runs all events up to the end.
    void runUntil(Instant end)
    {
        while (!events_.empty() && events_.top().at <= end) {
            Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.call(event.owner, event.a, event.b);
        }
        now_ = end;
    }

private:
    struct Event {
        Instant at;
        uint64_t sequence;
        void (*call)(void*, uint64_t, uint64_t);
        void* owner;
        uint64_t a;
        uint64_t b;

        bool operator<(const Event& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };

    std::priority_queue<Event> events_;
    uint64_t nextSequence_ = 0;
    Instant now_ {};
};

} // namespace shallotdrift::internal
