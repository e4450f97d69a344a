#pragma once

#include "../Base/Time.h"

#include <cstdint>

namespace shallotdrift::internal {

// Slots of one instance that this entry may use: its share, and beyond it what other entries leave unused.
// Borrowing is optimistic, because a full instance answers "busy, not run". Each such answer lowers the limit to what
// is in flight, and the limit rises again with time.
class SlotShare {
public:
    void setSlots(uint32_t slots) { slots_ = slots; }
    // Fraction of the slots that belong to this entry, by demand.
    void setFraction(double);

    uint32_t slots() const { return slots_; }
    uint32_t share() const { return share_; }
    // Never above the slots of the instance.
    uint32_t limit(Instant now) const;
    bool blocked(Instant now) const { return now < blockedUntil_; }

    void recordBusy(uint32_t inFlight, Instant now);
    void recordAnswer() { busyInRow_ = 0; }

private:
    uint32_t slots_ = 0;
    uint32_t share_ = 0;
    uint32_t ceiling_ = UINT32_MAX;
    uint32_t busyInRow_ = 0;
    Instant loweredAt_ {};
    Instant blockedUntil_ {};
};

} // namespace shallotdrift::internal
