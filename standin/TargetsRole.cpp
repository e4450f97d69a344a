#include "Roles.h"

namespace shallotdrift::standin {

int runTargetsRole() { return 1; }

} // namespace shallotdrift::standin
