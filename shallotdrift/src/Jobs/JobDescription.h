#pragma once

#include "Job.h"

#include <string>
#include <vector>

namespace shallotdrift {

// Describes a job's state in sentences for operators. Tasks that are completed or have never been placed are counted;
// the others are listed, up to a limit. A job without steps is taken as an ended one whose specification is no longer
// stored.
std::vector<std::string> describeJob(const Job&);

} // namespace shallotdrift
