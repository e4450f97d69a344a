#include "HandbookPlan.h"

#include "SettingsSchema.h"

#include <fmt/format.h>

namespace shallotdrift {

using internal::IniSection;
using internal::IniText;
using internal::ValidationErrors;

// Keeps an entry short enough for an operator to review before invoking it.
static constexpr size_t maximumSteps = 20;

static HandbookStep readStep(const IniSection& section, ValidationErrors& errors)
{
    const auto& schemas = internal::stepSections();
    HandbookStep step;
    auto action = std::find_if(
        section.keys.begin(), section.keys.end(), [](const internal::IniKey& key) { return key.name == "action"; });
    const auto& actionSchema = schemas.front().keys.front();
    if (action == section.keys.end() || !internal::assignValue(actionSchema, action->value, step)) {
        if (action == section.keys.end())
            errors.addMissingKey(section, actionSchema.key, "expected " + actionSchema.valueFormat.allowedValues());
        else
            errors.add(section, *action, "expected " + actionSchema.valueFormat.allowedValues());
        return step;
    }
    internal::readSection(section, schemas[static_cast<size_t>(step.action)].keys, step, errors);
    if (step.action == HandbookStep::Action::Lend && !step.toPool.empty() && step.fromPool == step.toPool)
        errors.add(section, "from and to must be different pools");
    if (step.action == HandbookStep::Action::Drain && step.zone.empty() && step.pool.empty())
        errors.add(section, "a drain needs a zone or a pool");
    return step;
}

Result<HandbookPlan> parseHandbook(std::string_view ini, std::string_view source)
{
    static constexpr std::string_view stepPrefix = "step ";
    HandbookPlan plan;
    ValidationErrors errors(source);
    auto text = IniText::read(ini, errors);
    if (!text.readable())
        return boost::leaf::new_error(errors.toError(ResultCode::InvalidHandbook));
    for (const auto& section : text.sections()) {
        if (section.name == internal::handbookSection().section) {
            internal::readSection(section, internal::handbookSection().keys, plan, errors);
        } else if (section.name.compare(0, stepPrefix.size(), stepPrefix) == 0) {
            auto expected = fmt::format("step {}", plan.steps.size() + 1);
            if (section.name != expected)
                errors.add(section, fmt::format("steps are numbered from 1 without gaps; expected [{}]", expected));
            plan.steps.push_back(readStep(section, errors));
        } else {
            errors.add(section, "unknown section; known sections are [handbook] and [step N]");
        }
    }
    if (!text.find(internal::handbookSection().section))
        errors.add(text.lineCount(), "[handbook]", "the section is missing");
    if (plan.steps.empty() || plan.steps.size() > maximumSteps)
        errors.add(text.lineCount(), "[step N]",
            fmt::format("1 to {} steps are required, {} are given", maximumSteps, plan.steps.size()));
    if (!errors.empty())
        return boost::leaf::new_error(errors.toError(ResultCode::InvalidHandbook));
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
