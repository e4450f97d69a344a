#include "RequestService.h"

#include "../Base/Digest.h"
#include "Metrics.h"

#include <fmt/format.h>

namespace shallotdrift {

static constexpr size_t recentRefusalsKept = 200;

RequestService::RequestService(CoreContext& context, Proposals& proposals, PeerDirectory& peers)
    : context_(context)
    , scheduler_({ digestOf(context.settings.id, context.boot), context.settings.zone })
    , keyed_(
          context, proposals, peers,
          [this](uint64_t request) {
              auto position = open_.find(request);
              if (position != open_.end())
                  submit(position->second, BootClock::now());
          },
          [this](uint64_t request, CallerReply reply) {
              auto position = open_.find(request);
              if (position != open_.end())
                  position->second.keyed = false; // replied without running: nothing to record for the key
              finish(request, std::move(reply));
          })
{
}

void RequestService::arrived(CallerRequest&& request, Instant now)
{
    if (request.type == CallerRequest::Type::KeyQuery) {
        uint64_t id = request.id;
        auto& open = open_[id];
        open.request = std::move(request);
        return keyed_.query(open.request, now);
    }
    arrivedWork(std::move(request), now);
}

void RequestService::arrivedWork(CallerRequest&& request, Instant now)
{
    uint64_t id = request.id;
    auto& open = open_[id];
    open.request = std::move(request);
    const auto& configuration = context_.state().configuration;
    auto kind = configuration.kinds.find(open.request.subject);
    if (kind == configuration.kinds.end() || kind->second.longRunning) {
        CallerReply reply;
        reply.code = ResultCode::UnknownKind;
        reply.reason = "no kind of short work is named " + open.request.subject;
        return finish(id, std::move(reply));
    }
    auto timeout = open.request.timeout.count() ? open.request.timeout : kind->second.defaultTimeout;
    open.deadline = open.request.arrived + std::min(timeout, configuration.maximumTimeout);
    if (kind->second.idempotent)
        return submit(open, now);
    open.keyed = true;
    keyed_.admit(open.request, open.deadline, now);
}

void RequestService::submit(OpenRequest& open, Instant now)
{
    open.submitted = true;
    WorkRequest work;
    work.id = open.request.id;
    work.kind = open.request.subject;
    work.team = open.request.team;
    work.deadline = open.deadline;
    work.declaredRuntime = open.request.declaredRuntime;
    work.resendAllowed = !open.keyed;
    SchedulerEffects effects;
    scheduler_.submit(work, now, effects);
    apply(effects, now);
}

void RequestService::callerLeft(uint64_t request, Instant now)
{
    auto position = open_.find(request);
    if (position == open_.end())
        return;
    auto& open = position->second;
    open.callerGone = true;
    if (open.keyed && !open.submitted) {
        if (keyed_.cancel(request))
            open_.erase(position);
        return;
    }
    bool running = false;
    for (const auto& [attempt, state] : attempts_)
        running |= state.request == request;
    // Non-idempotent work that a target has begun is left to end, so that its outcome is known for a retry.
    if (open.keyed && running)
        return;
    SchedulerEffects effects;
    scheduler_.cancel(request, now, effects);
    apply(effects, now);
    CallerReply reply;
    reply.code = running ? ResultCode::ConnectionLost : ResultCode::Cancelled;
    finish(request, std::move(reply));
}

void RequestService::attemptDone(AttemptResult&& result, Instant now)
{
    auto position = attempts_.find(result.attempt);
    if (position == attempts_.end())
        return;
    auto open = open_.find(position->second.request);
    AttemptReport report { result.attempt, result.code, result.bytesSent, result.elapsed };
    forgetAttempt(result.attempt);
    if (open != open_.end())
        open->second.lastResult = std::move(result);
    SchedulerEffects effects;
    scheduler_.report(report, now, effects);
    apply(effects, now);
}

void RequestService::tick(Instant now)
{
    keyed_.tick(now);
    SchedulerEffects effects;
    scheduler_.tick(now, effects);
    apply(effects, now);
}

void RequestService::configurationChanged(Instant now)
{
    scheduler_.setConfiguration(context_.state().configuration, now);
}

void RequestService::setInstances(const std::vector<UsableInstance>& instances, Instant now)
{
    SchedulerEffects effects;
    scheduler_.setInstances(instances, now, effects);
    apply(effects, now);
}

std::set<std::string> RequestService::inFlightInstances() const
{
    std::set<std::string> instances;
    for (const auto& [instance, count] : inFlight_)
        instances.insert(instance);
    return instances;
}

std::map<std::string, uint32_t> RequestService::urgentSlots() const
{
    std::map<std::string, uint32_t> slots;
    const auto& kinds = context_.state().configuration.kinds;
    for (const auto& [id, attempt] : attempts_) {
        auto open = open_.find(attempt.request);
        if (open == open_.end())
            continue;
        auto kind = kinds.find(open->second.request.subject);
        if (kind != kinds.end() && kind->second.urgency == Urgency::Urgent)
            ++slots[attempt.instance];
    }
    return slots;
}

void RequestService::apply(const SchedulerEffects& effects, Instant)
{
    for (uint64_t attempt : effects.cancelledAttempts) {
        context_.outputs.abandonAttempt(attempt);
        forgetAttempt(attempt);
    }
    for (const auto& item : effects.dispatches)
        dispatch(item);
    for (const auto& completion : effects.completions)
        complete(completion);
    for (const auto& refusal : effects.refusals) {
        CallerReply reply;
        reply.code = refusal.code;
        reply.reason = refusal.reason;
        finish(refusal.request, std::move(reply));
    }
}

void RequestService::dispatch(const Dispatch& item)
{
    auto position = open_.find(item.request);
    if (position == open_.end())
        return;
    const auto& open = position->second;
    const auto& instances = context_.state().instances;
    auto instance = instances.find(item.instance);
    attempts_[item.attempt] = { item.request, item.instance };
    ++inFlight_[item.instance];
    TargetAttempt attempt;
    attempt.attempt = item.attempt;
    attempt.instance = item.instance;
    attempt.address = instance == instances.end() ? std::string() : instance->second.address;
    attempt.kind = open.request.subject;
    attempt.requestId = open.request.requestId;
    attempt.pool = item.pool;
    attempt.epoch = item.epoch;
    attempt.deadline = item.deadline;
    attempt.body = open.request.body;
    attempt.reuseConnection = !open.keyed;
    context_.outputs.sendAttempt(std::move(attempt));
    context_.metrics.count("attempts_total", "pool=\"" + item.pool + "\"");
}

void RequestService::complete(const Completion& completion)
{
    auto position = open_.find(completion.request);
    if (position == open_.end())
        return;
    auto& result = position->second.lastResult;
    CallerReply reply;
    reply.code = completion.code;
    if (result.attempt == completion.attempt) {
        reply.body = std::move(result.body);
        reply.contentType = result.contentType;
        reply.receipt = result.receipt;
    }
    if (completion.code != ResultCode::Ok)
        reply.reason = infoOf(completion.code).text;
    finish(completion.request, std::move(reply));
}

void RequestService::finish(uint64_t request, CallerReply reply)
{
    auto position = open_.find(request);
    if (position == open_.end())
        return;
    auto open = std::move(position->second);
    open_.erase(position);
    const auto& kind = open.request.subject;
    // Submitted keyed work owned its key, so a refusal holds for the key; for other kinds the key has no meaning.
    reply.keyNotRun |= open.submitted;
    if (open.keyed && open.submitted)
        keyed_.ended(open.request.key, reply);
    if (open.request.type == CallerRequest::Type::Work) {
        context_.metrics.count("requests_total",
            fmt::format("kind=\"{}\",code=\"{}\"", context_.state().configuration.kinds.count(kind) ? kind : "unknown",
                static_cast<unsigned>(reply.code)));
        if (reply.code == ResultCode::Ok)
            context_.metrics.observe(
                "request_seconds", "kind=\"" + kind + "\"", BootClock::now() - open.request.arrived);
    }
    if (reply.code != ResultCode::Ok && open.request.type == CallerRequest::Type::Work) {
        recentRefusals_.push_back(fmt::format("request {} of kind {}: {} {}: {}", open.request.requestId, kind,
            static_cast<unsigned>(reply.code), infoOf(reply.code).name, reply.reason));
        if (recentRefusals_.size() > recentRefusalsKept)
            recentRefusals_.pop_front();
    }
    if (!open.callerGone)
        context_.outputs.reply(request, std::move(reply));
}

void RequestService::forgetAttempt(uint64_t attempt)
{
    auto position = attempts_.find(attempt);
    if (position == attempts_.end())
        return;
    auto count = inFlight_.find(position->second.instance);
    if (count != inFlight_.end() && --count->second == 0)
        inFlight_.erase(count);
    attempts_.erase(position);
}

} // namespace shallotdrift
