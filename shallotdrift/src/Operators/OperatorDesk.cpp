#include "OperatorDesk.h"

#include "../Settings/ValueFormat.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

namespace shallotdrift {

using nlohmann::json;

static constexpr std::string_view eventPrefix = "change/";
// The audit trail is read back by each new manager.
static constexpr size_t keptEvents = 500;
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

template <typename Verdict> static proto::Step stepOf(std::string action, Verdict&& verdict, std::string id = {})
{
    bool done = verdict.code == ResultCode::Ok;
    return stepOf(std::move(action), verdict.code, std::move(verdict.message), done ? std::move(id) : std::string());
}

OperatorDesk::OperatorDesk(const InstancePlanner& planner, std::string manager)
    : planner_(planner)
    , manager_(std::move(manager))
{
}

template <typename Request, typename Reply>
std::optional<OperatorDesk::Answer> OperatorDesk::read(
    const std::string& bytes, Reply (OperatorDesk::*call)(const Request&) const) const
{
    Request request;
    if (!request.ParseFromString(bytes))
        return std::nullopt;
    return Answer { (this->*call)(request).SerializeAsString(), false };
}

template <typename Request>
std::optional<OperatorDesk::Answer> OperatorDesk::change(
    const std::string& bytes, WallTime now, Steps (OperatorDesk::*call)(const Request&))
{
    Request request;
    if (!request.ParseFromString(bytes))
        return std::nullopt;
    return answerChange(request, now, call);
}

std::optional<OperatorDesk::Answer> OperatorDesk::handle(
    const std::string& call, const std::string& request, WallTime now)
{
    using Desk = OperatorDesk;
    using Handler = std::optional<Answer> (*)(Desk&, const std::string&, WallTime);
    static const std::map<std::string, Handler, std::less<>> handlers {
        { "Status", [](Desk& desk, const std::string& bytes, WallTime) { return desk.read(bytes, &Desk::status); } },
        { "Explain", [](Desk& desk, const std::string& bytes, WallTime) { return desk.read(bytes, &Desk::explain); } },
        { "Audit", [](Desk& desk, const std::string& bytes, WallTime) { return desk.read(bytes, &Desk::audit); } },
        { "ListHandbook",
            [](Desk& desk, const std::string& bytes, WallTime) { return desk.read(bytes, &Desk::listHandbook); } },
        { "ShowHandbook",
            [](Desk& desk, const std::string& bytes, WallTime) { return desk.read(bytes, &Desk::showHandbook); } },
        { "Rehearse",
            [](Desk& desk, const std::string& bytes, WallTime) { return desk.read(bytes, &Desk::rehearse); } },
        { "ProposeHandbook",
            [](Desk& desk, const std::string& bytes, WallTime at) {
                return desk.change(bytes, at, &Desk::proposeHandbook);
            } },
        { "ReviewHandbook",
            [](Desk& desk, const std::string& bytes, WallTime at) {
                return desk.change(bytes, at, &Desk::reviewHandbook);
            } },
        { "Invoke",
            [](Desk& desk, const std::string& bytes, WallTime at) { return desk.change(bytes, at, &Desk::invoke); } },
        { "Lend",
            [](Desk& desk, const std::string& bytes, WallTime at) { return desk.change(bytes, at, &Desk::lend); } },
        { "ReturnLent",
            [](Desk& desk, const std::string& bytes, WallTime at) {
                return desk.change(bytes, at, &Desk::returnLent);
            } },
        { "Drain",
            [](Desk& desk, const std::string& bytes, WallTime at) { return desk.change(bytes, at, &Desk::drain); } },
        { "StartWave",
            [](Desk& desk, const std::string& bytes, WallTime at) {
                return desk.change(bytes, at, &Desk::startWave);
            } },
        { "ChangeWave",
            [](Desk& desk, const std::string& bytes, WallTime at) {
                return desk.change(bytes, at, &Desk::changeWave);
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

static std::string actionOf(const std::vector<proto::Step>& steps)
{
    std::vector<std::string> actions;
    actions.reserve(steps.size());
    for (const auto& step : steps)
        actions.push_back(step.action());
    return fmt::format("{}", fmt::join(actions, "; "));
}

// A change whose id is known is answered as it was; the answer may have been lost on its way to the operator.
template <typename Request>
OperatorDesk::Answer OperatorDesk::answerChange(
    const Request& request, WallTime now, Steps (OperatorDesk::*call)(const Request&))
{
    const auto& id = request.change().change_id();
    const auto& actor = request.change().operator_name();
    if (!internal::isName(id) || !internal::isName(actor))
        return { refusal(id, ResultCode::NotAuthorized, "a change needs an id and the name of its operator")
                     .SerializeAsString() };
    if (auto earlier = events_.find(id); earlier != events_.end()) {
        if (earlier->second.actor != actor)
            return { refusal(id, ResultCode::Conflict, "the id belongs to a change of " + earlier->second.actor)
                         .SerializeAsString() };
        return { earlier->second.reply.SerializeAsString(), true };
    }
    auto steps = (this->*call)(request);
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
    keepEvent(id,
        { Milliseconds { unixMilliseconds(now) }, actor, actionOf(steps),
            request.change().reason().substr(0, maximumReasonLength), std::move(reply) });
    return { std::move(bytes), true };
}

static std::string eventKey(const std::string& id) { return std::string(eventPrefix) + id; }

void OperatorDesk::keepEvent(const std::string& id, Event&& event)
{
    std::string reply;
    // The schema has no field that this could fail for.
    static_cast<void>(google::protobuf::util::MessageToJsonString(event.reply, &reply));
    eventRecords_.emplace_back(
        eventKey(id), json::array({ event.at.count(), event.actor, event.action, event.reason, reply }).dump());
    events_[id] = std::move(event);
    if (events_.size() <= keptEvents)
        return;
    auto oldest = std::min_element(events_.begin(), events_.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
    eventRecords_.emplace_back(eventKey(oldest->first), std::string());
    events_.erase(oldest);
}

std::vector<OperatorOverrides::Record> OperatorDesk::takeRecords()
{
    auto records = directives_.takeChangedRecords();
    for (const auto& name : changedHandbook_)
        records.emplace_back(internal::HandbookShelf::keyOf(name), handbook_.encode(name));
    changedHandbook_.clear();
    std::move(eventRecords_.begin(), eventRecords_.end(), std::back_inserter(records));
    eventRecords_.clear();
    return records;
}

bool OperatorDesk::restore(const std::string& key, const std::string& value)
{
    if (directives_.restore(key, value) || handbook_.restore(key, value))
        return true;
    if (key.compare(0, eventPrefix.size(), eventPrefix) != 0)
        return false;
    try {
        auto row = json::parse(value);
        Event event { Milliseconds { row.at(0).get<int64_t>() }, row.at(1).get<std::string>(),
            row.at(2).get<std::string>(), row.at(3).get<std::string>(), {} };
        if (!google::protobuf::util::JsonStringToMessage(row.at(4).get<std::string>(), &event.reply).ok())
            return false;
        events_[key.substr(eventPrefix.size())] = std::move(event);
    } catch (const json::exception&) {
        return false;
    }
    return true;
}

internal::HandbookShelf::KnownNames OperatorDesk::knownNames() const
{
    internal::HandbookShelf::KnownNames names;
    for (const auto& [name, rule] : planner_.pools())
        names.pools.insert(name);
    for (const auto& [id, instance] : planner_.instances())
        names.zones.insert(instance.zone);
    return names;
}

OperatorDesk::Steps OperatorDesk::proposeHandbook(const proto::ProposeHandbookRequest& request)
{
    auto verdict = handbook_.propose(
        request.name(), request.expected_version(), request.ini(), request.change().operator_name(), knownNames());
    if (verdict.code == ResultCode::Ok)
        changedHandbook_.insert(request.name());
    return { stepOf(fmt::format("propose version {} of handbook entry {}", request.expected_version() + 1,
                        internal::isName(request.name()) ? request.name() : "(invalid name)"),
        verdict) };
}

OperatorDesk::Steps OperatorDesk::reviewHandbook(const proto::ReviewHandbookRequest& request)
{
    auto verdict
        = handbook_.review(request.name(), request.version(), request.approved(), request.change().operator_name());
    if (verdict.code == ResultCode::Ok)
        changedHandbook_.insert(request.name());
    return { stepOf(fmt::format("{} version {} of handbook entry {}", request.approved() ? "approve" : "reject",
                        request.version(), request.name()),
        verdict) };
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

proto::Step OperatorDesk::carryOut(const HandbookStep& step, const std::string& id)
{
    auto run = [&]() -> OperatorOverrides::OperationResult {
        switch (step.action) {
        case HandbookStep::Action::Lend:
            return directives_.lend({ id, step.fromPool, step.toPool, step.count }, planner_);
        case HandbookStep::Action::ReturnLent:
            return directives_.returnLent(step.pool);
        case HandbookStep::Action::Drain:
        case HandbookStep::Action::Wave:
            return directives_.drain(id, { step.pool, step.zone, {} }, step.action == HandbookStep::Action::Wave,
                step.maximumParallel, planner_);
        }
        return { ResultCode::Internal, {} };
    };
    return stepOf(actionText(step), run(), id);
}

OperatorDesk::Steps OperatorDesk::invoke(const proto::InvokeRequest& request)
{
    HandbookPlan plan;
    uint64_t version = 0;
    auto verdict = handbook_.find(request.name(), request.version(), true, version, plan);
    if (verdict.code != ResultCode::Ok)
        return { stepOf("invoke handbook entry " + request.name(), verdict) };
    Steps steps;
    for (const auto& step : plan.steps)
        steps.push_back(carryOut(step, fmt::format("{}.s{}", request.change().change_id(), steps.size() + 1)));
    return steps;
}

OperatorDesk::Steps OperatorDesk::lend(const proto::LendRequest& request)
{
    HandbookStep step;
    step.action = HandbookStep::Action::Lend;
    step.fromPool = request.from_pool();
    step.toPool = request.to_pool();
    step.count = request.count();
    return { carryOut(step, request.change().change_id()) };
}

OperatorDesk::Steps OperatorDesk::returnLent(const proto::ReturnLentRequest& request)
{
    HandbookStep step;
    step.action = HandbookStep::Action::ReturnLent;
    step.pool = request.pool();
    return { carryOut(step, request.change().change_id()) };
}

OperatorDesk::Steps OperatorDesk::drain(const proto::DrainRequest& request)
{
    std::vector<std::string> instances(request.instances().begin(), request.instances().end());
    auto action = "drain "
        + (instances.empty() ? "zone " + request.zone() : fmt::format("instances {}", fmt::join(instances, ", ")));
    if (request.zone().empty() == instances.empty())
        return { stepOf(action, ResultCode::InvalidCommand, "a drain needs either a zone or instances") };
    const auto& id = request.change().change_id();
    return { stepOf(
        action, directives_.drain(id, { {}, request.zone(), std::move(instances) }, false, 0, planner_), id) };
}

OperatorDesk::Steps OperatorDesk::startWave(const proto::StartWaveRequest& request)
{
    HandbookStep step;
    step.action = HandbookStep::Action::Wave;
    step.zone = request.zone();
    step.pool = request.pool();
    step.maximumParallel = request.max_parallel();
    return { carryOut(step, request.change().change_id()) };
}

OperatorDesk::Steps OperatorDesk::changeWave(const proto::ChangeWaveRequest& request)
{
    using Change = OperatorOverrides::WaveChange;
    static const std::map<std::string, Change> changes { { "pause", Change::Pause }, { "resume", Change::Resume },
        { "abort", Change::Abort } };
    auto action = fmt::format("{} {}", request.action(), request.wave_id());
    auto change = changes.find(request.action());
    if (change == changes.end())
        return { stepOf(action, ResultCode::InvalidCommand, "the action has to be pause, resume or abort") };
    return { stepOf(action, directives_.changeWave(request.wave_id(), change->second)) };
}

proto::RehearseReply OperatorDesk::rehearse(const proto::RehearseRequest& request) const
{
    proto::RehearseReply reply;
    HandbookPlan plan;
    uint64_t version = 0;
    auto verdict = handbook_.find(request.name(), request.version(), false, version, plan);
    reply.set_result_code(static_cast<uint32_t>(verdict.code));
    reply.set_message(verdict.message);
    if (verdict.code != ResultCode::Ok)
        return reply;
    reply.set_version(version);
    reply.set_message(fmt::format("version {} of {}: {}", version, request.name(), plan.title));
    OperatorDesk trial(*this);
    for (const auto& step : plan.steps)
        *reply.add_steps() = trial.carryOut(step, fmt::format("rehearsal.s{}", reply.steps_size() + 1));
    std::map<std::string, uint32_t> after;
    for (const auto& pool : planner_.poolViews())
        after[pool.name] = static_cast<uint32_t>(pool.size);
    for (const auto& loan : trial.directives_.loans())
        if (loan.id.compare(0, loan.id.find('.'), "rehearsal") == 0) {
            after[loan.toPool] += loan.count;
            if (auto from = after.find(loan.fromPool); from != after.end())
                from->second -= std::min(from->second, loan.count);
        }
    for (const auto& pool : planner_.poolViews()) {
        if (auto rule = planner_.pools().find(pool.name); rule == planner_.pools().end() || rule->second.standby)
            continue;
        auto& line = *reply.add_budgets();
        line.set_pool(pool.name);
        line.set_least(static_cast<uint32_t>(pool.minimumSize));
        line.set_instances_before(static_cast<uint32_t>(pool.size));
        line.set_instances_after(after[pool.name]);
    }
    return reply;
}

} // namespace shallotdrift
