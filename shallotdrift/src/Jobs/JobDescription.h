#pragma once

#include "Job.h"

#include <string>
#include <vector>

namespace shallotdrift {

// Describes a job's state for operators, as a list of phrases. Tasks that are completed or have never been placed are
// only counted; the others are listed, up to a limit. A job without steps is described as an ended job whose
// specification is no longer stored.
std::vector<std::string> describeJob(const Job&);

} // namespace shallotdrift
