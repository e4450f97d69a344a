#pragma once

#include "PoolState.h"
#include "SchedulingRules.h"

namespace shallotdrift::internal {

// Strategy for the order of waiting work.
class AdmissionOrder {
public:
    virtual ~AdmissionOrder() = default;

    // Order within the queue of a kind.
    virtual AdmissionQueue::Earlier earlier() const = 0;
    // Kind whose first request is served next; null when nothing may start.
    virtual KindState* next(const PoolState&, Instant now) const = 0;
    virtual bool refusesEarly() const = 0;
};

const AdmissionOrder& admissionOrder(AdmissionRule);

} // namespace shallotdrift::internal
