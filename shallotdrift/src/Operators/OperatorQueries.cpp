// The rpcs that only read, except Rehearse. Rehearse and the rpcs that change something are in
// OperatorRequestHandler.cpp.
#include "OperatorRequestHandler.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallotdrift {

static constexpr uint32_t defaultAuditLimit = 50;

static const char* stateName(FleetInstance::State state)
{
    switch (state) {
    case FleetInstance::State::Up:
        return "up";
    case FleetInstance::State::Moving:
        return "moving";
    case FleetInstance::State::Maintenance:
        return "under maintenance";
    case FleetInstance::State::Down:
        return "down";
    }
    return "unknown";
}

static const char* drainState(const OperatorOverrides::Drain& drain)
{
    if (drain.drained.size() == drain.instances.size())
        return drain.wave ? "completed" : "drained";
    return drain.paused ? "paused" : "running";
}

proto::StatusReply OperatorRequestHandler::status(const proto::StatusRequest&) const
{
    proto::StatusReply reply;
    reply.set_manager(managerName_);
    reply.set_configuration_version(configurationVersion_);
    auto outOfServiceIds = overrides_.outOfService();
    std::map<std::string, InstancePlanner::PoolView> views;
    for (auto& view : planner_.poolViews())
        views[view.name] = view;
    for (const auto& [name, rule] : planner_.pools()) {
        auto& pool = *reply.add_pools();
        pool.set_pool(name);
        pool.set_standby(rule.standby);
        uint32_t instances = 0;
        uint32_t outOfService = 0;
        for (const auto& [id, instance] : planner_.instances()) {
            if (instance.pool != name)
                continue;
            ++instances;
            if (instance.state != FleetInstance::State::Up || outOfServiceIds.count(id) != 0)
                ++outOfService;
        }
        pool.set_instances(instances);
        pool.set_out_of_service(outOfService);
        if (auto view = views.find(name); view != views.end() && !rule.standby) {
            pool.set_wanted(static_cast<uint32_t>(view->second.desiredSize));
            pool.set_least(static_cast<uint32_t>(view->second.minimumSize));
            pool.set_held_cores(view->second.report.allocatedCores);
            pool.set_waiting_cores(view->second.report.waitingCores);
        }
    }
    for (const auto& wave : planner_.waves()) {
        auto& line = *reply.add_waves();
        line.set_wave_id(fmt::format("platform/{}", wave.number));
        line.set_status(wave.completed ? "completed" : "running");
        line.set_done(static_cast<uint32_t>(wave.maintained));
        line.set_pending(static_cast<uint32_t>(wave.instances - std::min(wave.maintained, wave.instances)));
    }
    for (const auto& [id, drain] : overrides_.drains()) {
        auto& line = *reply.add_waves();
        line.set_wave_id(id);
        line.set_status(drainState(drain));
        line.set_done(static_cast<uint32_t>(drain.drained.size()));
        line.set_pending(static_cast<uint32_t>(drain.instances.size() - drain.drained.size()));
    }
    for (const auto& loan : overrides_.loans()) {
        auto& line = *reply.add_loans();
        line.set_change_id(loan.id);
        line.set_from_pool(loan.fromPool);
        line.set_to_pool(loan.toPool);
        line.set_count(loan.count);
    }
    return reply;
}

std::vector<std::string> OperatorRequestHandler::factsOfInstance(const std::string& name) const
{
    std::vector<std::string> facts;
    auto found = planner_.instances().find(name);
    if (found == planner_.instances().end())
        return facts;
    const auto& instance = found->second;
    facts.push_back(fmt::format("{} in pool {}, zone {}, rack {}, {:.0f} cores", stateName(instance.state),
        instance.pool, instance.zone, instance.rack, instance.cores));
    for (const auto& pool : planner_.poolViews())
        for (const auto& worker : pool.report.workers)
            if (worker.instance == name)
                facts.push_back(fmt::format("its worker runs {} tasks, {} of them long-running{}{}", worker.runs,
                    worker.longRunningRuns,
                    worker.cordoned ? "; the worker is cordoned, so no new tasks are placed on it" : "",
                    worker.draining ? "; the worker is draining" : ""));
    if (planner_.cordons().count(name) != 0)
        facts.emplace_back("the instance is cordoned for a move, maintenance, a drain or a wave");
    if (planner_.maintenanceDue().count(name) != 0)
        facts.emplace_back("the instance is due for maintenance in a wave of the platform");
    for (const auto& [id, drain] : overrides_.drains())
        if (drain.instances.count(name) != 0)
            facts.push_back(fmt::format("{} {} ({}): {}", drain.wave ? "wave" : "drain", id, drainState(drain),
                drain.drained.count(name) != 0 ? "done" : "pending"));
    return facts;
}

std::vector<std::string> OperatorRequestHandler::factsOfPool(const std::string& name) const
{
    std::vector<std::string> facts;
    for (const auto& pool : planner_.poolViews()) {
        if (pool.name != name)
            continue;
        facts.push_back(fmt::format(
            "{} instances present or on their way to the pool, {} desired, at least {} needed by long-running tasks",
            pool.size, pool.desiredSize, pool.minimumSize));
        facts.push_back(fmt::format(
            "{:.0f} cores allocated, {:.0f} requested by waiting tasks, {:.0f} requested by long-running tasks; "
            "{:.0f} cores needed to complete the accepted jobs in time",
            pool.report.allocatedCores, pool.report.waitingCores, pool.report.longRunningCores,
            pool.report.requiredCores));
    }
    for (const auto& loan : overrides_.loans())
        if (loan.fromPool == name || loan.toPool == name)
            facts.push_back(fmt::format("loan {}: {} from {} to {}", loan.id, loan.count,
                loan.fromPool.empty() ? "any pool" : loan.fromPool, loan.toPool));
    return facts;
}

std::vector<std::string> OperatorRequestHandler::factsOfWave(const std::string& name) const
{
    std::vector<std::string> facts;
    auto found = overrides_.drains().find(name);
    if (found == overrides_.drains().end())
        return facts;
    const auto& drain = found->second;
    facts.push_back(
        fmt::format("the {} is {}: {} of {} instances done, up to {} at once", drain.wave ? "wave" : "drain",
            drainState(drain), drain.drained.size(), drain.instances.size(), drain.maximumParallel));
    for (const auto& id : drain.instances)
        if (drain.drained.count(id) == 0)
            facts.push_back("pending: " + id);
    return facts;
}

std::vector<std::string> OperatorRequestHandler::factsOfHandbook(const std::string& name) const
{
    std::vector<std::string> facts;
    auto found = handbook_.entries().find(name);
    if (found == handbook_.entries().end())
        return facts;
    const auto& entry = found->second;
    facts.push_back(fmt::format("version {} by {}{}", entry.version, entry.author,
        entry.reviewer.empty() ? ", not reviewed"
                               : fmt::format(", {} by {}", entry.approved ? "approved" : "rejected", entry.reviewer)));
    if (entry.approvedVersion != 0)
        facts.push_back(fmt::format("invoke executes version {}", entry.approvedVersion));
    return facts;
}

std::vector<std::string> OperatorRequestHandler::factsOfChange(const std::string& name) const
{
    std::vector<std::string> facts;
    auto found = auditEvents_.find(name);
    if (found == auditEvents_.end())
        return facts;
    for (const auto& step : found->second.reply.steps())
        facts.push_back(fmt::format("{}: {}{}", step.action(), step.result_code() == 0 ? "accepted" : "refused",
            step.message().empty() ? "" : ", " + step.message()));
    for (const auto& [id, drain] : overrides_.drains())
        if (id.compare(0, id.find('.'), name) == 0 || id == name)
            for (auto& fact : factsOfWave(id))
                facts.push_back(std::move(fact));
    return facts;
}

proto::ExplainReply OperatorRequestHandler::explain(const proto::ExplainRequest& request) const
{
    using FactsFunction = std::vector<std::string> (OperatorRequestHandler::*)(const std::string&) const;
    static const std::map<std::string, FactsFunction> types { { "instance", &OperatorRequestHandler::factsOfInstance },
        { "pool", &OperatorRequestHandler::factsOfPool }, { "wave", &OperatorRequestHandler::factsOfWave },
        { "handbook", &OperatorRequestHandler::factsOfHandbook },
        { "change", &OperatorRequestHandler::factsOfChange } };
    proto::ExplainReply reply;
    auto space = request.subject().find(' ');
    auto type = types.find(request.subject().substr(0, space));
    if (space == std::string::npos || type == types.end()) {
        reply.set_result_code(static_cast<uint32_t>(ResultCode::InvalidCommand));
        reply.set_message(
            "invalid subject: expected instance, pool, wave, handbook, change or job, followed by its name");
        return reply;
    }
    auto name = request.subject().substr(space + 1);
    for (auto& fact : (this->*type->second)(name))
        reply.add_facts(std::move(fact));
    proto::AuditRequest events;
    events.set_subject(name);
    *reply.mutable_events() = audit(events).events();
    if (reply.facts_size() == 0) {
        reply.set_result_code(static_cast<uint32_t>(ResultCode::NotFound));
        reply.set_message(fmt::format("there is no {}", request.subject()));
    }
    return reply;
}

proto::AuditReply OperatorRequestHandler::audit(const proto::AuditRequest& request) const
{
    std::vector<std::pair<Milliseconds, std::string>> matching;
    auto matches = [&](const std::string& text) { return text.find(request.subject()) != std::string::npos; };
    for (const auto& [id, event] : auditEvents_)
        if (matches(id) || matches(event.actor) || matches(event.action))
            matching.emplace_back(event.at, id);
    std::sort(matching.rbegin(), matching.rend());
    if (auto limit = request.limit() != 0 ? request.limit() : defaultAuditLimit; matching.size() > limit)
        matching.resize(limit);
    proto::AuditReply reply;
    for (const auto& [at, id] : matching) {
        const auto& event = auditEvents_.at(id);
        auto& line = *reply.add_events();
        line.set_written_ms(at.count());
        line.set_change_id(id);
        line.set_actor(event.actor);
        line.set_action(event.action);
        line.set_reason(event.reason);
        line.set_result_code(event.reply.result_code());
    }
    return reply;
}

static void fillEntry(const std::string& name, const internal::Handbook::Entry& entry, proto::HandbookEntry& line)
{
    line.set_name(name);
    line.set_version(entry.version);
    line.set_approved_version(entry.approvedVersion);
    line.set_author(entry.author);
    line.set_reviewer(entry.reviewer);
}

proto::ListHandbookReply OperatorRequestHandler::listHandbook(const proto::ListHandbookRequest&) const
{
    proto::ListHandbookReply reply;
    for (const auto& [name, entry] : handbook_.entries())
        fillEntry(name, entry, *reply.add_entries());
    return reply;
}

proto::HandbookEntry OperatorRequestHandler::showHandbook(const proto::ShowHandbookRequest& request) const
{
    proto::HandbookEntry reply;
    auto found = handbook_.entries().find(request.name());
    if (found == handbook_.entries().end()) {
        reply.set_result_code(static_cast<uint32_t>(ResultCode::NotFound));
        reply.set_message("there is no handbook entry " + request.name());
        return reply;
    }
    fillEntry(found->first, found->second, reply);
    reply.set_ini(found->second.ini);
    reply.set_approved_ini(found->second.approvedIni);
    return reply;
}

} // namespace shallotdrift
