#include "OperatorRequestHandler.h"

#include "../Settings/ValueFormat.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

namespace shallotdrift {

using nlohmann::json;

static constexpr std::string_view auditKeyPrefix = "change/";
// Bounded, because each new fleet manager loads the whole audit trail.
static constexpr size_t maximumAuditEvents = 500;
static constexpr size_t maximumReasonLength = 256;

static proto::Step stepOf(std::string action, ResultCode code, std::string text, std::string id = {})
{
    proto::Step step;
    step.set_action(std::move(action));
    step.set_result_code(static_cast<uint32_t>(code));
    step.set_message(std::move(text));
    step.set_id(std::move(id));
    return step;
}

template <typename ResultType> static proto::Step stepOf(std::string action, ResultType&& result, std::string id = {})
{
    bool done = result.code == ResultCode::Ok;
    return stepOf(std::move(action), result.code, std::move(result.message), done ? std::move(id) : std::string());
}

OperatorRequestHandler::OperatorRequestHandler(const InstancePlanner& planner, std::string managerName)
    : planner_(planner)
    , managerName_(std::move(managerName))
{
}

template <typename Request, typename Reply>
std::optional<OperatorRequestHandler::Response> OperatorRequestHandler::handleQuery(
    const std::string& bytes, Reply (OperatorRequestHandler::*method)(const Request&) const) const
{
    Request request;
    if (!request.ParseFromString(bytes))
        return std::nullopt;
    return Response { (this->*method)(request).SerializeAsString(), false };
}

template <typename Request>
std::optional<OperatorRequestHandler::Response> OperatorRequestHandler::handleChange(
    const std::string& bytes, WallTime now, Steps (OperatorRequestHandler::*method)(const Request&))
{
    Request request;
    if (!request.ParseFromString(bytes))
        return std::nullopt;
    return applyChange(request, now, method);
}

std::optional<OperatorRequestHandler::Response> OperatorRequestHandler::handle(
    const std::string& call, const std::string& request, WallTime now)
{
    using Self = OperatorRequestHandler;
    using Handler = std::optional<Response> (*)(Self&, const std::string&, WallTime);
    static const std::map<std::string, Handler, std::less<>> handlers {
        { "Status",
            [](Self& self, const std::string& bytes, WallTime) { return self.handleQuery(bytes, &Self::status); } },
        { "Explain",
            [](Self& self, const std::string& bytes, WallTime) { return self.handleQuery(bytes, &Self::explain); } },
        { "Audit",
            [](Self& self, const std::string& bytes, WallTime) { return self.handleQuery(bytes, &Self::audit); } },
        { "ListHandbook",
            [](Self& self, const std::string& bytes, WallTime) {
                return self.handleQuery(bytes, &Self::listHandbook);
            } },
        { "ShowHandbook",
            [](Self& self, const std::string& bytes, WallTime) {
                return self.handleQuery(bytes, &Self::showHandbook);
            } },
        { "Rehearse",
            [](Self& self, const std::string& bytes, WallTime) { return self.handleQuery(bytes, &Self::rehearse); } },
        { "ProposeHandbook",
            [](Self& self, const std::string& bytes, WallTime at) {
                return self.handleChange(bytes, at, &Self::proposeHandbook);
            } },
        { "ReviewHandbook",
            [](Self& self, const std::string& bytes, WallTime at) {
                return self.handleChange(bytes, at, &Self::reviewHandbook);
            } },
        { "Invoke",
            [](Self& self, const std::string& bytes, WallTime at) {
                return self.handleChange(bytes, at, &Self::invoke);
            } },
        { "Lend",
            [](Self& self, const std::string& bytes, WallTime at) {
                return self.handleChange(bytes, at, &Self::lend);
            } },
        { "ReturnLent",
            [](Self& self, const std::string& bytes, WallTime at) {
                return self.handleChange(bytes, at, &Self::returnLent);
            } },
        { "Drain",
            [](Self& self, const std::string& bytes, WallTime at) {
                return self.handleChange(bytes, at, &Self::drain);
            } },
        { "StartWave",
            [](Self& self, const std::string& bytes, WallTime at) {
                return self.handleChange(bytes, at, &Self::startWave);
            } },
        { "ChangeWave",
            [](Self& self, const std::string& bytes, WallTime at) {
                return self.handleChange(bytes, at, &Self::changeWave);
            } },
    };
    auto handler = handlers.find(call);
    return handler == handlers.end() ? std::nullopt : handler->second(*this, request, now);
}

static proto::ChangeReply refusal(const std::string& id, ResultCode code, std::string text)
{
    proto::ChangeReply reply;
    reply.set_change_id(id);
    reply.set_result_code(static_cast<uint32_t>(code));
    reply.set_message(std::move(text));
    return reply;
}

static std::string joinActions(const std::vector<proto::Step>& steps)
{
    std::vector<std::string> actions;
    actions.reserve(steps.size());
    for (const auto& step : steps)
        actions.push_back(step.action());
    return fmt::format("{}", fmt::join(actions, "; "));
}

// The text up to the length given, without a cut-off UTF-8 character at its end.
static std::string beginningOf(const std::string& text, size_t length)
{
    static constexpr unsigned char continuationMask = 0xC0;
    static constexpr unsigned char continuationBits = 0x80;
    if (text.size() <= length)
        return text;
    while (length > 0 && (static_cast<unsigned char>(text[length]) & continuationMask) == continuationBits)
        --length;
    return text.substr(0, length);
}

// A repeated change gets the first reply again, since the first reply may have been lost on its way to the operator.
template <typename Request>
OperatorRequestHandler::Response OperatorRequestHandler::applyChange(
    const Request& request, WallTime now, Steps (OperatorRequestHandler::*method)(const Request&))
{
    const auto& id = request.change().change_id();
    const auto& actor = request.change().operator_name();
    if (!internal::isName(id) || !internal::isName(actor))
        return { refusal(id, ResultCode::NotAuthorized, "a change requires a change id and an operator name")
                     .SerializeAsString() };
    if (auto previous = auditEvents_.find(id); previous != auditEvents_.end()) {
        if (previous->second.actor != actor)
            return { refusal(
                id, ResultCode::Conflict, "the change id is already used by operator " + previous->second.actor)
                         .SerializeAsString() };
        return { previous->second.reply.SerializeAsString(), true };
    }
    auto steps = (this->*method)(request);
    proto::ChangeReply reply;
    reply.set_change_id(id);
    size_t refused = 0;
    for (auto& step : steps) {
        if (step.result_code() != 0 && refused++ == 0)
            reply.set_result_code(step.result_code());
        *reply.add_steps() = step;
    }
    reply.set_message(refused == 0    ? "accepted"
            : refused == steps.size() ? "refused"
                                      : fmt::format("{} of {} steps refused", refused, steps.size()));
    auto bytes = reply.SerializeAsString();
    addAuditEvent(id,
        { Milliseconds { unixMilliseconds(now) }, actor, joinActions(steps),
            beginningOf(request.change().reason(), maximumReasonLength), std::move(reply) });
    return { std::move(bytes), true };
}

static std::string auditKey(const std::string& id) { return std::string(auditKeyPrefix) + id; }

void OperatorRequestHandler::addAuditEvent(const std::string& id, AuditEvent&& event)
{
    std::string reply;
    // The conversion fails only for types, such as Any, that the schema does not use.
    static_cast<void>(google::protobuf::util::MessageToJsonString(event.reply, &reply));
    changedAuditRecords_.emplace_back(auditKey(id),
        json::array({ event.at.count(), event.actor, event.action, event.reason, reply })
            .dump(-1, ' ', false, json::error_handler_t::replace));
    auditEvents_[id] = std::move(event);
    if (auditEvents_.size() <= maximumAuditEvents)
        return;
    auto oldest = std::min_element(auditEvents_.begin(), auditEvents_.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
    changedAuditRecords_.emplace_back(auditKey(oldest->first), std::string());
    auditEvents_.erase(oldest);
}

std::vector<OperatorOverrides::Record> OperatorRequestHandler::takeChangedRecords()
{
    auto records = overrides_.takeChangedRecords();
    for (const auto& name : changedEntries_)
        records.emplace_back(internal::Handbook::keyOf(name), handbook_.encode(name));
    changedEntries_.clear();
    std::move(changedAuditRecords_.begin(), changedAuditRecords_.end(), std::back_inserter(records));
    changedAuditRecords_.clear();
    return records;
}

bool OperatorRequestHandler::restore(const std::string& key, const std::string& value)
{
    if (overrides_.restore(key, value) || handbook_.restore(key, value))
        return true;
    if (key.compare(0, auditKeyPrefix.size(), auditKeyPrefix) != 0)
        return false;
    try {
        auto row = json::parse(value);
        AuditEvent event { Milliseconds { row.at(0).get<int64_t>() }, row.at(1).get<std::string>(),
            row.at(2).get<std::string>(), row.at(3).get<std::string>(), {} };
        if (!google::protobuf::util::JsonStringToMessage(row.at(4).get<std::string>(), &event.reply).ok())
            return false;
        auditEvents_[key.substr(auditKeyPrefix.size())] = std::move(event);
    } catch (const json::exception&) {
        return false;
    }
    return true;
}

internal::Handbook::FleetNames OperatorRequestHandler::fleetNames() const
{
    internal::Handbook::FleetNames names;
    for (const auto& [name, configuration] : planner_.pools())
        names.pools.insert(name);
    for (const auto& [id, instance] : planner_.instances())
        names.zones.insert(instance.zone);
    return names;
}

OperatorRequestHandler::Steps OperatorRequestHandler::proposeHandbook(const proto::ProposeHandbookRequest& request)
{
    auto result = handbook_.propose(
        request.name(), request.expected_version(), request.ini(), request.change().operator_name(), fleetNames());
    if (result.code == ResultCode::Ok)
        changedEntries_.insert(request.name());
    return { stepOf(fmt::format("propose version {} of handbook entry {}", request.expected_version() + 1,
                        internal::isName(request.name()) ? request.name() : "(invalid name)"),
        result) };
}

OperatorRequestHandler::Steps OperatorRequestHandler::reviewHandbook(const proto::ReviewHandbookRequest& request)
{
    auto result
        = handbook_.review(request.name(), request.version(), request.approved(), request.change().operator_name());
    if (result.code == ResultCode::Ok)
        changedEntries_.insert(request.name());
    return { stepOf(fmt::format("{} version {} of handbook entry {}", request.approved() ? "approve" : "reject",
                        request.version(), request.name()),
        result) };
}

static std::string selectionText(const HandbookStep& step)
{
    return fmt::format("{} of {}", step.pool.empty() ? "all pools" : "pool " + step.pool,
        step.zone.empty() ? "all zones" : "zone " + step.zone);
}

static std::string actionText(const HandbookStep& step)
{
    switch (step.action) {
    case HandbookStep::Action::Lend:
        return fmt::format("lend {} from {} to {}", step.count,
            step.fromPool.empty() ? std::string("any pool") : step.fromPool, step.toPool);
    case HandbookStep::Action::ReturnLent:
        return "return lent instances of " + (step.pool.empty() ? "all pools" : "pool " + step.pool);
    case HandbookStep::Action::Drain:
        return "drain " + selectionText(step);
    case HandbookStep::Action::Wave:
        return "restart " + selectionText(step);
    }
    return {};
}

proto::Step OperatorRequestHandler::executeStep(const HandbookStep& step, const std::string& id)
{
    auto execute = [&]() -> OperatorOverrides::OperationResult {
        switch (step.action) {
        case HandbookStep::Action::Lend:
            return overrides_.lend({ id, step.fromPool, step.toPool, step.count }, planner_);
        case HandbookStep::Action::ReturnLent:
            return overrides_.returnLent(step.pool);
        case HandbookStep::Action::Drain:
        case HandbookStep::Action::Wave:
            return overrides_.drain(id, { step.pool, step.zone, {} }, step.action == HandbookStep::Action::Wave,
                step.maximumParallel, planner_);
        }
        return { ResultCode::Internal, {} };
    };
    return stepOf(actionText(step), execute(), id);
}

OperatorRequestHandler::Steps OperatorRequestHandler::invoke(const proto::InvokeRequest& request)
{
    HandbookPlan plan;
    uint64_t version = 0;
    auto result = handbook_.findPlan(request.name(), request.version(), true, version, plan);
    if (result.code != ResultCode::Ok)
        return { stepOf("invoke handbook entry " + request.name(), result) };
    Steps steps;
    for (const auto& step : plan.steps)
        steps.push_back(executeStep(step, fmt::format("{}.s{}", request.change().change_id(), steps.size() + 1)));
    return steps;
}

OperatorRequestHandler::Steps OperatorRequestHandler::lend(const proto::LendRequest& request)
{
    HandbookStep step;
    step.action = HandbookStep::Action::Lend;
    step.fromPool = request.from_pool();
    step.toPool = request.to_pool();
    step.count = request.count();
    return { executeStep(step, request.change().change_id()) };
}

OperatorRequestHandler::Steps OperatorRequestHandler::returnLent(const proto::ReturnLentRequest& request)
{
    HandbookStep step;
    step.action = HandbookStep::Action::ReturnLent;
    step.pool = request.pool();
    return { executeStep(step, request.change().change_id()) };
}

OperatorRequestHandler::Steps OperatorRequestHandler::drain(const proto::DrainRequest& request)
{
    std::vector<std::string> instances(request.instances().begin(), request.instances().end());
    auto action = "drain "
        + (instances.empty() ? "zone " + request.zone() : fmt::format("instances {}", fmt::join(instances, ", ")));
    if (request.zone().empty() == instances.empty())
        return { stepOf(action, ResultCode::InvalidCommand, "a drain requires either a zone or instances") };
    const auto& id = request.change().change_id();
    return { stepOf(
        action, overrides_.drain(id, { {}, request.zone(), std::move(instances) }, false, 0, planner_), id) };
}

OperatorRequestHandler::Steps OperatorRequestHandler::startWave(const proto::StartWaveRequest& request)
{
    HandbookStep step;
    step.action = HandbookStep::Action::Wave;
    step.zone = request.zone();
    step.pool = request.pool();
    step.maximumParallel = request.max_parallel();
    return { executeStep(step, request.change().change_id()) };
}

OperatorRequestHandler::Steps OperatorRequestHandler::changeWave(const proto::ChangeWaveRequest& request)
{
    using Change = OperatorOverrides::WaveChange;
    static const std::map<std::string, Change> changes { { "pause", Change::Pause }, { "resume", Change::Resume },
        { "abort", Change::Abort } };
    auto action = fmt::format("{} {}", request.action(), request.wave_id());
    auto change = changes.find(request.action());
    if (change == changes.end())
        return { stepOf(action, ResultCode::InvalidCommand, "invalid action: expected pause, resume or abort") };
    return { stepOf(action, overrides_.changeWave(request.wave_id(), change->second)) };
}

proto::RehearseReply OperatorRequestHandler::rehearse(const proto::RehearseRequest& request) const
{
    proto::RehearseReply reply;
    HandbookPlan plan;
    uint64_t version = 0;
    auto result = handbook_.findPlan(request.name(), request.version(), false, version, plan);
    reply.set_result_code(static_cast<uint32_t>(result.code));
    reply.set_message(result.message);
    if (result.code != ResultCode::Ok)
        return reply;
    reply.set_version(version);
    reply.set_message(fmt::format("version {} of {}: {}", version, request.name(), plan.title));
    OperatorRequestHandler trial(*this);
    for (const auto& step : plan.steps)
        *reply.add_steps() = trial.executeStep(step, fmt::format("rehearsal.s{}", reply.steps_size() + 1));
    std::map<std::string, uint32_t> sizesAfter;
    for (const auto& pool : planner_.poolViews())
        sizesAfter[pool.name] = static_cast<uint32_t>(pool.size);
    for (const auto& loan : trial.overrides_.loans())
        if (loan.id.compare(0, loan.id.find('.'), "rehearsal") == 0) {
            sizesAfter[loan.toPool] += loan.count;
            if (auto from = sizesAfter.find(loan.fromPool); from != sizesAfter.end())
                from->second -= std::min(from->second, loan.count);
        }
    for (const auto& pool : planner_.poolViews()) {
        if (auto configuration = planner_.pools().find(pool.name);
            configuration == planner_.pools().end() || configuration->second.standby)
            continue;
        auto& line = *reply.add_budgets();
        line.set_pool(pool.name);
        line.set_least(static_cast<uint32_t>(pool.minimumSize));
        line.set_instances_before(static_cast<uint32_t>(pool.size));
        line.set_instances_after(sizesAfter[pool.name]);
    }
    return reply;
}

} // namespace shallotdrift
