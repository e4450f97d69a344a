#pragma once

#include "PeerDirectory.h"

#include <map>
#include <string>

namespace shallotdrift {

// Decides whether this process may act on a subject now: the entry that ranks first acts at once, the next ones when it
// stays away, and nobody acts twice on a subject within an interval.
class DutyLimiter {
public:
    explicit DutyLimiter(const PeerDirectory& peers)
        : peers_(peers)
    {
    }

    // Counts as an act when it returns true.
    bool mayAct(const std::string& subject, Instant now, Duration interval);
    // As mayAct, whatever the rank.
    bool mayRepeat(const std::string& subject, Instant now, Duration interval);
    // When the subject was first asked about.
    Instant dueSince(const std::string& subject, Instant now);
    // The subject is no longer due; its ranks start anew.
    void settled(const std::string& subject) { dueSince_.erase(subject); }

private:
    const PeerDirectory& peers_;
    std::map<std::string, Instant> dueSince_;
    std::map<std::string, Instant> lastAct_;
};

} // namespace shallotdrift
