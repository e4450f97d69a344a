#include "StepPlanner.h"

#include "PoolFigures.h"

#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>

namespace shallotdrift::internal {

PlannedStep PlannedStep::refused(std::string action, ResultCode code, std::string message)
{
    return { {}, std::move(action), std::nullopt, { code, std::move(message) } };
}

StepPlanner::StepPlanner(FoldTrial& trial, const OperatorChange& change, std::string invocationId)
    : trial_(trial)
    , change_(change)
    , invocationId_(std::move(invocationId))
{
}

std::vector<PlannedStep> StepPlanner::plan(const HandbookStep& step, const std::string& idPrefix) const
{
    using Planner = std::vector<PlannedStep> (StepPlanner::*)(const HandbookStep&, const std::string&) const;
    // In the order of HandbookStep::Action.
    static constexpr std::array<Planner, 4> planners {
        &StepPlanner::planLend,
        &StepPlanner::planReturn,
        &StepPlanner::planDrain,
        &StepPlanner::planWave,
    };
    return (this->*planners[static_cast<size_t>(step.action)])(step, idPrefix);
}

std::vector<PlannedStep> StepPlanner::plan(const HandbookPlan& handbook) const
{
    std::vector<PlannedStep> steps;
    for (size_t i = 0; i < handbook.steps.size(); ++i) {
        for (auto& step : plan(handbook.steps[i], fmt::format("{}.s{}", change_.id, i + 1)))
            steps.push_back(std::move(step));
    }
    return steps;
}

PlannedStep StepPlanner::tried(PlannedStep step) const
{
    step.expected = trial_.apply(*step.record);
    return step;
}

PlannedStep StepPlanner::move(const std::string& id, const std::string& toPool, const std::string& moveId) const
{
    const auto& instance = trial_.state().instances.at(id);
    PlannedStep step { moveId, fmt::format("move {} from {} to {}", id, instance.pool, toPool), change_.record(), {} };
    auto& body = *step.record->mutable_move_proposed();
    body.set_move_id(moveId);
    body.set_instance(id);
    body.set_expected_epoch(instance.epoch);
    body.set_to_pool(toPool);
    body.set_invocation_id(invocationId_);
    return tried(std::move(step));
}

// What forbids lending from and to the pools of the step, whatever their instances do.
static Verdict checkLending(const HandbookStep& step, const FleetConfiguration& configuration)
{
    for (const auto& name : { step.toPool, step.fromPool }) {
        if (!name.empty() && !configuration.pools.count(name))
            return { ResultCode::NotFound, "the configuration has no pool " + name };
    }
    if (!configuration.pools.count(step.toPool) || step.fromPool == step.toPool)
        return { ResultCode::InvalidCommand, "a pool that borrows is required, other than the one that lends" };
    if (!configuration.pools.at(step.toPool).borrows)
        return { ResultCode::WrongState, fmt::format("pool {} may not borrow (borrows = no)", step.toPool) };
    if (!step.fromPool.empty() && !configuration.pools.at(step.fromPool).lends)
        return { ResultCode::WrongState, fmt::format("pool {} may not lend (lends = no)", step.fromPool) };
    return {};
}

static Verdict lackOfLenders(const HandbookStep& step, const FleetState& state)
{
    if (step.fromPool.empty())
        return { ResultCode::BudgetExceeded, "no pool has an instance that planned work may take now" };
    auto figures = figuresOfPools(state).at(step.fromPool);
    auto text = fmt::format("pool {}: {} available, minimum {}", step.fromPool, figures.available, figures.minimum);
    if (!figures.allowsPlannedWork())
        return { ResultCode::BudgetExceeded, text };
    return { ResultCode::FailureDomainBusy,
        text + "; planned work takes one rack of a pool at a time, so ask for the rest once its moves have ended" };
}

std::vector<PlannedStep> StepPlanner::planLend(const HandbookStep& step, const std::string& idPrefix) const
{
    const auto from = step.fromPool.empty() ? std::string("any pool") : step.fromPool;
    auto verdict = checkLending(step, trial_.state().configuration);
    if (verdict.code != ResultCode::Ok)
        return { PlannedStep::refused(
            fmt::format("lend {} from {} to {}", step.count, from, step.toPool), verdict.code, verdict.figures) };
    std::vector<PlannedStep> steps;
    while (steps.size() < step.count) {
        const auto* instance = pickLender(trial_.state(), step.fromPool, step.toPool);
        if (!instance)
            break;
        steps.push_back(move(instance->id, step.toPool, fmt::format("{}.{}", idPrefix, steps.size() + 1)));
        if (steps.back().expected.code != ResultCode::Ok)
            break;
    }
    if (steps.size() < step.count) {
        auto lack = lackOfLenders(step, trial_.state());
        steps.push_back(PlannedStep::refused(
            fmt::format("lend {} more from {} to {}", step.count - steps.size(), from, step.toPool), lack.code,
            lack.figures));
    }
    return steps;
}

std::vector<PlannedStep> StepPlanner::planReturn(const HandbookStep& step, const std::string& idPrefix) const
{
    std::vector<std::pair<std::string, std::string>> lent; // with their home pools
    for (const auto& [id, instance] : trial_.state().instances) {
        if (instance.lent() && (step.pool.empty() || instance.pool == step.pool))
            lent.emplace_back(id, instance.homePool);
    }
    std::vector<PlannedStep> steps;
    steps.reserve(lent.size() + 1);
    for (const auto& [id, homePool] : lent)
        steps.push_back(move(id, homePool, fmt::format("{}.{}", idPrefix, id)));
    if (steps.empty())
        steps.push_back(PlannedStep::refused(
            fmt::format("return lent instances of {}", step.pool.empty() ? "all pools" : "pool " + step.pool),
            ResultCode::NothingToDo, "no instance is lent"));
    return steps;
}

PlannedStep StepPlanner::planSelection(const HandbookStep& step, const std::string& id, bool keepDrained) const
{
    auto action = fmt::format("{} {} of {}", keepDrained ? "drain" : "maintain",
        step.pool.empty() ? "all pools" : "pool " + step.pool, step.zone.empty() ? "all zones" : "zone " + step.zone);
    PlannedStep planned { id, action, change_.record(), {} };
    auto& body = *planned.record->mutable_wave_started();
    body.set_wave_id(id);
    body.set_zone(step.zone);
    body.set_pool(step.pool);
    body.set_max_parallel(step.maximumParallel);
    body.set_invocation_id(invocationId_);
    body.set_keep_drained(keepDrained);
    return tried(std::move(planned));
}

std::vector<PlannedStep> StepPlanner::planDrain(const HandbookStep& step, const std::string& id) const
{
    return { planSelection(step, id, true) };
}

std::vector<PlannedStep> StepPlanner::planWave(const HandbookStep& step, const std::string& id) const
{
    return { planSelection(step, id, false) };
}

PlannedStep StepPlanner::planDrainOfInstances(const std::vector<std::string>& instances) const
{
    PlannedStep planned { change_.id, fmt::format("drain {}", fmt::join(instances, ", ")), change_.record(), {} };
    auto& body = *planned.record->mutable_wave_started();
    body.set_wave_id(change_.id);
    body.set_keep_drained(true);
    for (const auto& instance : instances)
        body.add_instances(instance);
    return tried(std::move(planned));
}

} // namespace shallotdrift::internal
