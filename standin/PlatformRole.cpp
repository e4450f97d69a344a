#include "Roles.h"

namespace shallotdrift::standin {

int runPlatformRole() { return 1; }

} // namespace shallotdrift::standin
