#include "Roles.h"

namespace shallotdrift::standin {

int runLoadRole() { return 1; }

} // namespace shallotdrift::standin
