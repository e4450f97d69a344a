#pragma once

#include "../Base/Time.h"

#include <map>
#include <optional>
#include <string>

namespace shallotdrift::internal {

// Which owners have stopped responding. An owner that accepts connections and answers nothing would otherwise keep
// every caller until its timeout, and then with an unknown outcome; a request that is not passed on can be refused as
// not run.
class OwnerContacts {
public:
    // An owner is silent when requests have been open for this time without any response from it.
    explicit OwnerContacts(Milliseconds silenceLimit)
        : silenceLimit_(silenceLimit)
    {
    }

    void onSent(const std::string& owner, Instant now);
    void onResponse(const std::string& owner, Instant now);
    void onNoResponse(const std::string& owner);
    // Stays true until the owner responds, if only to a probe.
    bool isSilent(const std::string& owner, Instant now) const;

private:
    struct Contact {
        size_t openRequests = 0;
        std::optional<Instant> silentSince {}; // last response, or first request after it
    };

    Milliseconds silenceLimit_;
    std::map<std::string, Contact> contacts_; // of owners with open requests or without a response
};

} // namespace shallotdrift::internal
