#pragma once

#include "../Base/Time.h"

#include <array>
#include <cstdint>

namespace shallotdrift::internal {

// Average number of slots in use over the last second, in steps of 100 ms.
class UsageWindow {
public:
    // The number in use changes at this moment.
    void set(uint32_t inUse, Instant now);
    uint32_t current() const { return current_; }
    double average(Instant now);

private:
    static constexpr size_t bucketCount = 10;
    static constexpr Duration bucketLength = std::chrono::milliseconds(100);

    void advance(Instant now);

    std::array<double, bucketCount> slotSeconds_ {};
    int64_t bucket_ = 0; // number of the bucket that holds advancedTo_
    Instant advancedTo_ {};
    uint32_t current_ = 0;
};

} // namespace shallotdrift::internal
