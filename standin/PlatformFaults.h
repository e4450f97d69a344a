#pragma once

#include "shallotdrift/Base.h"

#include <atomic>
#include <optional>

namespace shallotdrift::standin {

// Faults that a test has asked the platform for.
class PlatformFaults {
public:
    void startOutage(Milliseconds length) { outageUntil_ = BootClock::now() + length; }
    bool outage() const { return BootClock::now() < outageUntil_.load(); }

    void slowDown(Milliseconds delay, Milliseconds length)
    {
        delay_ = delay;
        slowUntil_ = BootClock::now() + length;
    }
    Milliseconds delay() const { return BootClock::now() < slowUntil_.load() ? delay_.load() : Milliseconds(0); }

    void loseAnswers(int count) { answersToLose_ += count; }
    bool takeLostAnswer() { return take(answersToLose_); }

    void duplicateAppends(int count) { appendsToDuplicate_ += count; }
    bool takeDuplicateAppend() { return take(appendsToDuplicate_); }

private:
    static bool take(std::atomic<int>& count)
    {
        int current = count;
        while (current > 0) {
            if (count.compare_exchange_weak(current, current - 1))
                return true;
        }
        return false;
    }

    std::atomic<Instant> outageUntil_ { Instant {} };
    std::atomic<Instant> slowUntil_ { Instant {} };
    std::atomic<Milliseconds> delay_ { Milliseconds(0) };
    std::atomic<int> answersToLose_ { 0 };
    std::atomic<int> appendsToDuplicate_ { 0 };
};

} // namespace shallotdrift::standin
