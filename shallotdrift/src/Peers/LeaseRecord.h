#pragma once

#include "../Base/Time.h"
#include "../Fold/FleetState.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift::internal {

struct Closing;

// What a gate knows of one process that holds, or held, its leases.
class LeaseRecord {
public:
    void granted(Offset gateOffset, Instant now);

    // Notes a report of the holder: it has folded up to the offset, and has work in flight on the busy ones alone of
    // the closing instances. It will never again send to an instance whose closing it has folded, so that the report
    // stays true however late it arrives.
    void reported(Offset folded, const std::set<std::string>& busy, const std::vector<Closing>&);

    // Whether the holder has no work in flight under the epoch that the closing ends, and can start none. Leases that
    // were granted at or past the closing are harmless: they count only after the holder has folded it.
    bool clearOf(const Closing&, Instant now, Duration holdTime) const;

    // Whether no lease can have an effect any more.
    bool expired(Instant now, Duration holdTime) const;
    void forgetExpired(Instant now, Duration holdTime);

private:
    struct Grant {
        Offset gateOffset;
        Instant at; // the last of the grants with this offset
    };

    std::deque<Grant> grants_; // oldest first
    std::map<std::string, Offset> clearedUpTo_; // closings of an instance, by offset
};

} // namespace shallotdrift::internal
