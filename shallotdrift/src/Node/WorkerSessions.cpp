#include "WorkerSessions.h"

#include "../Base/Logging.h"

#include <algorithm>

namespace shallotdrift::internal {

static constexpr Milliseconds idleRenewalWait { 1000 };
// Shorter while a worker has runs: the tail latency and progress that it reports are needed twice a second.
static constexpr Milliseconds busyRenewalWait { 500 };
static constexpr Milliseconds responseTimeout { 600 };
static constexpr Milliseconds orderTimeout { 700 };
static constexpr Milliseconds retryDelay { 150 };
// A worker responds at once while it has unacknowledged run ends. Until these are stored, renewals are sent at this
// interval only.
static constexpr Milliseconds unstoredRenewalInterval { 800 };

// Fencing tokens of an owner, one for each stage of a worker's lease; see WorkerLease.
static constexpr uint32_t stagesPerOwner = 1024;

WorkerSessions::WorkerSessions(
    NodeContext& context, ServiceScheduler& scheduler, uint64_t fencingToken, Callbacks callbacks)
    : context_(context)
    , scheduler_(scheduler)
    , fencingToken_(fencingToken)
    , callbacks_(std::move(callbacks))
{
}

void WorkerSessions::sync()
{
    for (auto item = sessions_.begin(); item != sessions_.end();)
        item = scheduler_.workers().count(item->first) == 0 ? sessions_.erase(item) : std::next(item);
    for (auto& [id, worker] : scheduler_.workers()) {
        if (worker.info.address.empty())
            continue; // known only from a stored run, not from the registry
        auto& session = sessions_[id];
        if (!session) {
            session = std::make_shared<Session>();
            session->worker = id;
            session->timer = std::make_unique<asio::steady_timer>(context_.io);
        }
        session->address = worker.info.address;
        if (!session->renewalPending)
            sendLeaseRenewal(session);
    }
}

LatestIncarnations::LatestIncarnations(
    const std::map<std::string, WorkerInfo>& registry, const std::map<std::string, ServiceConfiguration>& services)
{
    for (const auto& [id, info] : registry) {
        if (info.instance.empty() || services.count(info.service) == 0)
            continue;
        auto& known = byInstance_[info.instance];
        if (!known || info.bootTime > known->bootTime)
            known = &info;
    }
}

bool LatestIncarnations::isReplaced(const WorkerInfo& worker) const
{
    auto latest = byInstance_.find(worker.instance);
    return latest != byInstance_.end() && latest->second->id != worker.id && latest->second->bootTime > worker.bootTime;
}

void WorkerSessions::dropReplacedWorkers(const LatestIncarnations& latest)
{
    std::vector<std::string> lost;
    for (const auto& [id, worker] : scheduler_.workers())
        if ((worker.registered || !worker.runs.empty()) && latest.isReplaced(worker.info))
            lost.push_back(id);
    for (const auto& id : lost)
        dropWorker(id);
}

std::map<std::string, WorkerSessions::AppliedEnd> WorkerSessions::appliedEnds() const
{
    std::map<std::string, AppliedEnd> ends;
    for (const auto& [id, worker] : scheduler_.workers()) {
        auto session = sessions_.find(id);
        if (session != sessions_.end() && session->second->lastStoredEnd != worker.lastAppliedEnd)
            ends[id] = { worker.lastAppliedEnd, worker.info.bootTime };
    }
    return ends;
}

void WorkerSessions::acknowledgeStoredEnds(const std::map<std::string, AppliedEnd>& ends)
{
    for (const auto& [id, end] : ends) {
        auto found = sessions_.find(id);
        if (found == sessions_.end() || found->second->bootTime != end.bootTime
            || found->second->lastStoredEnd == end.number)
            continue;
        found->second->lastStoredEnd = end.number;
        if (!found->second->renewalPending)
            sendLeaseRenewal(found->second);
    }
}

uint64_t WorkerSessions::token(uint32_t stage) const
{
    return fencingToken_ * stagesPerOwner + std::min(stage, stagesPerOwner - 1);
}

std::shared_ptr<const HttpPeer> WorkerSessions::makePeer(
    const std::string& worker, int64_t bootTime, uint32_t stage) const
{
    HttpPeer peer;
    peer.id = static_cast<uint64_t>(bootTime);
    peer.identify = [worker, token = token(stage)] {
        return platform::leaseRenewalRequest({ worker, token, 0, std::nullopt, Milliseconds { 0 } });
    };
    peer.idOf = [](const HttpMessage& response) { return static_cast<uint64_t>(platform::parseBootTime(response)); };
    return std::make_shared<const HttpPeer>(std::move(peer));
}

std::shared_ptr<const HttpPeer> WorkerSessions::incarnationOf(Session& session, const Worker& worker) const
{
    auto id = static_cast<uint64_t>(worker.info.bootTime);
    auto stage = worker.lease.stage();
    if (!session.incarnation || session.incarnation->id != id || session.incarnationStage != stage) {
        session.incarnation = makePeer(session.worker, worker.info.bootTime, stage);
        session.incarnationStage = stage;
    }
    return session.incarnation;
}

bool WorkerSessions::isSuperseded(const std::string& worker, uint32_t stage) const
{
    auto found = scheduler_.workers().find(worker);
    return found != scheduler_.workers().end() && found->second.lease.stage() != stage;
}

void WorkerSessions::scheduleLeaseRenewal(const std::shared_ptr<Session>& session, Milliseconds time)
{
    session->renewalPending = true;
    session->timer->expires_after(time);
    session->timer->async_wait([this, alive = alive_, session](std::error_code error) {
        if (!*alive || error)
            return;
        session->renewalPending = false;
        sendLeaseRenewal(session);
    });
}

void WorkerSessions::sendLeaseRenewal(const std::shared_ptr<Session>& session)
{
    auto found = scheduler_.workers().find(session->worker);
    if (session->renewalPending || found == scheduler_.workers().end())
        return;
    auto& worker = found->second;
    if (!worker.registered && worker.runs.empty())
        return; // sync() goes on if the worker is registered again
    // While applied run ends are not stored yet, renewals are only sent as often as the lease needs.
    // acknowledgeStoredEnds() sends one as soon as the ends are stored.
    auto sentAt = BootClock::now();
    if (worker.lastAppliedEnd != session->lastStoredEnd && sentAt - session->renewalSentAt < unstoredRenewalInterval)
        return;
    session->renewalSentAt = sentAt;
    SentCall call { sentAt, worker.lease.stage() };
    platform::LeaseRenewalRequest request { session->worker, token(call.stage), 0, std::nullopt, Milliseconds { 0 } };
    // Another incarnation may respond to the first call, and to the first one after a failure.
    bool incarnationKnown = worker.reported && !session->failing && worker.lease.hasClockSample();
    if (incarnationKnown) {
        if (session->lastStoredEnd != session->acknowledgedEnd)
            request.acknowledgedEnd = session->lastStoredEnd;
        if (worker.mayExtendLease() && callbacks_.mayExtendLeases())
            request.leaseEnd = worker.lease.extend(sentAt);
        request.maximumWait = worker.runs.empty() ? idleRenewalWait : busyRenewalWait;
    }
    session->renewalPending = true;
    ++context_.counters.leaseRenewalsSent;
    context_.workerClient.send(
        session->address, platform::leaseRenewalRequest(request), request.maximumWait + responseTimeout,
        [this, alive = alive_, session, call, acknowledgedEnd = request.acknowledgedEnd](HttpOutcome&& outcome) {
            if (!*alive)
                return;
            session->renewalPending = false;
            auto current = sessions_.find(session->worker);
            if (current != sessions_.end() && current->second == session)
                onLeaseRenewalResponse(session, std::move(outcome), call, acknowledgedEnd);
        },
        incarnationKnown ? incarnationOf(*session, worker) : makePeer(session->worker, 0, call.stage));
}

void WorkerSessions::onLeaseRenewalResponse(
    const std::shared_ptr<Session>& session, HttpOutcome&& outcome, const SentCall& call, uint64_t acknowledgedEnd)
{
    auto response = outcome.hasResponse ? platform::parseLeaseRenewalResponse(outcome.response)
                                        : platform::LeaseRenewalResponse {};
    switch (response.status) {
    case platform::LeaseRenewalStatus::Ok: {
        if (session->failing)
            logger("workers")->info("dependency={} event=regained service={}", session->worker, scheduler_.service());
        session->failing = false;
        logJoined(session->worker);
        context_.counters.runsEnded += response.report.ended.size();
        bool changed = scheduler_.onReport(session->worker, response.report, call, currentTime());
        auto found = scheduler_.workers().find(session->worker);
        if (found != scheduler_.workers().end() && found->second.info.bootTime != session->bootTime) {
            if (session->bootTime != 0)
                logger("workers")->warn("dependency={} event=restarted service={} age_ms={} runs={}", session->worker,
                    scheduler_.service(), found->second.info.bootTime - session->bootTime, found->second.runs.size());
            session->bootTime = found->second.info.bootTime;
            session->lastStoredEnd = 0; // each incarnation numbers its ends from 1
            session->acknowledgedEnd = 0;
        } else
            session->acknowledgedEnd = std::max(session->acknowledgedEnd, acknowledgedEnd);
        if (changed)
            callbacks_.changed();
        if (*alive_)
            sendLeaseRenewal(session);
        return;
    }
    case platform::LeaseRenewalStatus::OtherIncarnation:
        dropWorker(session->worker);
        scheduleLeaseRenewal(session, idleRenewalWait);
        return;
    case platform::LeaseRenewalStatus::Fenced:
        if (isSuperseded(session->worker, call.stage))
            scheduleLeaseRenewal(session, retryDelay);
        else
            callbacks_.fenced();
        return;
    case platform::LeaseRenewalStatus::Failed:
        ++context_.counters.leaseRenewalsFailed;
        if (!session->failing)
            logger("workers")->warn("dependency={} event=lost service={} status={}", session->worker,
                scheduler_.service(), outcome.hasResponse ? outcome.response.status : 0);
        session->failing = true;
        scheduler_.markUnresponsive(session->worker);
        scheduleLeaseRenewal(session, retryDelay);
        return;
    }
}

// Logs a worker's first response to this owner. The worker's age shows how late the registry listed it.
void WorkerSessions::logJoined(const std::string& id) const
{
    auto found = scheduler_.workers().find(id);
    if (found == scheduler_.workers().end() || found->second.reported)
        return;
    const auto& info = found->second.info;
    logger("workers")->info("dependency={} event=joined service={} instance={} age_ms={}", id, scheduler_.service(),
        info.instance, unixMilliseconds(wallNow()) - static_cast<int64_t>(info.bootTime));
}

void WorkerSessions::dropWorker(const std::string& worker)
{
    auto found = scheduler_.workers().find(worker);
    if (found == scheduler_.workers().end())
        return;
    logger("workers")->info(
        "dependency={} event=dropped service={} runs={}", worker, scheduler_.service(), found->second.runs.size());
    scheduler_.endAllRuns(worker, currentTime());
    scheduler_.unregisterWorker(worker);
    callbacks_.changed();
}

void WorkerSessions::send(const StartOrder& order)
{
    auto found = scheduler_.workers().find(order.worker);
    auto session = sessions_.find(order.worker);
    if (found == scheduler_.workers().end() || session == sessions_.end())
        return;
    if (!callbacks_.mayExtendLeases()) {
        scheduler_.withholdStart(order, currentTime());
        return;
    }
    if (!scheduler_.beginStart(order, currentTime()))
        return;
    ++context_.counters.startsSent;
    auto& lease = found->second.lease;
    SentCall call { BootClock::now(), lease.stage() };
    context_.workerClient.send(
        found->second.info.address, platform::startRunRequest(order, lease.extend(call.sentAt), token(call.stage)),
        orderTimeout,
        [this, alive = alive_, order, call](HttpOutcome&& outcome) {
            if (!*alive)
                return;
            auto now = currentTime();
            if (!outcome.hasResponse) {
                ++(outcome.sent ? context_.counters.startsUnanswered : context_.counters.startsNotSent);
                logger("workers")->info("request={} event={} step={} index={} run={} worker={} {}={}", order.task.job,
                    outcome.sent ? "start_unanswered" : "start_not_sent", order.task.step, order.task.index,
                    order.runNumber, order.worker, outcome.sent ? "sent_ms" : "waited_ms",
                    std::chrono::duration_cast<Milliseconds>(now.steady - call.sentAt).count());
                if (outcome.sent) {
                    scheduler_.onNoStartResponse(order, now);
                    return;
                }
                scheduler_.onStartNotSent(order, now);
                callbacks_.changed();
                return;
            }
            if (auto clock = platform::parseClock(outcome.response);
                clock && !scheduler_.onClockReading(order.worker, *clock, call, now))
                logger("workers")->warn("dependency={} event=clock_went_back service={} clock_ms={}", order.worker,
                    scheduler_.service(), clock->count());
            auto refusal = platform::parseStartRunResponse(outcome.response);
            if (refusal != StartRefusal::None) {
                ++context_.counters.startsRefused;
                logger("workers")->info(
                    "request={} event=start_refused step={} index={} run={} worker={} status={} reason={}",
                    order.task.job, order.task.step, order.task.index, order.runNumber, order.worker,
                    outcome.response.status, static_cast<int>(refusal));
            }
            if (refusal == StartRefusal::Fenced && !isSuperseded(order.worker, call.stage))
                callbacks_.fenced();
            else if (refusal == StartRefusal::OtherIncarnation)
                dropWorker(order.worker);
            else {
                scheduler_.onStartResponse(order, refusal, now);
                if (refusal != StartRefusal::None)
                    callbacks_.changed();
            }
        },
        incarnationOf(*session->second, found->second));
}

void WorkerSessions::send(const StopOrder& order)
{
    auto found = scheduler_.workers().find(order.worker);
    if (found == scheduler_.workers().end() || found->second.info.address.empty())
        return;
    if (order.firstSend)
        logger("workers")->info("request={} event=stop occurrence={} step={} index={} run={} worker={}", order.task.job,
            order.task.occurrence, order.task.step, order.task.index, order.runNumber, order.worker);
    context_.workerClient.send(found->second.info.address,
        platform::stopRunRequest(order, token(found->second.lease.stage())), orderTimeout,
        [this, alive = alive_, order](HttpOutcome&& outcome) {
            if (!*alive || !outcome.hasResponse)
                return; // the order is repeated until the run has ended
            if (platform::isOtherIncarnation(outcome.response))
                dropWorker(order.worker);
            else if (outcome.response.status == 200)
                scheduler_.onStopResponse(order, currentTime());
        });
}

void WorkerSessions::send(const ThrottleOrder& order)
{
    auto found = scheduler_.workers().find(order.worker);
    if (found == scheduler_.workers().end())
        return;
    context_.workerClient.send(found->second.info.address,
        platform::throttleRequest(order, token(found->second.lease.stage())), orderTimeout,
        [](HttpOutcome&&) {}); // no retry is needed: the next report shows whether the order took effect
}

} // namespace shallotdrift::internal
