#pragma once

#include "Job.h"

#include <string>
#include <vector>

namespace shallotdrift {

// What a job's records tell, as sentences for operators; tasks that are done or untouched are counted, not listed.
// A job without steps stands for one that has ended and whose specification is gone.
std::vector<std::string> describeJob(const Job&);

} // namespace shallotdrift
