#pragma once

#include "HandbookPlan.h"
#include "KeySchema.h"
#include "NodeSettings.h"

#include <vector>

namespace shallotdrift::internal {

// Sections of the settings of an entry instance.
const std::vector<SectionSchema<NodeSettings>>& nodeSections();

const SectionSchema<HandbookPlan>& handbookSection();
// Schemas of the section [step N] of a handbook entry: one for each action, in the order of HandbookStep::Action.
const std::vector<SectionSchema<HandbookStep>>& stepSections();

} // namespace shallotdrift::internal
