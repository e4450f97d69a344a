#include "Explainer.h"

#include "OperatorChange.h"
#include "PoolFigures.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <string_view>

namespace shallotdrift::internal {

// The newest events of a subject; older ones are shown by audit.
static constexpr int maximumEvents = 100;

using Facts = std::vector<std::string>;

static constexpr std::array<std::string_view, 3> instanceStatusTexts {
    "active",
    "closing: it takes no new work, gate entries have still to acknowledge",
    "closed: the platform may reboot it",
};
static constexpr std::array<std::string_view, 4> moveStatusTexts { "closing", "closed", "granted", "aborted" };
static constexpr std::array<std::string_view, 4> waveStatusTexts { "running", "paused", "aborted", "done" };
static constexpr std::array<std::string_view, 5> taskStatusTexts { "waiting", "placed", "succeeded",
    "failed on three instances", "cancelled" };
static constexpr std::array<std::string_view, 4> keyStatusTexts {
    "its work is running, or its outcome is not yet known",
    "its work ran",
    "its work ran and failed",
    "it cannot be known whether its work ran",
};

template <typename Status, size_t size>
static std::string_view textOf(const std::array<std::string_view, size>& texts, Status status)
{
    return texts.at(static_cast<size_t>(status));
}

static std::string waitingFor(const std::set<std::string>& gates)
{
    return gates.empty() ? std::string() : fmt::format("it waits for gate entries {}", fmt::join(gates, ", "));
}

static void addUnlessEmpty(Facts& facts, std::string fact)
{
    if (!fact.empty())
        facts.push_back(std::move(fact));
}

static void instanceFacts(const std::string& name, const FleetState& state, Facts& facts)
{
    auto position = state.instances.find(name);
    if (position == state.instances.end())
        return;
    const auto& instance = position->second;
    facts.push_back(
        fmt::format("{} is in zone {}, rack {}, address {}", name, instance.zone, instance.rack, instance.address));
    facts.push_back(fmt::format("it belongs to pool {}{} with epoch {}", instance.pool,
        instance.lent() ? ", lent by its home pool " + instance.homePool : "", instance.epoch));
    facts.push_back(fmt::format("it is {}", textOf(instanceStatusTexts, instance.status)));
    if (instance.lost)
        facts.emplace_back("it is lost: the platform's list does not show it");
    if (instance.leaving)
        facts.emplace_back("it is announced as leaving and takes no new work");
    if (instance.operationId.empty())
        return;
    facts.push_back(fmt::format("operation {} is under way", instance.operationId));
    if (auto move = state.moves.find(instance.operationId); move != state.moves.end())
        addUnlessEmpty(facts, waitingFor(move->second.pendingGates));
    for (const auto& [id, wave] : state.waves) {
        if (auto active = wave.active.find(name); active != wave.active.end())
            addUnlessEmpty(facts, waitingFor(active->second.pendingGates));
    }
}

static void poolFacts(const std::string& name, const FleetState& state, Facts& facts)
{
    auto position = state.configuration.pools.find(name);
    if (position == state.configuration.pools.end())
        return;
    auto figures = figuresOfPools(state)[name];
    facts.push_back(fmt::format("pool {} has {} instances, {} available, a minimum of {}", name, figures.instances,
        figures.available, figures.minimum));
    facts.push_back(fmt::format("{} are lent to it, {} of its own are lent out", figures.lentIn, figures.lentOut));
    facts.emplace_back(figures.allowsPlannedWork()
            ? fmt::format("planned work may take {} more instances", figures.available - figures.minimum)
            : "planned work may take no more instances");
    if (position->second.spare)
        facts.emplace_back("it is a spare pool");
    for (const auto& [kindName, kind] : state.configuration.kinds) {
        if (kind.pool == name)
            facts.push_back(
                fmt::format("kind {} runs in it with a guaranteed share of {:g}", kindName, kind.guaranteedShare));
    }
}

static void keyFacts(const std::string& name, const FleetState& state, Facts& facts)
{
    auto position = state.keys.find(name);
    if (position == state.keys.end())
        return;
    const auto& key = position->second;
    facts.push_back(fmt::format("key {} is for kind {}, owned by entry {}", name, key.kind, key.owner));
    facts.emplace_back(textOf(keyStatusTexts, key.status));
    if (!key.receipt.empty())
        facts.push_back(fmt::format("a receipt of {} bytes is kept", key.receipt.size()));
}

static void taskFacts(const std::string& name, const FleetState& state, Facts& facts)
{
    auto position = state.tasks.find(name);
    if (position == state.tasks.end())
        return;
    const auto& task = position->second;
    facts.push_back(fmt::format("task {} of kind {}, team {} is {}", name, task.kind,
        task.team.empty() ? "-" : task.team, textOf(taskStatusTexts, task.status)));
    if (!task.instance.empty())
        facts.push_back(
            fmt::format("instance {}, renewed by entry {}, token {}", task.instance, task.owner, task.token));
    if (!task.failedInstances.empty())
        facts.push_back(fmt::format("it failed on {}", fmt::join(task.failedInstances, ", ")));
}

static void moveFacts(const std::string& name, const FleetState& state, Facts& facts)
{
    auto position = state.moves.find(name);
    if (position == state.moves.end())
        return;
    const auto& move = position->second;
    facts.push_back(fmt::format("move {} of {} from {} to {} is {}", name, move.instance, move.fromPool, move.toPool,
        textOf(moveStatusTexts, move.status)));
    if (!move.invocationId.empty())
        facts.push_back(fmt::format("handbook invocation {} asked for it", move.invocationId));
    if (move.status == MoveStatus::Closing)
        addUnlessEmpty(facts, waitingFor(move.pendingGates));
}

static void waveFacts(const std::string& name, const FleetState& state, Facts& facts)
{
    auto position = state.waves.find(name);
    if (position == state.waves.end())
        return;
    const auto& wave = position->second;
    facts.push_back(
        fmt::format("{} {} is {}", wave.keepDrained ? "drain" : "wave", name, textOf(waveStatusTexts, wave.status)));
    facts.push_back(fmt::format("it selects zone {}, pool {}", wave.zone.empty() ? "(all)" : wave.zone,
        wave.pool.empty() ? "(all)" : wave.pool));
    facts.push_back(fmt::format("{} pending, {} under way, {} done, {} given up", wave.pending.size(),
        wave.active.size(), wave.done.size(), wave.givenUp.size()));
    for (const auto& [instance, maintenance] : wave.active) {
        auto waiting = waitingFor(maintenance.pendingGates);
        facts.push_back(fmt::format("{} is under way{}", instance, waiting.empty() ? "" : "; " + waiting));
    }
    if (!wave.givenUp.empty())
        facts.push_back(fmt::format("given up: {}", fmt::join(wave.givenUp, ", ")));
}

static void handbookFacts(const std::string& name, const FleetState& state, Facts& facts)
{
    auto position = state.handbooks.find(name);
    if (position == state.handbooks.end())
        return;
    const auto& entry = position->second;
    facts.push_back(fmt::format("handbook entry {} has version {} by {}", name, entry.version, entry.author));
    if (!entry.reviewer.empty())
        facts.push_back(
            fmt::format("{} was {} by {}", entry.version, entry.approved ? "approved" : "rejected", entry.reviewer));
    facts.push_back(entry.approvedVersion ? fmt::format("version {} can be invoked", entry.approvedVersion)
                                          : "no version is approved, so it cannot be invoked");
    for (const auto& [id, invocation] : state.invocations) {
        if (invocation.name == name)
            facts.push_back(fmt::format("version {} was invoked by {} with change id {} at offset {}",
                invocation.version, invocation.operatorName, id, invocation.offset));
    }
}

static void entryFacts(const std::string& name, const FleetState& state, Facts& facts)
{
    auto position = state.entries.find(name);
    if (position == state.entries.end())
        return;
    const auto& entry = position->second;
    facts.push_back(fmt::format("entry {} is a member of the gate of zone {}, boot {}", name, entry.zone, entry.boot));
    for (const auto& [id, move] : state.moves) {
        if (move.status == MoveStatus::Closing && move.pendingGates.count(name))
            facts.push_back(fmt::format("move {} of {} waits for it", id, move.instance));
    }
}

static void changeFacts(const std::string& name, const FleetState& state, Facts& facts)
{
    if (auto invocation = state.invocations.find(name); invocation != state.invocations.end())
        facts.push_back(
            fmt::format("{} invoked handbook entry {} version {} at offset {}", invocation->second.operatorName,
                invocation->second.name, invocation->second.version, invocation->second.offset));
    const auto prefix = name + ".";
    for (const auto& [id, move] : state.moves) {
        if (id.compare(0, prefix.size(), prefix) == 0)
            moveFacts(id, state, facts);
    }
    for (const auto& [id, wave] : state.waves) {
        if (id == name || id.compare(0, prefix.size(), prefix) == 0)
            waveFacts(id, state, facts);
    }
}

struct SubjectType {
    std::string_view name;
    void (*facts)(const std::string& name, const FleetState&, Facts&);
};

static constexpr std::array<SubjectType, 9> subjectTypes { {
    { "instance", instanceFacts },
    { "pool", poolFacts },
    { "move", moveFacts },
    { "wave", waveFacts },
    { "change", changeFacts },
    { "handbook", handbookFacts },
    { "key", keyFacts },
    { "task", taskFacts },
    { "entry", entryFacts },
} };

std::string explainableTypes()
{
    std::string types;
    for (const auto& type : subjectTypes)
        types += (types.empty() ? "" : ", ") + std::string(type.name);
    return types;
}

// Subjects whose events tell about the given one: the events of a move stand under its instance.
static std::vector<std::string> subjectsOf(
    const std::string& subject, std::string_view type, const std::string& name, const FleetState& state)
{
    std::vector<std::string> subjects { subject };
    if (auto move = state.moves.find(name); type == "move" && move != state.moves.end())
        subjects.push_back("instance " + move->second.instance);
    return subjects;
}

proto::AuditLine auditLineOf(const AuditEvent& event)
{
    proto::AuditLine line;
    line.set_offset(event.offset);
    line.set_written_ms(unixMilliseconds(event.writtenAt));
    line.set_actor(event.actor);
    line.set_subject(event.subject);
    line.set_action(event.action);
    line.set_reason(event.reason);
    line.set_result_code(static_cast<uint32_t>(event.code));
    line.set_figures(event.figures);
    return line;
}

ResultCode explainSubject(const std::string& subject, const FleetState& state, proto::ExplainReply& reply)
{
    auto space = subject.find(' ');
    auto typeName = std::string_view(subject).substr(0, space);
    auto name = space == std::string::npos ? std::string() : subject.substr(space + 1);
    auto type = std::find_if(subjectTypes.begin(), subjectTypes.end(),
        [&](const SubjectType& candidate) { return candidate.name == typeName; });
    if (type == subjectTypes.end() || name.empty())
        return ResultCode::InvalidCommand;
    Facts facts;
    type->facts(name, state, facts);
    for (auto& fact : facts)
        reply.add_facts(std::move(fact));
    const auto subjects = subjectsOf(subject, typeName, name, state);
    const auto prefix = reasonPrefix(name);
    for (auto event = state.audit.rbegin(); event != state.audit.rend() && reply.events_size() < maximumEvents;
         ++event) {
        bool ofChange = typeName == "change" && event->reason.compare(0, prefix.size(), prefix) == 0;
        if (ofChange || std::find(subjects.begin(), subjects.end(), event->subject) != subjects.end())
            *reply.add_events() = auditLineOf(*event);
    }
    return reply.facts_size() || reply.events_size() ? ResultCode::Ok : ResultCode::NotFound;
}

} // namespace shallotdrift::internal
