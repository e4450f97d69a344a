#pragma once

#include "HandbookPlan.h"
#include "KeyRule.h"
#include "NodeSettings.h"

#include <vector>

namespace shallotdrift::internal {

// Keys of the settings of an entry instance.
const std::vector<SectionRules<NodeSettings>>& nodeSections();

const SectionRules<HandbookPlan>& handbookSection();
// Keys of [step N] for each action, in the order of HandbookStep::Action.
const std::vector<SectionRules<HandbookStep>>& stepSections();

} // namespace shallotdrift::internal
