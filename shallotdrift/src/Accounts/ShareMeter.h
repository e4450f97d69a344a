#pragma once

#include "../Base/Time.h"
#include "ClientAccount.h"

#include <string>
#include <unordered_map>

namespace shallotdrift {

// Tells which jobs of an account are within its share, by the jobs that one service gets. An account whose jobs go to
// several services may get more than its share in all, but never less.
class ShareMeter {
public:
    // An account that is not in the list, or without a share, has no limit.
    void setAccounts(const ClientAccounts&);
    // Counts a job. False if it is beyond the share.
    bool take(const std::string& account, Instant now);

private:
    struct Bucket { // of tokens, one for each job within the share
        double share = 0;
        double tokens = 0;
        Instant filledAt {};
    };

    std::unordered_map<std::string, Bucket> buckets_;
};

} // namespace shallotdrift
