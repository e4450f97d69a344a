#include "Roles.h"

namespace shallotdrift::standin {

int runCheckRole() { return 1; }

} // namespace shallotdrift::standin
