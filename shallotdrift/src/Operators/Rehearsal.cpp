#include "Rehearsal.h"

#include "ChangeOutcome.h"
#include "PoolFigures.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace shallotdrift::internal {

// Stands for the change id in the ids of rehearsed moves and waves.
static constexpr const char* rehearsalId = "rehearsal";

// What a rehearsal copies from the state.
struct RehearsalInput {
    std::optional<FoldTrial> trial;
    uint64_t version = 0;
    std::string ini;
};

static Result<void> selectVersion(const HandbookEntry& entry, uint64_t version, RehearsalInput& input)
{
    bool approved = entry.approvedVersion && (!version || version == entry.approvedVersion);
    bool newest = !approved && (!version || version == entry.version);
    if (!approved && !newest)
        return fail(ResultCode::NotFound,
            fmt::format("version {} is not kept; version {} is the newest, version {} is approved", version,
                entry.version, entry.approvedVersion));
    input.version = approved ? entry.approvedVersion : entry.version;
    input.ini = approved ? entry.approvedIni : entry.ini;
    return {};
}

static Result<RehearsalInput> readInput(EntryAccess& access, const proto::RehearseRequest& request)
{
    RehearsalInput input;
    std::optional<HandbookEntry> entry;
    access.readState([&](const FleetState& state, Offset) {
        input.trial.emplace(state);
        auto position = state.handbooks.find(request.name());
        if (position != state.handbooks.end())
            entry = position->second;
    });
    if (!input.trial)
        return fail(ResultCode::Stopping, "this entry instance is stopping; ask another one");
    if (!entry)
        return fail(ResultCode::NotFound, fmt::format("there is no handbook entry {}", request.name()));
    BOOST_LEAF_CHECK(selectVersion(*entry, request.version(), input));
    return input;
}

// Plays a wave forward on the trial as its driver would: maintenances that the fold accepts now and, for a drain, their
// ends and the maintenances that can follow.
class WaveRehearsal {
public:
    WaveRehearsal(FoldTrial& trial, const std::string& wave)
        : trial_(trial)
        , wave_(wave)
    {
    }

    std::string run()
    {
        size_t all = wave().pending.size();
        size_t started = startPending();
        if (!wave().keepDrained)
            return fmt::format(
                "{} of {} instances start at once, the others as the budgets and racks allow", started, all);
        while (started) {
            finishActive();
            started = startPending();
        }
        return fmt::format(
            "{} of {} instances can be drained; the budgets keep the others in service", wave().done.size(), all);
    }

private:
    const Wave& wave() const { return trial_.state().waves.at(wave_); }

    size_t startPending()
    {
        size_t started = 0;
        const auto pending = wave().pending;
        for (const auto& instance : pending) {
            proto::Record record;
            auto& body = *record.mutable_maintenance_started();
            body.set_wave_id(wave_);
            body.set_instance(instance);
            body.set_expected_epoch(trial_.state().instances.at(instance).epoch);
            started += trial_.apply(record).code == ResultCode::Ok ? 1 : 0;
        }
        return started;
    }

    void finishActive()
    {
        const auto active = wave().active;
        for (const auto& [instance, maintenance] : active) {
            for (const auto& gate : maintenance.pendingGates)
                acknowledge(instance, gate);
            proto::Record record;
            auto& body = *record.mutable_maintenance_done();
            body.set_wave_id(wave_);
            body.set_instance(instance);
            body.set_completed(true);
            trial_.apply(record);
        }
    }

    void acknowledge(const std::string& instance, const std::string& gate)
    {
        auto boot = trial_.state().entries.at(gate).boot;
        proto::Record record;
        record.mutable_id()->set_writer(gate);
        record.mutable_id()->set_boot(boot);
        auto& body = *record.mutable_close_acknowledged();
        body.set_operation_id(wave_ + "/" + instance);
        body.set_entry(gate);
        body.set_boot(boot);
        trial_.apply(record);
    }

    FoldTrial& trial_;
    const std::string& wave_;
};

static void addStep(const PlannedStep& planned, FoldTrial& trial, proto::RehearseReply& reply)
{
    auto& step = *reply.add_steps();
    step.set_action(planned.action);
    step.set_result_code(static_cast<uint32_t>(planned.expected.code));
    step.set_message(textOf(planned.expected));
    bool startsWave = planned.record && planned.record->has_wave_started();
    if (startsWave && planned.expected.code == ResultCode::Ok)
        step.set_message(WaveRehearsal(trial, planned.id).run());
}

static void addBudgets(const std::map<std::string, PoolFigures>& before,
    const std::map<std::string, PoolFigures>& after, proto::RehearseReply& reply)
{
    for (const auto& [name, figures] : before) {
        auto& line = *reply.add_budgets();
        line.set_pool(name);
        line.set_minimum(figures.minimum);
        line.set_available_before(figures.available);
        line.set_available_after(after.at(name).available);
    }
}

static proto::RehearseReply rehearsePlan(const HandbookPlan& plan, RehearsalInput& input)
{
    proto::RehearseReply reply;
    const auto before = figuresOfPools(input.trial->state());
    const OperatorChange change { rehearsalId, rehearsalId, {} };
    StepPlanner planner(*input.trial, change, rehearsalId);
    for (size_t i = 0; i < plan.steps.size(); ++i) {
        for (const auto& planned : planner.plan(plan.steps[i], fmt::format("{}.s{}", rehearsalId, i + 1)))
            addStep(planned, *input.trial, reply);
    }
    addBudgets(before, figuresOfPools(input.trial->state()), reply);
    reply.set_version(input.version);
    reply.set_message(fmt::format("rehearsal of version {}: nothing was submitted", input.version));
    return reply;
}

proto::RehearseReply rehearse(EntryAccess& access, const proto::RehearseRequest& request)
{
    return handleError(
        [&]() -> Result<proto::RehearseReply> {
            BOOST_LEAF_AUTO(input, readInput(access, request));
            BOOST_LEAF_AUTO(plan, parseHandbook(input.ini, request.name()));
            return rehearsePlan(plan, input);
        },
        [&](const Error& error) {
            proto::RehearseReply reply;
            reply.set_result_code(static_cast<uint32_t>(error.code));
            reply.set_message(error.message);
            return reply;
        });
}

} // namespace shallotdrift::internal
