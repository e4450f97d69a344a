#include "WorkerLinks.h"

#include "../Base/Logging.h"

namespace shallotdrift::internal {

static constexpr Milliseconds holdWait { 1000 };
// Tails and the progress of runs are of use by the half second.
static constexpr Milliseconds busyHoldWait { 500 };
static constexpr Milliseconds answerTime { 600 };
static constexpr Milliseconds orderTime { 700 };
static constexpr Milliseconds retryTime { 150 };
// A call with ends that are not stored yet is answered at once.
static constexpr Milliseconds unstoredHoldInterval { 800 };

WorkerLinks::WorkerLinks(NodeContext& context, ServiceScheduler& scheduler, uint64_t token, Events events)
    : context_(context)
    , scheduler_(scheduler)
    , token_(token)
    , events_(std::move(events))
{
}

void WorkerLinks::sync()
{
    for (auto item = links_.begin(); item != links_.end();)
        item = scheduler_.workers().count(item->first) == 0 ? links_.erase(item) : std::next(item);
    for (auto& [id, worker] : scheduler_.workers()) {
        if (worker.info.address.empty())
            continue; // known from a stored run only
        auto& link = links_[id];
        if (!link) {
            link = std::make_shared<Link>();
            link->worker = id;
            link->timer = std::make_unique<asio::steady_timer>(context_.io);
        }
        link->address = worker.info.address;
        if (!link->calling)
            hold(link);
    }
}

NewestBoots::NewestBoots(const std::map<std::string, WorkerInfo>& registry)
{
    for (const auto& [id, info] : registry) {
        if (info.instance.empty())
            continue;
        auto& known = byInstance_[info.instance];
        if (!known || info.bootTime > known->bootTime)
            known = &info;
    }
}

bool NewestBoots::replaced(const WorkerInfo& worker) const
{
    auto newest = byInstance_.find(worker.instance);
    return newest != byInstance_.end() && newest->second->id != worker.id && newest->second->bootTime > worker.bootTime;
}

void WorkerLinks::loseReplaced(const NewestBoots& newest)
{
    std::vector<std::string> lost;
    for (const auto& [id, worker] : scheduler_.workers())
        if ((worker.registered || !worker.runs.empty()) && newest.replaced(worker.info))
            lost.push_back(id);
    for (const auto& id : lost)
        loseWorker(id);
}

std::map<std::string, uint64_t> WorkerLinks::notedEnds() const
{
    std::map<std::string, uint64_t> noted;
    for (const auto& [id, worker] : scheduler_.workers()) {
        auto link = links_.find(id);
        if (link != links_.end() && link->second->durable != worker.lastAppliedEnd)
            noted[id] = worker.lastAppliedEnd;
    }
    return noted;
}

void WorkerLinks::setDurable(const std::map<std::string, uint64_t>& noted)
{
    for (const auto& [id, number] : noted) {
        auto found = links_.find(id);
        if (found == links_.end() || found->second->durable == number)
            continue;
        found->second->durable = number;
        if (!found->second->calling)
            hold(found->second);
    }
}

Milliseconds WorkerLinks::leaseEnd(Worker& worker)
{
    return worker.unresponsive || !events_.mayExtendLeases() ? worker.lease.lastRequestedEnd()
                                                             : worker.lease.extend(BootClock::now());
}

void WorkerLinks::holdLater(const std::shared_ptr<Link>& link, Milliseconds time)
{
    link->calling = true;
    link->timer->expires_after(time);
    link->timer->async_wait([this, alive = alive_, link](std::error_code error) {
        if (!*alive || error)
            return;
        link->calling = false;
        hold(link);
    });
}

void WorkerLinks::hold(const std::shared_ptr<Link>& link)
{
    auto found = scheduler_.workers().find(link->worker);
    if (link->calling || found == scheduler_.workers().end())
        return;
    auto& worker = found->second;
    // setDurable() goes on when the ends are stored; while the store is away only the lease is kept up.
    auto askedAt = BootClock::now();
    if (worker.lastAppliedEnd != link->durable && askedAt - link->heldAt < unstoredHoldInterval)
        return;
    link->heldAt = askedAt;
    platform::LeaseRenewalRequest request { link->worker, token_, link->durable, std::nullopt, Milliseconds { 0 } };
    if (worker.lease.hasClockSample() && !worker.unresponsive && events_.mayExtendLeases())
        request.leaseEnd = leaseEnd(worker);
    if (worker.reported && !link->failing) {
        request.maximumWait = worker.runs.empty() ? holdWait : busyHoldWait;
    }
    link->calling = true;
    ++context_.counters.holdsSent;
    context_.workers.send(link->address, platform::leaseRenewalRequest(request), request.maximumWait + answerTime,
        [this, alive = alive_, link, askedAt](HttpOutcome&& outcome) {
            if (!*alive)
                return;
            link->calling = false;
            onHold(link, std::move(outcome), askedAt);
        });
}

void WorkerLinks::onHold(const std::shared_ptr<Link>& link, HttpOutcome&& outcome, Instant askedAt)
{
    auto answer = outcome.hasResponse ? platform::parseLeaseRenewalResponse(outcome.response)
                                      : platform::LeaseRenewalResponse {};
    switch (answer.status) {
    case platform::LeaseRenewalStatus::Ok: {
        if (link->failing)
            logger("workers")->info("dependency={} event=regained service={}", link->worker, scheduler_.service());
        link->failing = false;
        logJoined(link->worker);
        context_.counters.runsEnded += answer.report.ended.size();
        bool changed = scheduler_.onReport(link->worker, answer.report, askedAt, currentTime());
        auto found = scheduler_.workers().find(link->worker);
        if (found != scheduler_.workers().end() && found->second.lastAppliedEnd < link->durable)
            link->durable = 0; // the same id after a restart counts from 1 again
        if (changed)
            events_.changed();
        if (*alive_)
            hold(link);
        return;
    }
    case platform::LeaseRenewalStatus::OtherIncarnation:
        loseWorker(link->worker);
        holdLater(link, holdWait);
        return;
    case platform::LeaseRenewalStatus::Fenced:
        events_.fenced();
        return;
    case platform::LeaseRenewalStatus::Failed:
        ++context_.counters.holdsFailed;
        if (!link->failing)
            logger("workers")->warn("dependency={} event=lost service={} status={}", link->worker, scheduler_.service(),
                outcome.hasResponse ? outcome.response.status : 0);
        link->failing = true;
        scheduler_.markUnresponsive(link->worker);
        holdLater(link, retryTime);
        return;
    }
}

// The first answer of a worker to this owner; its age shows how late the registry named it.
void WorkerLinks::logJoined(const std::string& id) const
{
    auto found = scheduler_.workers().find(id);
    if (found == scheduler_.workers().end() || found->second.reported)
        return;
    const auto& info = found->second.info;
    logger("workers")->info("dependency={} event=joined service={} instance={} age_ms={}", id, scheduler_.service(),
        info.instance, unixMilliseconds(wallNow()) - static_cast<int64_t>(info.bootTime));
}

void WorkerLinks::loseWorker(const std::string& worker)
{
    auto found = scheduler_.workers().find(worker);
    if (found == scheduler_.workers().end())
        return;
    logger("workers")->info(
        "dependency={} event=gone service={} runs={}", worker, scheduler_.service(), found->second.runs.size());
    scheduler_.endAllRuns(worker, currentTime());
    scheduler_.unregisterWorker(worker);
    events_.changed();
}

void WorkerLinks::send(const StartOrder& order)
{
    auto found = scheduler_.workers().find(order.worker);
    if (found == scheduler_.workers().end() || !scheduler_.beginStart(order, currentTime()))
        return;
    ++context_.counters.startsSent;
    context_.workers.send(found->second.info.address, platform::startRunRequest(order, leaseEnd(found->second), token_),
        orderTime, [this, alive = alive_, order](HttpOutcome&& outcome) {
            if (!*alive)
                return;
            auto now = currentTime();
            if (!outcome.hasResponse) {
                ++context_.counters.startsUnanswered;
                scheduler_.onNoStartResponse(order, now);
                return;
            }
            auto refusal = platform::parseStartRunResponse(outcome.response);
            if (refusal != StartRefusal::None) {
                ++context_.counters.startsRefused;
                logger("workers")->info(
                    "request={} event=start_refused step={} index={} run={} worker={} status={} reason={}",
                    order.task.job, order.task.step, order.task.index, order.runNumber, order.worker,
                    outcome.response.status, static_cast<int>(refusal));
            }
            if (refusal == StartRefusal::Fenced)
                events_.fenced();
            else if (refusal == StartRefusal::OtherIncarnation)
                loseWorker(order.worker);
            else {
                scheduler_.onStartResponse(order, refusal, now);
                if (refusal != StartRefusal::None)
                    events_.changed();
            }
        });
}

void WorkerLinks::send(const StopOrder& order)
{
    auto found = scheduler_.workers().find(order.worker);
    if (found == scheduler_.workers().end() || found->second.info.address.empty())
        return;
    if (order.firstSend)
        logger("workers")->info("request={} event=stop occurrence={} step={} index={} run={} worker={}", order.task.job,
            order.task.occurrence, order.task.step, order.task.index, order.runNumber, order.worker);
    context_.workers.send(found->second.info.address, platform::stopRunRequest(order, token_), orderTime,
        [this, alive = alive_, order](HttpOutcome&& outcome) {
            if (!*alive || !outcome.hasResponse)
                return; // repeated until the run has ended
            if (platform::isOtherIncarnation(outcome.response))
                loseWorker(order.worker);
            else if (outcome.response.status == 200)
                scheduler_.onStopResponse(order, currentTime());
        });
}

void WorkerLinks::send(const ThrottleOrder& order)
{
    auto found = scheduler_.workers().find(order.worker);
    if (found == scheduler_.workers().end())
        return;
    context_.workers.send(found->second.info.address, platform::throttleRequest(order, token_), orderTime,
        [](HttpOutcome&&) {}); // the next report shows whether it took effect
}

} // namespace shallotdrift::internal
