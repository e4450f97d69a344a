#pragma once

#include "../Base/Resources.h"

#include <map>
#include <string>

namespace shallotdrift {

// An account of clients that call with the same keys.
struct ClientAccount {
    std::string name {};
    // What the account's tasks may hold on all workers together; a resource of which this is 0 has no bound.
    Resources quota {};
    // Jobs a second that are due to the account while there is too little room for all; 0: not stated.
    double share = 0;
};

using ClientAccounts = std::map<std::string, ClientAccount>; // by name

} // namespace shallotdrift
