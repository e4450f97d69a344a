#include "OperatorHandler.h"

#include "../Settings/FleetConfiguration.h"
#include "../Settings/HandbookPlan.h"
#include "../Settings/ValueForm.h"
#include "ChangeRunner.h"
#include "Explainer.h"
#include "HandbookInvocation.h"
#include "Rehearsal.h"
#include "StatusPage.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <optional>

namespace shallotdrift {

using internal::ChangeRunner;
using internal::FoldTrial;
using internal::OperatorChange;
using internal::PlannedStep;
using internal::StepPlanner;

static constexpr uint32_t defaultAuditLimit = 50;

// Message of the parser's error; empty when the text is valid.
template <typename Parse> static std::string mistakesOf(Parse&& parse)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parse());
            return std::string();
        },
        [](const Error& error) { return error.message; });
}

static std::vector<PlannedStep> refusedSteps(std::string action, ResultCode code, std::string message)
{
    return { PlannedStep::refused(std::move(action), code, std::move(message)) };
}

// Change of a single record, which the lambda fills in.
template <typename Fill>
static std::vector<PlannedStep> singleRecord(const OperatorChange& change, std::string action, Fill&& fill)
{
    PlannedStep step { {}, std::move(action), change.record(), {} };
    fill(*step.record);
    return { step };
}

// Change that one step of the handbook's kind describes.
static proto::ChangeReply runStep(ChangeRunner runner, const proto::Change& change, const HandbookStep& step)
{
    std::optional<FoldTrial> trial;
    return runner.run(
        change, [&](const FleetState& state) { trial.emplace(state); },
        [&](const OperatorChange& checked) { return StepPlanner(*trial, checked, {}).plan(step, checked.id); },
        [&](const std::string& changeId, const FleetState& state) {
            auto outcome = internal::earlierOutcome(changeId, state);
            if (outcome)
                internal::addRemainder(step, changeId, *outcome);
            return outcome;
        });
}

OperatorHandler::OperatorHandler(EntryAccess& entry, Milliseconds submitTimeout)
    : entry_(entry)
    , submitTimeout_(submitTimeout)
{
}

proto::StatusReply OperatorHandler::status(const proto::StatusRequest&)
{
    proto::StatusReply reply;
    entry_.readState(
        [&](const FleetState& state, Offset offset) { internal::fillStatusFromState(state, offset, reply); });
    entry_.fillStatus(reply);
    return reply;
}

proto::ExplainReply OperatorHandler::explain(const proto::ExplainRequest& request)
{
    proto::ExplainReply reply;
    auto code = ResultCode::Ok;
    entry_.readState(
        [&](const FleetState& state, Offset) { code = internal::explainSubject(request.subject(), state, reply); });
    if (code != ResultCode::InvalidCommand) {
        for (auto& fact : entry_.localFacts(request.subject()))
            reply.add_facts(std::move(fact));
    }
    if (code == ResultCode::NotFound && reply.facts_size())
        code = ResultCode::Ok;
    reply.set_result_code(static_cast<uint32_t>(code));
    if (code == ResultCode::InvalidCommand)
        reply.set_message("a subject is written as TYPE NAME; types are " + internal::explainableTypes());
    else if (code == ResultCode::NotFound)
        reply.set_message(fmt::format("nothing is known of {}", request.subject()));
    return reply;
}

proto::AuditReply OperatorHandler::audit(const proto::AuditRequest& request)
{
    proto::AuditReply reply;
    const int limit
        = static_cast<int>(std::min<uint32_t>(request.limit() ? request.limit() : defaultAuditLimit, INT32_MAX));
    entry_.readState([&](const FleetState& state, Offset) {
        for (auto event = state.audit.rbegin(); event != state.audit.rend() && reply.events_size() < limit; ++event) {
            if (request.subject().empty() || event->subject == request.subject())
                *reply.add_events() = internal::auditLineOf(*event);
        }
    });
    return reply;
}

static proto::HandbookEntry handbookEntryOf(const HandbookEntry& entry)
{
    proto::HandbookEntry result;
    result.set_name(entry.name);
    result.set_version(entry.version);
    result.set_approved_version(entry.approvedVersion);
    result.set_author(entry.author);
    result.set_reviewer(entry.reviewer);
    return result;
}

proto::ListHandbookReply OperatorHandler::listHandbook(const proto::ListHandbookRequest&)
{
    proto::ListHandbookReply reply;
    entry_.readState([&](const FleetState& state, Offset) {
        for (const auto& [name, entry] : state.handbooks)
            *reply.add_entries() = handbookEntryOf(entry);
    });
    return reply;
}

proto::HandbookEntry OperatorHandler::showHandbook(const proto::ShowHandbookRequest& request)
{
    proto::HandbookEntry reply;
    reply.set_name(request.name());
    reply.set_result_code(static_cast<uint32_t>(ResultCode::NotFound));
    reply.set_message(fmt::format("there is no handbook entry {}", request.name()));
    entry_.readState([&](const FleetState& state, Offset) {
        auto entry = state.handbooks.find(request.name());
        if (entry == state.handbooks.end())
            return;
        reply = handbookEntryOf(entry->second);
        reply.set_ini(entry->second.ini);
        reply.set_approved_ini(entry->second.approvedIni);
    });
    return reply;
}

proto::ChangeReply OperatorHandler::proposeHandbook(const proto::ProposeHandbookRequest& request)
{
    FleetConfiguration configuration;
    return ChangeRunner(entry_, submitTimeout_)
        .run(
            request.change(), [&](const FleetState& state) { configuration = state.configuration; },
            [&](const OperatorChange& change) {
                auto action = fmt::format(
                    "propose version {} of handbook entry {}", request.expected_version() + 1, request.name());
                if (!internal::isName(request.name()))
                    return refusedSteps(action, ResultCode::InvalidHandbook,
                        "the name has to be " + internal::ValueForm::name().allowed());
                auto mistakes = mistakesOf([&]() -> Result<void> {
                    BOOST_LEAF_AUTO(plan, parseHandbook(request.ini(), request.name()));
                    auto unknown = unknownNames(plan, configuration);
                    return unknown.empty() ? Result<void>() : fail(ResultCode::InvalidHandbook, unknown.front());
                });
                if (!mistakes.empty())
                    return refusedSteps(action, ResultCode::InvalidHandbook, mistakes);
                return singleRecord(change, action, [&](proto::Record& record) {
                    auto& body = *record.mutable_handbook_proposed();
                    body.set_name(request.name());
                    body.set_expected_version(request.expected_version());
                    body.set_ini(request.ini());
                    body.set_author(change.operatorName);
                });
            });
}

proto::ChangeReply OperatorHandler::reviewHandbook(const proto::ReviewHandbookRequest& request)
{
    return ChangeRunner(entry_, submitTimeout_)
        .run(
            request.change(), [](const FleetState&) {},
            [&](const OperatorChange& change) {
                auto action = fmt::format("{} version {} of handbook entry {}",
                    request.approved() ? "approve" : "reject", request.version(), request.name());
                return singleRecord(change, action, [&](proto::Record& record) {
                    auto& body = *record.mutable_handbook_reviewed();
                    body.set_name(request.name());
                    body.set_version(request.version());
                    body.set_reviewer(change.operatorName);
                    body.set_approved(request.approved());
                });
            });
}

proto::RehearseReply OperatorHandler::rehearse(const proto::RehearseRequest& request)
{
    return internal::rehearse(entry_, request);
}

proto::ChangeReply OperatorHandler::invoke(const proto::InvokeRequest& request)
{
    return internal::HandbookInvocation(entry_, submitTimeout_).run(request);
}

proto::ChangeReply OperatorHandler::lend(const proto::LendRequest& request)
{
    // The upper bound of a handbook step's count holds for direct calls too.
    static constexpr uint32_t maximumCount = 1000;
    if (request.count() < 1 || request.count() > maximumCount)
        return internal::refusal(request.change().change_id(), ResultCode::InvalidCommand,
            fmt::format("the count has to be from 1 to {}", maximumCount));
    HandbookStep step;
    step.action = HandbookStep::Action::Lend;
    step.fromPool = request.from_pool();
    step.toPool = request.to_pool();
    step.count = request.count();
    return runStep({ entry_, submitTimeout_ }, request.change(), step);
}

proto::ChangeReply OperatorHandler::returnLent(const proto::ReturnLentRequest& request)
{
    HandbookStep step;
    step.action = HandbookStep::Action::ReturnLent;
    step.pool = request.pool();
    return runStep({ entry_, submitTimeout_ }, request.change(), step);
}

proto::ChangeReply OperatorHandler::drain(const proto::DrainRequest& request)
{
    if (request.zone().empty() == (request.instances_size() == 0))
        return internal::refusal(
            request.change().change_id(), ResultCode::InvalidCommand, "a drain needs either a zone or instances");
    HandbookStep step;
    step.action = HandbookStep::Action::Drain;
    step.zone = request.zone();
    if (!step.zone.empty())
        return runStep({ entry_, submitTimeout_ }, request.change(), step);
    std::optional<FoldTrial> trial;
    std::vector<std::string> instances(request.instances().begin(), request.instances().end());
    return ChangeRunner(entry_, submitTimeout_)
        .run(
            request.change(), [&](const FleetState& state) { trial.emplace(state); },
            [&](const OperatorChange& change) {
                return std::vector<PlannedStep> { StepPlanner(*trial, change, {}).planDrainOfInstances(instances) };
            });
}

proto::ChangeReply OperatorHandler::startWave(const proto::StartWaveRequest& request)
{
    HandbookStep step;
    step.action = HandbookStep::Action::Wave;
    step.zone = request.zone();
    step.pool = request.pool();
    step.maximumParallel = request.max_parallel();
    return runStep({ entry_, submitTimeout_ }, request.change(), step);
}

proto::ChangeReply OperatorHandler::changeWave(const proto::ChangeWaveRequest& request)
{
    struct ActionName {
        std::string_view name;
        proto::WaveChanged::Change change;
    };
    static constexpr std::array<ActionName, 3> actions { {
        { "pause", proto::WaveChanged::PAUSE },
        { "resume", proto::WaveChanged::RESUME },
        { "abort", proto::WaveChanged::ABORT },
    } };
    bool known = false;
    return ChangeRunner(entry_, submitTimeout_)
        .run(
            request.change(), [&](const FleetState& state) { known = state.waves.count(request.wave_id()) > 0; },
            [&](const OperatorChange& change) {
                auto text = fmt::format("{} wave {}", request.action(), request.wave_id());
                auto action = std::find_if(actions.begin(), actions.end(),
                    [&](const ActionName& candidate) { return candidate.name == request.action(); });
                if (action == actions.end())
                    return refusedSteps(
                        text, ResultCode::InvalidCommand, "the action has to be pause, resume or abort");
                if (!known)
                    return refusedSteps(
                        text, ResultCode::NotFound, fmt::format("there is no wave {}", request.wave_id()));
                return singleRecord(change, text, [&](proto::Record& record) {
                    record.mutable_wave_changed()->set_wave_id(request.wave_id());
                    record.mutable_wave_changed()->set_change(action->change);
                });
            });
}

proto::ChangeReply OperatorHandler::abortMove(const proto::AbortMoveRequest& request)
{
    bool known = false;
    return ChangeRunner(entry_, submitTimeout_)
        .run(
            request.change(), [&](const FleetState& state) { known = state.moves.count(request.move_id()) > 0; },
            [&](const OperatorChange& change) {
                auto action = fmt::format("abort move {}", request.move_id());
                if (!known)
                    return refusedSteps(
                        action, ResultCode::NotFound, fmt::format("there is no move {}", request.move_id()));
                return singleRecord(change, action,
                    [&](proto::Record& record) { record.mutable_move_aborted()->set_move_id(request.move_id()); });
            });
}

proto::ChangeReply OperatorHandler::removeEntry(const proto::RemoveEntryRequest& request)
{
    if (!request.confirm_stopped())
        return internal::refusal(request.change().change_id(), ResultCode::InvalidCommand,
            "an entry that still runs could send work to instances that were granted away; confirm that its process is "
            "stopped");
    std::optional<uint64_t> boot;
    return ChangeRunner(entry_, submitTimeout_)
        .run(
            request.change(),
            [&](const FleetState& state) {
                auto entry = state.entries.find(request.entry());
                if (entry != state.entries.end())
                    boot = entry->second.boot;
            },
            [&](const OperatorChange& change) {
                auto action = fmt::format("remove entry {}", request.entry());
                if (!boot)
                    return refusedSteps(
                        action, ResultCode::NotFound, fmt::format("there is no entry {}", request.entry()));
                return singleRecord(change, action, [&](proto::Record& record) {
                    auto& body = *record.mutable_entry_removed();
                    body.set_entry(request.entry());
                    body.set_boot(*boot);
                    body.set_evidence(proto::EntryRemoved::CONFIRMED_BY_OPERATOR);
                });
            });
}

proto::ChangeReply OperatorHandler::proposeConfiguration(const proto::ProposeConfigurationRequest& request)
{
    return ChangeRunner(entry_, submitTimeout_)
        .run(
            request.change(), [](const FleetState&) {},
            [&](const OperatorChange& change) {
                auto action = fmt::format("propose configuration version {}", request.expected_version() + 1);
                auto mistakes = mistakesOf([&] { return parseFleetConfiguration(request.ini(), "configuration"); });
                if (!mistakes.empty())
                    return refusedSteps(action, ResultCode::InvalidSettings, mistakes);
                return singleRecord(change, action, [&](proto::Record& record) {
                    auto& body = *record.mutable_configuration_proposed();
                    body.set_expected_version(request.expected_version());
                    body.set_ini(request.ini());
                    body.set_author(change.operatorName);
                    body.set_reviewer(request.reviewer());
                });
            });
}

proto::ConfigurationReply OperatorHandler::showConfiguration(const proto::ShowConfigurationRequest&)
{
    proto::ConfigurationReply reply;
    entry_.readState([&](const FleetState& state, Offset) {
        reply.set_version(state.configurationVersion);
        reply.set_author(state.configurationAuthor);
        reply.set_reviewer(state.configurationReviewer);
        reply.set_ini(state.configurationIni);
    });
    return reply;
}

} // namespace shallotdrift
