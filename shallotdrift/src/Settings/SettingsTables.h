#pragma once

#include "EntrySettings.h"
#include "FleetConfiguration.h"
#include "HandbookPlan.h"
#include "KeyRule.h"
#include "NodeSettings.h"

#include <vector>

namespace shallotdrift::internal {

// Keys of the settings of an entry instance. [peers] is read apart, because its keys are the names of entries.
const std::vector<SectionRules<EntrySettings>>& entrySections();

// Keys of the settings of an entry instance on the users' platform.
const std::vector<SectionRules<NodeSettings>>& nodeSections();

// Keys of the configuration's sections that carry a name.
const SectionRules<ZoneConfiguration>& zoneSection();
const SectionRules<PoolConfiguration>& poolSection();
const SectionRules<KindConfiguration>& kindSection();
const SectionRules<TeamConfiguration>& teamSection();
const SectionRules<LendingConfiguration>& lendingSection();
const SectionRules<FleetConfiguration>& limitsSection();

const SectionRules<HandbookPlan>& handbookSection();
// Keys of [step N] for each action, in the order of HandbookStep::Action.
const std::vector<SectionRules<HandbookStep>>& stepSections();

} // namespace shallotdrift::internal
