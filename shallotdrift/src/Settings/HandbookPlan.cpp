#include "HandbookPlan.h"

#include "SettingsSchema.h"

#include <fmt/format.h>

namespace shallotdrift {

using internal::IniSection;
using internal::IniText;
using internal::ValidationErrors;

// An operator has to grasp an entry at a glance before invoking it.
static constexpr size_t maximumSteps = 20;

static HandbookStep readStep(const IniSection& section, ValidationErrors& mistakes)
{
    const auto& tables = internal::stepSections();
    HandbookStep step;
    auto action = std::find_if(
        section.keys.begin(), section.keys.end(), [](const internal::IniKey& key) { return key.name == "action"; });
    const auto& actionRule = tables.front().keys.front();
    if (action == section.keys.end() || !internal::assignValue(actionRule, action->value, step)) {
        if (action == section.keys.end())
            mistakes.addMissingKey(section, actionRule.key, "required is " + actionRule.valueFormat.allowedValues());
        else
            mistakes.add(section, *action, "allowed is " + actionRule.valueFormat.allowedValues());
        return step;
    }
    internal::readSection(section, tables[static_cast<size_t>(step.action)].keys, step, mistakes);
    if (step.action == HandbookStep::Action::Lend && !step.toPool.empty() && step.fromPool == step.toPool)
        mistakes.add(section, "from and to have to be different pools");
    if (step.action == HandbookStep::Action::Drain && step.zone.empty() && step.pool.empty())
        mistakes.add(section, "a drain needs a zone or a pool");
    return step;
}

Result<HandbookPlan> parseHandbook(std::string_view ini, std::string_view source)
{
    static constexpr std::string_view stepPrefix = "step ";
    HandbookPlan plan;
    ValidationErrors mistakes(source);
    auto text = IniText::read(ini, mistakes);
    if (!text.readable())
        return boost::leaf::new_error(mistakes.toError(ResultCode::InvalidHandbook));
    for (const auto& section : text.sections()) {
        if (section.name == internal::handbookSection().section) {
            internal::readSection(section, internal::handbookSection().keys, plan, mistakes);
        } else if (section.name.compare(0, stepPrefix.size(), stepPrefix) == 0) {
            auto expected = fmt::format("step {}", plan.steps.size() + 1);
            if (section.name != expected)
                mistakes.add(
                    section, fmt::format("steps are numbered from 1 without gaps; expected is [{}]", expected));
            plan.steps.push_back(readStep(section, mistakes));
        } else {
            mistakes.add(section, "unknown section; known sections are [handbook] and [step N]");
        }
    }
    if (!text.find(internal::handbookSection().section))
        mistakes.add(text.lineCount(), "[handbook]", "the section is missing");
    if (plan.steps.empty() || plan.steps.size() > maximumSteps)
        mistakes.add(text.lineCount(), "[step N]",
            fmt::format("1 to {} steps are required, {} are given", maximumSteps, plan.steps.size()));
    if (!mistakes.empty())
        return boost::leaf::new_error(mistakes.toError(ResultCode::InvalidHandbook));
    return plan;
}

std::vector<std::string> unknownPoolsAndZones(
    const HandbookPlan& plan, const std::set<std::string>& pools, const std::set<std::string>& zones)
{
    std::vector<std::string> unknown;
    for (size_t i = 0; i < plan.steps.size(); ++i) {
        const auto& step = plan.steps[i];
        for (const auto& pool : { step.fromPool, step.toPool, step.pool })
            if (!pool.empty() && pools.count(pool) == 0)
                unknown.push_back(fmt::format("[step {}] names pool {}, which the fleet does not have", i + 1, pool));
        if (!step.zone.empty() && zones.count(step.zone) == 0)
            unknown.push_back(fmt::format("[step {}] names zone {}, which the fleet does not have", i + 1, step.zone));
    }
    return unknown;
}

} // namespace shallotdrift
