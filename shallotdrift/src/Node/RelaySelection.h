#pragma once

#include "../Base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// Chooses the relay from which an entry instance reads the operator's records. Readers are spread over the relays by
// hash; one that failed is left out for a while. After a relay that answered nothing, or several failures in a row, the
// next read goes to the store.
class RelaySelection {
public:
    explicit RelaySelection(std::string reader)
        : reader_(std::move(reader))
    {
    }

    // Returns the relay for the next read, or nullopt if the store is to be read.
    std::optional<std::string> next(const std::vector<std::string>& relays, Instant now);
    // `silent`: the time of a whole request was lost.
    void onFailure(const std::string& relay, bool silent, Instant now);
    // To be called after a successful read, from a relay or from the store.
    void onSuccess() { failures_ = 0; }

private:
    std::string reader_;
    std::map<std::string, Instant> excludedUntil_; // by relay
    size_t failures_ = 0; // of relays since the last successful read
    bool storeDue_ = false;
};

} // namespace shallotdrift::internal
