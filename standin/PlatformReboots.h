#pragma once

#include "PlatformFleet.h"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace shallotdrift::standin {

// Carries out accepted reboots at the targets, on threads of its own; a target that cannot be reached is tried again.
class PlatformReboots {
public:
    // Asks the target to drain and reboot; returns whether it has.
    using Call = std::function<bool(const Reboot&)>;

    PlatformReboots(PlatformFleet&, Call, size_t threads);
    ~PlatformReboots();
    PlatformReboots(const PlatformReboots&) = delete;
    PlatformReboots& operator=(const PlatformReboots&) = delete;

    void add(Reboot);

private:
    struct Pending {
        Reboot reboot;
        Instant notBefore;
    };

    void run();
    bool takeDue(Pending&);

    PlatformFleet& fleet_;
    const Call call_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Pending> pending_;
    bool stopped_ = false;
    std::vector<std::thread> threads_;
};

// Calls the control port of a target stand-in over HTTP.
bool rebootTarget(const Reboot&);

} // namespace shallotdrift::standin
