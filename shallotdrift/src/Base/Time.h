#pragma once

#include <chrono>
#include <cstdint>

namespace shallotdrift {

using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;

// Monotonic clock that also counts the time for which the process or the system was suspended (CLOCK_BOOTTIME). A lease
// must expire while its holder is suspended; steady_clock stops during a system suspend and would not show it.
struct BootClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the Clock requirements
    static time_point now() noexcept;
};

using Instant = BootClock::time_point;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

inline WallTime wallNow() { return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now()); }

inline WallTime wallTimeFromUnix(Milliseconds sinceEpoch) { return WallTime { sinceEpoch }; }

inline int64_t unixMilliseconds(WallTime time) { return time.time_since_epoch().count(); }

} // namespace shallotdrift
