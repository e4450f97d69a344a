#include "Roles.h"

namespace shallotdrift::standin {

int runRelayRole() { return 1; }

} // namespace shallotdrift::standin
